"""All timers of the node, in one heap that uses one delayed call of the reactor.

Times are those of the node's clock. A request sets several timers and cancels nearly all of them, so
cancelling only marks a timer. Marked timers are removed from the heap when they are due, or all at once when
there are many. Many timers may be due at once, such as those of a crowd of clients that connected together;
those that exceed a turn's budget fire in the following turns, in order.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heapify, heappop, heappush

from stepflow.logs import get_logger
from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import DelayedCall, Reactor
from stepflow.node.runtime.turn_budget import TurnBudget

log = get_logger()

MIN_LOGGED_LATENESS = timedelta(milliseconds=250)  # a timer that fires more than this late is logged
MIN_CANCELLED_TO_COMPACT = 256  # the heap is not compacted for fewer cancelled timers


class Timer:
    """A scheduled call, made once unless it is cancelled before."""

    __slots__ = ("_call", "_timers")

    def __init__(self, timers: Timers, call: Callable[[], None]) -> None:
        self._timers, self._call = timers, call

    def cancel(self) -> None:
        """Cancel the call; do nothing if it was cancelled or made before."""
        if self._call is not _no_op:
            self._call = _no_op
            self._timers.count_cancelled()

    def fire(self) -> None:
        """Make the call, and drop the reference to the call, which frees the objects that the call holds."""
        call, self._call = self._call, _no_op
        call()

    @property
    def is_pending(self) -> bool:
        """Whether the call was neither made nor cancelled."""
        return self._call is not _no_op


def _no_op() -> None:
    """Do nothing: the call of a timer that was cancelled or has fired."""


class Timers:
    """Schedules calls; only the earliest is scheduled with the reactor."""

    def __init__(self, clock: Clock, reactor: Reactor, counters: Counters) -> None:
        self._clock, self._reactor, self._counters = clock, reactor, counters
        self._heap: list[tuple[timedelta, int, Timer]] = []
        self._count = 0  # timers set so far; orders timers that are due at the same time
        self._cancelled = 0  # cancelled timers in the heap; may be slightly too high
        self._wakeup: DelayedCall | None = None
        self._wakeup_time = timedelta.max
        self._is_firing = False

    def at(self, due: timedelta, call: Callable[[], None]) -> Timer:
        """Schedule a call for a time on the node's clock."""
        timer = Timer(self, call)
        self._count += 1
        heappush(self._heap, (due, self._count, timer))
        if due < self._wakeup_time and not self._is_firing:
            self._schedule_wakeup()
        return timer

    def after(self, span: timedelta, call: Callable[[], None]) -> Timer:
        """Schedule a call after a time span."""
        return self.at(self._clock.now() + span, call)

    def count_cancelled(self) -> None:
        """Count a cancelled timer; compact the heap once there are many and they fill over half of it."""
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].is_pending]
            heapify(self._heap)
            self._cancelled = 0

    def _schedule_wakeup(self) -> None:
        if self._wakeup is not None and self._wakeup.active():
            self._wakeup.cancel()
        self._wakeup, self._wakeup_time = None, timedelta.max
        if self._heap:
            self._wakeup_time = self._heap[0][0]
            delay_s = max(0.0, (self._wakeup_time - self._clock.now()).total_seconds())
            self._wakeup = self._reactor.callLater(delay_s, self._defer_firing)

    def _defer_firing(self) -> None:
        """Defer the due timers to the reactor's next turn, after it has read all sockets once.

        In each turn the reactor makes due calls before it reads. After the process was blocked, a timer would
        otherwise fire although the data that should have cancelled it had arrived in time.
        """
        self._wakeup = self._reactor.callLater(0, self._fire_due)

    def _fire_due(self) -> None:
        now, budget = self._clock.now(), TurnBudget()
        self._check_lateness(now)
        self._is_firing = True  # the next wakeup is scheduled once, after the last call
        try:
            while self._heap and self._heap[0][0] <= now:
                timer = heappop(self._heap)[2]
                if not timer.is_pending:
                    self._cancelled = max(0, self._cancelled - 1)
                    continue
                try:
                    timer.fire()
                except Exception:
                    log.exception("timer callback failed")  # the other timers must still fire
                if budget.is_spent:
                    break
        finally:
            self._is_firing = False
            self._schedule_wakeup()

    def _check_lateness(self, now: timedelta) -> None:
        """Log and count a late timer: the process was blocked, or the clock jumped."""
        while self._heap and not self._heap[0][2].is_pending:
            heappop(self._heap)
            self._cancelled = max(0, self._cancelled - 1)
        lateness = now - self._heap[0][0] if self._heap else ZERO
        if lateness > MIN_LOGGED_LATENESS:
            self._counters.late_deadlines += 1
            log.warning("timers fired late", late_s=lateness.total_seconds())
