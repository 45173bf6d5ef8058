"""The clock of a simulation: runs calls by time, and calls at the same time in the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Scheduled calls in a heap. Times are in microseconds; `now` is the time of the current call."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._added = 0

    def call_at(self, due: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time; a time in the past means now."""
        self._added += 1
        heapq.heappush(self._heap, (max(due, self.now), self._added, call))

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in microseconds."""
        self.call_at(self.now + int(delay), call)

    def run_until(self, end: int) -> None:
        """Run all calls that are due by a time, including calls that are scheduled meanwhile."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
