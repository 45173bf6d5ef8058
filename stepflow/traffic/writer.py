"""The files of the recorder: a thread of its own writes, so that a slow disk holds up nobody."""

from __future__ import annotations

import math
import os
import queue
import re
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Final, TypeVar

from stepflow.os_errors import TRANSIENT_FILE_ERRORS

T = TypeVar("T")

MOST_PENDING: Final = 4 << 20  # bytes on their way to the disk; what comes beyond is dropped and counted
JOIN_S: Final = 0.1  # the most that the node waits for the disk, unless it has more time
AGAIN_S: Final = 0.1  # between two tries of what the disk refused
CLOSING_AGAIN_S: Final = 0.01  # the same while an exit waits
_FILE = re.compile(r"traffic-[0-9]{16}-[0-9]{5}-[0-9]{4,10}\.sft")


class Writer:
    """Appends blocks to files of a bounded size, and keeps a bounded number of them.

    `put` never waits. What the disk refuses for a moment (no room, an I/O error) is written once it takes it
    again, from the byte where it stopped; any other error ends the recording for good: `fault` names it.
    """

    def __init__(self, folder: str, segments: int, stamp: Callable[[], int]) -> None:
        self._folder, self._segments = folder, segments
        self._stamp = stamp  # milliseconds, which name the files
        self._queue: queue.SimpleQueue[tuple[bytes, bool] | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._close_by = math.inf  # on the monotonic clock
        self._pending = 0
        self._file = -1
        self._number = 0
        self.fault = ""  # why nothing is written any more
        self.refused = 0  # calls that the disk refused for a moment
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

    def close(self, wait_s: float = JOIN_S) -> None:
        """Write what is pending, as far as the disk takes it in this time, and close the file."""
        self._close_by = time.monotonic() + wait_s
        self._queue.put(None)
        self._closing.set()
        self._thread.join(wait_s)

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
            self._patiently(self._next)
        view = memoryview(data)
        while view:
            view = view[self._patiently(partial(os.write, self._file, view)) :]

    def _patiently(self, call: Callable[[], T]) -> T:
        """Do something, again and again while the disk refuses it for a reason that passes."""
        while True:
            try:
                return call()
            except OSError as fault:
                if fault.errno not in TRANSIENT_FILE_ERRORS or time.monotonic() >= self._close_by:
                    raise
            self.refused += 1
            if self._closing.is_set():
                time.sleep(CLOSING_AGAIN_S)
            else:
                self._closing.wait(AGAIN_S)

    def _next(self) -> None:
        """Begin a file, and remove the oldest beyond the number that is kept."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        os.makedirs(self._folder, exist_ok=True)
        # Two processes of a node may record at once; the names sort by when their files were begun, also
        # where the wall clock was set back between two processes: the newest must not go as the oldest.
        stamp = max([self._stamp(), *(_stamp_of(name) + 1 for name in journals(self._folder)[-1:])])
        name = f"traffic-{stamp:016d}-{self._number + 1:05d}-{os.getpid():04d}.sft"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._file = os.open(os.path.join(self._folder, name), flags, 0o640)
        self._number += 1
        for old in journals(self._folder)[: -self._segments]:
            with suppress(OSError):  # it goes with the next file
                os.unlink(old)


def _stamp_of(path: str) -> int:
    """When a journal was begun, as its name tells."""
    return int(os.path.basename(path).split("-")[1])


def journals(folder: str) -> list[str]:
    """The journals in a folder, the oldest first."""
    names = sorted(name for name in os.listdir(folder) if _FILE.fullmatch(name))
    return [os.path.join(folder, name) for name in names]
