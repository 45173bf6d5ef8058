"""Tracks the lines of a client that its endpoint has not echoed yet, and the age of the oldest."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from stepflow.node.runtime.clock import ZERO

MAX_TIMED_LINES = 64
# A session whose oldest line has had no echo for this long is broken. Such a session has to end within 7 s of
# its endpoint's last line, and up to 2 s of the 7 s pass before the client sends the next line.
ECHO_TIMEOUT = timedelta(milliseconds=2500)


class Echoes(NamedTuple):
    """Echoes that came together, and the sum of their latencies."""

    lines: int
    latency_sum: timedelta


class PendingEchoes:
    """Counts the lines without an echo, and stores a time for each of the oldest `MAX_TIMED_LINES`.

    This is the time at which the line was sent. A line for which no entry was free then gets the time of the
    echo that frees one, which is not before its sending; so its age is never overestimated.
    Lines that came with a session from another process get the time at which the session was restored, which
    is later than their sending too.
    """

    def __init__(self) -> None:
        self._times: deque[timedelta] = deque()
        self._untimed = 0

    def __len__(self) -> int:
        return len(self._times) + self._untimed

    @property
    def oldest(self) -> timedelta | None:
        """The time stored for the oldest line without an echo; None if there is no such line."""
        return self._times[0] if self._times else None

    def add(self, now: timedelta, lines: int = 1) -> None:
        """Record that `lines` lines were sent at `now`."""
        timed = min(lines, MAX_TIMED_LINES - len(self._times))
        self._times.extend([now] * timed)
        self._untimed += lines - timed

    def echo(self, now: timedelta, lines: int = 1) -> Echoes:
        """Record echoes of the oldest `lines` lines, or of fewer if fewer are pending."""
        count = min(lines, len(self))
        timed = min(count, len(self._times))
        latency_sum = ZERO
        for _ in range(timed):
            latency_sum += now - self._times.popleft()
        if self._untimed:
            # The echoes of lines without a time come in the moment in which they would have got one.
            newly_timed = min(count, self._untimed)
            self._untimed -= newly_timed
            self._times.extend([now] * (newly_timed - (count - timed)))
        return Echoes(count, latency_sum)
