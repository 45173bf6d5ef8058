"""The lines of a client that its endpoint has not echoed yet, and since when the oldest waits."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

MAX_TIMED_LINES = 64


class PendingEchoes:
    """Counts the lines without an echo, and remembers the times of the oldest `MAX_TIMED_LINES`.

    A line beyond those is timed from when an echo makes room for it, so none is taken for older than it is.
    """

    def __init__(self) -> None:
        self._times: deque[timedelta] = deque()
        self._untimed = 0

    def __len__(self) -> int:
        return len(self._times) + self._untimed

    @property
    def oldest(self) -> timedelta | None:
        """Since when the oldest line waits; None if none does."""
        return self._times[0] if self._times else None

    def add(self, now: timedelta, lines: int = 1) -> None:
        """Note that so many lines went out."""
        timed = min(lines, MAX_TIMED_LINES - len(self._times))
        self._times.extend([now] * timed)
        self._untimed += lines - timed

    def echo(self, now: timedelta) -> timedelta | None:
        """Note an echo; returns how long the oldest line had waited, None if no line was waiting."""
        if not self._times:
            return None
        latency = now - self._times.popleft()
        if self._untimed:
            self._untimed -= 1
            self._times.append(now)
        return latency
