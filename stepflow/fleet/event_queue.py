"""The clock of a simulation: calls in the order of their times, and of their scheduling within one time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Scheduled calls on one heap. Times are microseconds; `now` is that of the call that runs."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._added = 0

    def at(self, due: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time; a time that has passed means now."""
        self._added += 1
        heapq.heappush(self._heap, (max(due, self.now), self._added, call))

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call so many microseconds from now."""
        self.at(self.now + int(delay), call)

    def run_until(self, end: int) -> None:
        """Run all calls that are due by a time, also those that they schedule."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
