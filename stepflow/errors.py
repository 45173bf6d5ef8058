"""Errors in the operators' input, and retries of file reads that fail with a transient error.

`InputError` is the base class of such errors in all packages: its message is one line that names the file,
and the process exits with code 2. An error that may pass (a shortage of descriptors, an unavailable network
file system) is marked `is_transient`, so that a starting process retries the read for a limited time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from stepflow.os_errors import TRANSIENT_FILE_ERRORS

T = TypeVar("T")

READ_RETRY_DELAY_S = 0.05
READ_RETRY_LIMIT_S = 10.0  # a process has to be ready within 30 s


class InputError(Exception):
    """A file or a value is unusable."""

    is_transient = False  # true if the file could not be read, but may be readable a moment later


def mark_read_error(error: InputError, cause: OSError) -> InputError:
    """Set the error's `is_transient` from the errno of its cause, a failed read, and return the error."""
    error.is_transient = cause.errno in TRANSIENT_FILE_ERRORS
    return error


def read_with_retries(read: Callable[[], T]) -> T:
    """Return the result of `read`; repeat it while it fails with a transient error, for a limited time.

    Blocks between two calls, so it may only be used at the start, before the reactor runs.

    Raises:
        InputError: The error is not transient, or lasted longer than `READ_RETRY_LIMIT_S`.
    """
    give_up_at = time.monotonic() + READ_RETRY_LIMIT_S
    while True:
        try:
            return read()
        except InputError as error:
            if not error.is_transient or time.monotonic() >= give_up_at:
                raise
            time.sleep(READ_RETRY_DELAY_S)
