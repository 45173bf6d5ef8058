"""All deadlines of the node, in one ordered heap behind one call of the reactor."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heapify, heappop, heappush

from stepflow.logs import get_logger
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.transports import DelayedCall, Reactor

log = get_logger()

LATE = timedelta(milliseconds=250)  # a deadline that comes so late is told
COMPACT_FROM = 256  # cancelled entries that may stay in the heap


class Timer:
    """Something to be done at a time, unless it is called off before."""

    __slots__ = ("_call", "_heap")

    def __init__(self, heap: Timers, call: Callable[[], None]) -> None:
        self._heap, self._call = heap, call

    def cancel(self) -> None:
        """Call it off; may be said again, and after it has come."""
        if self._call is not _nothing:
            self._call = _nothing
            self._heap.cancelled()

    def take(self) -> Callable[[], None]:
        """Its call, which is made once only."""
        call, self._call = self._call, _nothing
        return call

    @property
    def stands(self) -> bool:
        return self._call is not _nothing


def _nothing() -> None:
    """What a deadline does that was called off."""


class Timers:
    """The heap; its head alone is known to the reactor."""

    def __init__(self, clock: Clock, reactor: Reactor, counters: Counters) -> None:
        self._clock, self._reactor, self._counters = clock, reactor, counters
        self._heap: list[tuple[timedelta, int, Timer]] = []
        self._count = self._dead = 0
        self._armed: DelayedCall | None = None
        self._armed_for = timedelta.max
        self._firing = False

    def at(self, due: timedelta, call: Callable[[], None]) -> Timer:
        """Have this called at a time of the node's clock."""
        deadline = Timer(self, call)
        self._count += 1
        heappush(self._heap, (due, self._count, deadline))
        if due < self._armed_for and not self._firing:
            self._arm()
        return deadline

    def after(self, span: timedelta, call: Callable[[], None]) -> Timer:
        """Have this called after a span from now."""
        return self.at(self._clock.now() + span, call)

    def cancelled(self) -> None:
        """Count a deadline called off; the heap is cleared of them once they are many."""
        self._dead += 1
        if self._dead >= COMPACT_FROM and 2 * self._dead > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].stands]
            heapify(self._heap)
            self._dead = 0

    def _arm(self) -> None:
        if self._armed is not None and self._armed.active():
            self._armed.cancel()
        self._armed, self._armed_for = None, timedelta.max
        if self._heap:
            self._armed_for = self._heap[0][0]
            wait = max(0.0, (self._armed_for - self._clock.now()).total_seconds())
            self._armed = self._reactor.callLater(wait, self._due)

    def _due(self) -> None:
        """What came before the head was due counts first: a process that was held up hears of both at once.

        The reactor makes due calls before it reads; this puts one look at all sockets between.
        """
        self._armed = self._reactor.callLater(0, self._fire)

    def _fire(self) -> None:
        now = self._clock.now()
        self._note_lateness(now)
        self._firing = True  # the head is armed once, when all that is due is done
        try:
            while self._heap and self._heap[0][0] <= now:
                deadline = heappop(self._heap)[2]
                if not deadline.stands:
                    self._dead = max(0, self._dead - 1)
                    continue
                try:
                    deadline.take()()
                except Exception:
                    log.exception("a deadline's call failed")  # the others still have to come
        finally:
            self._firing = False
            self._arm()

    def _note_lateness(self, now: timedelta) -> None:
        """Tell of a process that was held up, or of a clock that is not what it should be."""
        while self._heap and not self._heap[0][2].stands:
            heappop(self._heap)
            self._dead = max(0, self._dead - 1)
        late = now - self._heap[0][0] if self._heap else timedelta(0)
        if late > LATE:
            self._counters.late_deadlines += 1
            log.warning("deadlines come late", late_s=late.total_seconds())
