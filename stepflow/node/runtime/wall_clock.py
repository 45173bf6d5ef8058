"""Detects steps of the machine's wall clock; they are logged and counted, and do not affect the node."""

from __future__ import annotations

import time
from datetime import timedelta

from stepflow.logs import get_logger
from stepflow.node.runtime.clock import NS_PER_MICROSECOND
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers

log = get_logger()

CHECK_INTERVAL = timedelta(seconds=1)
# A smaller difference may be a slew, or a delay of the process between reading the two clocks.
MIN_STEP = timedelta(milliseconds=100)


class WallClockMonitor:
    """Compares the wall clock with the monotonic clock at intervals."""

    def __init__(self, timers: Timers, counters: Counters) -> None:
        self._timers, self._counters = timers, counters
        self._offset = _wall_clock_offset()

    def start(self) -> None:
        """Start the periodic check, which runs until the process ends."""
        self._timers.after(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        offset = _wall_clock_offset()
        step = offset - self._offset
        if abs(step) >= MIN_STEP:
            self._counters.clock_steps += 1
            log.warning("wall clock stepped", by_s=step.total_seconds())
        self._offset = offset
        self._timers.after(CHECK_INTERVAL, self._check)


def _wall_clock_offset() -> timedelta:
    """The time by which the wall clock is ahead of the monotonic clock."""
    return timedelta(microseconds=(time.time_ns() - time.monotonic_ns()) // NS_PER_MICROSECOND)
