"""The files of the recorder.

A thread of its own writes them, so that a slow disk never holds up the reactor. `Writer.put` and
`Writer.close` are called from the reactor's thread; all else runs in the writing one.
"""

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

MAX_PENDING_BYTES: Final = 4 << 20  # on their way to the disk; blocks beyond that are dropped
CLOSE_TIMEOUT_S: Final = 0.1  # how long `close` waits for the disk, unless its caller has more time
RETRY_INTERVAL_S: Final = 0.1  # until a call that failed with a transient error is made again
CLOSING_RETRY_INTERVAL_S: Final = 0.01  # the same while `close` waits
FILE_MODE: Final = 0o640
NO_FILE: Final = -1
_FILE_NAME = re.compile(r"traffic-[0-9]{16}-[0-9]{5}-[0-9]{4,10}\.sft")


class Writer:
    """Appends blocks to files, and keeps a bounded number of those.

    `put` never waits. A call of the system that fails with a transient error (no room, an I/O error) is made
    again until it succeeds, from the byte where it stopped. Any other error ends the recording for good:
    `failure` names it, and no block is taken any more.
    """

    def __init__(self, folder: str, max_files: int, stamp_ms: Callable[[], int]) -> None:
        self._folder, self._max_files = folder, max_files
        self._stamp_ms = stamp_ms  # the time by which a file is named
        self._queue: queue.SimpleQueue[tuple[bytes, bool] | None] = queue.SimpleQueue()
        self._lock = threading.Lock()  # of the pending bytes
        self._pending_bytes = 0
        self._closing = threading.Event()
        self._close_by = math.inf  # on the monotonic clock, in seconds
        self._file = NO_FILE  # descriptor of the current file
        self._files_begun = 0
        self.failure = ""
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)
        self._thread.start()

    def put(self, data: bytes, begins: bool) -> bool:
        """Have a block appended; `begins`: to a new file. False: it was dropped."""
        if self.failure or self._pending_bytes > MAX_PENDING_BYTES:
            return False
        with self._lock:
            self._pending_bytes += len(data)
        self._queue.put((data, begins))
        return True

    def close(self, wait_s: float = CLOSE_TIMEOUT_S) -> None:
        """Write the pending blocks, as far as the disk takes them in this time, and close the file."""
        self._close_by = time.monotonic() + wait_s
        self._queue.put(None)
        self._closing.set()
        self._thread.join(wait_s)

    def _run(self) -> None:
        try:
            while (item := self._queue.get()) is not None:
                data, begins = item
                if not self.failure:
                    try:
                        self._append(data, begins)
                    except OSError as error:
                        self.failure = f"{error.filename or self._folder}: {error.strerror}"
                with self._lock:
                    self._pending_bytes -= len(data)
        finally:
            if self._file != NO_FILE:
                os.close(self._file)

    def _append(self, data: bytes, begins: bool) -> None:
        if begins:
            self._retry_transient(self._begin_file)
        view = memoryview(data)
        while view:
            written = self._retry_transient(partial(os.write, self._file, view))
            view = view[written:]

    def _retry_transient(self, call: Callable[[], T]) -> T:
        """Make a call again and again while it fails with a transient error and there is time left."""
        while True:
            try:
                return call()
            except OSError as error:
                if error.errno not in TRANSIENT_FILE_ERRORS or time.monotonic() >= self._close_by:
                    raise
            if self._closing.is_set():
                time.sleep(CLOSING_RETRY_INTERVAL_S)
            else:
                self._closing.wait(RETRY_INTERVAL_S)

    def _begin_file(self) -> None:
        """Begin a file, and remove the oldest beyond the number that is kept."""
        if self._file != NO_FILE:
            os.close(self._file)
            self._file = NO_FILE
        os.makedirs(self._folder, exist_ok=True)
        path = os.path.join(self._folder, self._file_name())
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
        self._files_begun += 1
        for old in journals(self._folder)[: -self._max_files]:
            with suppress(OSError):  # it is removed with the next file
                os.unlink(old)

    def _file_name(self) -> str:
        """A name that sorts behind those of all files in the folder.

        It does so even where the wall clock was set back between two processes: the newest file must not be
        removed as the oldest. Two processes of a node may record at once, so it has the process's id as well.
        """
        newest = journals(self._folder)[-1:]
        stamp = max([self._stamp_ms(), *(_stamp_of(path) + 1 for path in newest)])
        return f"traffic-{stamp:016d}-{self._files_begun + 1:05d}-{os.getpid():04d}.sft"


def _stamp_of(path: str) -> int:
    """When a journal was begun, in milliseconds, by its name."""
    return int(os.path.basename(path).split("-")[1])


def journals(folder: str) -> list[str]:
    """The paths of the journals in a folder, the oldest first."""
    names = sorted(name for name in os.listdir(folder) if _FILE_NAME.fullmatch(name))
    return [os.path.join(folder, name) for name in names]
