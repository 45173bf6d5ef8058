"""The node's one clock: Unix time at the start, advanced by the monotonic clock."""

from __future__ import annotations

import time
from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)
ZERO = timedelta(0)


def micros(span: timedelta) -> int:
    """A span as the whole microseconds that the decision module speaks."""
    return span // MICROSECOND


def millis(span: timedelta) -> int:
    """A span as the whole milliseconds that the line protocol speaks."""
    return span // timedelta(milliseconds=1)


class Clock:
    """Tells the time since the Unix epoch.

    It must compare with the start times of map servers, which are Unix times, and must not jump
    when the system's clock is set: so the wall clock is read once only.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> timedelta:
        return timedelta(microseconds=(time.monotonic_ns() + self.offset_ns) // 1000)
