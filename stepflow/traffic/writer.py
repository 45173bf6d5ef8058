"""Writes the recorder's blocks to files.

A separate thread writes, so that a slow disk never blocks the reactor. `Writer.put` and `Writer.close` are
called from the reactor's thread; the private methods run in the writing thread.
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

MAX_PENDING_BYTES: Final = 4 << 20  # bytes accepted and not yet written; above this, blocks are dropped
CLOSE_TIMEOUT_S: Final = 0.1  # time that `close` waits for the disk, unless its caller passes another time
RETRY_INTERVAL_S: Final = 0.1  # delay before a call that failed with a transient error is retried
CLOSING_RETRY_INTERVAL_S: Final = 0.01  # delay before such a retry while `close` waits
FILE_MODE: Final = 0o640
NO_FILE: Final = -1
_FILE_NAME = re.compile(r"traffic-[0-9]{16}-[0-9]{5}-[0-9]{4,10}\.sft")


class Writer:
    """Appends blocks to files, and keeps the newest `max_files` of them.

    `put` never waits. A system call that fails with a transient error (no space left, an I/O error) is
    retried until it succeeds or the time of `close` is over; a write resumes at the byte where it stopped.
    Any other error ends the recording permanently: `failure` describes it, and further blocks are dropped.
    """

    def __init__(self, folder: str, max_files: int, stamp_ms: Callable[[], int]) -> None:
        self._folder, self._max_files = folder, max_files
        self._stamp_ms = stamp_ms  # returns the time for a new file's name
        self._queue: queue.SimpleQueue[tuple[bytes, bool] | None] = queue.SimpleQueue()
        self._lock = threading.Lock()  # guards `_pending_bytes`
        self._pending_bytes = 0
        self._closing = threading.Event()
        self._close_by = math.inf  # no call is retried after this monotonic time, in seconds
        self._file = NO_FILE  # descriptor of the current file
        self._files_begun = 0
        self.failure = ""
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)
        self._thread.start()

    def put(self, data: bytes, begins: bool) -> bool:
        """Queue a block, for a new file if `begins`. Returns False if the block was dropped."""
        if self.failure or self._pending_bytes > MAX_PENDING_BYTES:
            return False
        with self._lock:
            self._pending_bytes += len(data)
        self._queue.put((data, begins))
        return True

    def close(self, wait_s: float = CLOSE_TIMEOUT_S) -> None:
        """Wait up to `wait_s` seconds until the pending blocks are written and the file is closed."""
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
        """Make a call, and retry it while it fails with a transient error and `close` leaves time."""
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
        """Begin a new file, and remove the oldest files beyond the newest `max_files`."""
        if self._file != NO_FILE:
            os.close(self._file)
            self._file = NO_FILE
        os.makedirs(self._folder, exist_ok=True)
        path = os.path.join(self._folder, self._file_name())
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
        self._files_begun += 1
        for old in journals(self._folder)[: -self._max_files]:
            with suppress(OSError):  # retried when the next file begins
                os.unlink(old)

    def _file_name(self) -> str:
        """A name that sorts after those of all journals in the folder.

        It must sort last even if the wall clock was set back between two processes: otherwise the newest file
        would be removed as the oldest. The name also holds the process's id, since two processes of a node
        may record at the same time.
        """
        newest = journals(self._folder)[-1:]
        stamp = max([self._stamp_ms(), *(_stamp_of(path) + 1 for path in newest)])
        return f"traffic-{stamp:016d}-{self._files_begun + 1:05d}-{os.getpid():04d}.sft"


def _stamp_of(path: str) -> int:
    """The time in a journal's name, in milliseconds."""
    return int(os.path.basename(path).split("-")[1])


def journals(folder: str) -> list[str]:
    """The paths of the journals in a folder, the oldest first."""
    names = sorted(name for name in os.listdir(folder) if _FILE_NAME.fullmatch(name))
    return [os.path.join(folder, name) for name in names]
