"""What is wrong with what somebody has given the program, and files that can't be read for a moment."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from stepflow.os_errors import TRANSIENT_FILE_ERRORS

T = TypeVar("T")

READ_RETRY_DELAY_S = 0.05  # between two tries to read a file at the start
READ_RETRY_LIMIT_S = 10.0  # a process is owed to be ready within 30 s


class InputError(Exception):
    """A file or a value that can't be taken: its text is one line, and names the file; exit code 2."""

    is_transient = False  # the file could not be read just now: it may be had a moment later


def mark_read_error(made: InputError, fault: OSError) -> InputError:
    """What is wrong with a file that could not be read, marked where that may pass."""
    made.is_transient = fault.errno in TRANSIENT_FILE_ERRORS
    return made


def read_with_retries(read: Callable[[], T]) -> T:
    """Read something at the start, again while what keeps it from being read may pass."""
    until = time.monotonic() + READ_RETRY_LIMIT_S
    while True:
        try:
            return read()
        except InputError as fault:
            if not fault.is_transient or time.monotonic() >= until:
                raise
            time.sleep(READ_RETRY_DELAY_S)
