"""Watches the machine's wall clock: a step of it is told and counted, and changes nothing in the node."""

from __future__ import annotations

import time
from datetime import timedelta

from stepflow.logs import get_logger
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers

log = get_logger()

LOOK_EVERY = timedelta(seconds=1)
STEP = timedelta(
    milliseconds=100
)  # a smaller difference may be a slew, or this process held up between two reads


class WallClockMonitor:
    """Compares the wall clock with the monotonic one now and then."""

    def __init__(self, deadlines: Timers, counters: Counters) -> None:
        self._deadlines, self._counters = deadlines, counters
        self._ahead = _wall_ahead()

    def begin(self) -> None:
        """Look from now on, for the process's life."""
        self._deadlines.after(LOOK_EVERY, self._look)

    def _look(self) -> None:
        ahead = _wall_ahead()
        stepped = ahead - self._ahead
        if abs(stepped) >= STEP:
            self._counters.clock_steps += 1
            log.warning("the wall clock was stepped", by_s=stepped.total_seconds())
        self._ahead = ahead
        self._deadlines.after(LOOK_EVERY, self._look)


def _wall_ahead() -> timedelta:
    """How far the wall clock is ahead of the monotonic one."""
    return timedelta(microseconds=(time.time_ns() - time.monotonic_ns()) // 1000)
