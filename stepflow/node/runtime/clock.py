"""The node's clock, and the units of its time spans.

Times and spans are `timedelta` within the node: a time is the span since the Unix epoch. The policy counts in
whole microseconds and the line protocol in whole milliseconds; both are rounded down.
"""

from __future__ import annotations

import time
from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
NS_PER_MICROSECOND = 1000
ZERO = timedelta(0)


def micros(span: timedelta) -> int:
    """A span in whole microseconds, the policy's unit."""
    return span // MICROSECOND


def millis(span: timedelta) -> int:
    """A span in whole milliseconds, the line protocol's unit."""
    return span // MILLISECOND


class Clock:
    """The time since the Unix epoch: read from the wall clock once, then advanced by the monotonic clock.

    Its times are compared with the start times of endpoints, which are Unix times, and must not jump when the
    machine's wall clock is set.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> timedelta:
        """The current time; it never decreases."""
        return timedelta(microseconds=(time.monotonic_ns() + self.offset_ns) // NS_PER_MICROSECOND)
