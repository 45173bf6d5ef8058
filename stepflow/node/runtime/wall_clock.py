"""Watches the machine's wall clock: a step of it is logged and counted, and changes nothing in the node."""

from __future__ import annotations

import time
from datetime import timedelta

from stepflow.logs import get_logger
from stepflow.node.runtime.clock import NS_PER_MICROSECOND
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers

log = get_logger()

CHECK_INTERVAL = timedelta(seconds=1)
# A smaller difference may be a slew, or the process was held up between the reads of the two clocks.
MIN_STEP = timedelta(milliseconds=100)


class WallClockMonitor:
    """Compares the wall clock with the monotonic one at intervals."""

    def __init__(self, timers: Timers, counters: Counters) -> None:
        self._timers, self._counters = timers, counters
        self._offset = _wall_clock_offset()

    def begin(self) -> None:
        """Check from now on, until the process ends."""
        self._timers.after(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        offset = _wall_clock_offset()
        step = offset - self._offset
        if abs(step) >= MIN_STEP:
            self._counters.clock_steps += 1
            log.warning("the wall clock was stepped", by_s=step.total_seconds())
        self._offset = offset
        self._timers.after(CHECK_INTERVAL, self._check)


def _wall_clock_offset() -> timedelta:
    """How far the wall clock is ahead of the monotonic one."""
    return timedelta(microseconds=(time.time_ns() - time.monotonic_ns()) // NS_PER_MICROSECOND)
