"""Errors of what operators give the program, and reading files that can't be read for a moment.

`InputError` is the base of such errors in all packages: its text is one line that names the file, and the
process ends with exit code 2. One that may pass (a machine short of descriptors, a network file system that
is away) is marked `is_transient`, so that a starting process reads again for a while.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from stepflow.os_errors import TRANSIENT_FILE_ERRORS

T = TypeVar("T")

READ_RETRY_DELAY_S = 0.05
READ_RETRY_LIMIT_S = 10.0  # of the 30 s within which a process has to be ready


class InputError(Exception):
    """A file or a value that can't be used."""

    is_transient = False  # the file could not be read just now, and may be readable a moment later


def mark_read_error(error: InputError, cause: OSError) -> InputError:
    """Return the error of a file that could not be read, marked by whether its cause may pass."""
    error.is_transient = cause.errno in TRANSIENT_FILE_ERRORS
    return error


def read_with_retries(read: Callable[[], T]) -> T:
    """Return what `read` returns; while it fails with a transient error, call it again for a while.

    It blocks between two calls, so it is for the start only, before the reactor runs.

    Raises:
        InputError: The error is not transient, or did not pass in time.
    """
    give_up_at = time.monotonic() + READ_RETRY_LIMIT_S
    while True:
        try:
            return read()
        except InputError as error:
            if not error.is_transient or time.monotonic() >= give_up_at:
                raise
            time.sleep(READ_RETRY_DELAY_S)
