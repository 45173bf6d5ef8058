"""The files of the recorder: a thread of its own writes, so that a slow disk holds up nobody."""

from __future__ import annotations

import os
import queue
import re
import threading
from collections.abc import Callable
from typing import Final

MOST_PENDING: Final = 4 << 20  # bytes on their way to the disk; what comes beyond is dropped and counted
JOIN_S: Final = 1.0  # the most that an exit waits for the disk
_FILE = re.compile(r"traffic-[0-9]{16}-[0-9]{5}-[0-9]{4,10}\.sft")


class Writer:
    """Appends blocks to files of a bounded size, and keeps a bounded number of them.

    `put` never waits. The first error of the disk ends the recording for good: `fault` names it.
    """

    def __init__(self, folder: str, segments: int, stamp: Callable[[], int]) -> None:
        self._folder, self._segments = folder, segments
        self._stamp = stamp  # milliseconds, which name the files
        self._queue: queue.SimpleQueue[tuple[bytes, bool] | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._pending = 0
        self._file = -1
        self._number = 0
        self.fault = ""  # why nothing is written any more
        self.written = 0  # bytes
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)
        self._thread.start()

    def put(self, data: bytes, begins: bool) -> bool:
        """Have bytes appended, to a new file where they begin one. False: they were dropped."""
        if self.fault or self._pending > MOST_PENDING:
            return False
        with self._lock:
            self._pending += len(data)
        self._queue.put((data, begins))
        return True

    def close(self) -> None:
        """Write what is pending, as far as the disk takes it soon, and close the file."""
        self._queue.put(None)
        self._thread.join(JOIN_S)

    def _run(self) -> None:
        try:
            while (item := self._queue.get()) is not None:
                data, begins = item
                if not self.fault:
                    try:
                        self._append(data, begins)
                    except OSError as fault:
                        self.fault = f"{fault.filename or self._folder}: {fault.strerror}"
                with self._lock:
                    self._pending -= len(data)
        finally:
            if self._file >= 0:
                os.close(self._file)

    def _append(self, data: bytes, begins: bool) -> None:
        if begins:
            self._next()
        view = memoryview(data)
        while view:
            view = view[os.write(self._file, view) :]
        self.written += len(data)

    def _next(self) -> None:
        """Begin a file, and remove the oldest beyond the number that is kept."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        os.makedirs(self._folder, exist_ok=True)
        self._number += 1
        # Two processes of a node may record at once; the names sort by when their files were begun.
        name = f"traffic-{self._stamp():016d}-{self._number:05d}-{os.getpid():04d}.sft"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._file = os.open(os.path.join(self._folder, name), flags, 0o640)
        for old in journals(self._folder)[: -self._segments]:
            os.unlink(old)


def journals(folder: str) -> list[str]:
    """The journals in a folder, the oldest first."""
    names = sorted(name for name in os.listdir(folder) if _FILE.fullmatch(name))
    return [os.path.join(folder, name) for name in names]
