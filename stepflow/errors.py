"""What is wrong with what somebody has given the program, and files that can't be read for a moment."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from stepflow.os_errors import OF_THE_DISK

T = TypeVar("T")

READ_AGAIN_S = 0.05  # between two tries to read a file at the start
READ_FOR_S = 10.0  # a process is owed to be ready within 30 s


class BadInput(Exception):
    """A file or a value that can't be taken: its text is one line, and names the file; exit code 2."""

    passing = False  # the file could not be read just now: it may be had a moment later


def read_fault(made: BadInput, fault: OSError) -> BadInput:
    """What is wrong with a file that could not be read, marked where that may pass."""
    made.passing = fault.errno in OF_THE_DISK
    return made


def read_patiently(read: Callable[[], T]) -> T:
    """Read something at the start, again while what keeps it from being read may pass."""
    until = time.monotonic() + READ_FOR_S
    while True:
        try:
            return read()
        except BadInput as fault:
            if not fault.passing or time.monotonic() >= until:
                raise
            time.sleep(READ_AGAIN_S)
