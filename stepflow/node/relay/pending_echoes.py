"""Tracks the lines of a client that its endpoint has not echoed yet, and the age of the oldest."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

MAX_TIMED_LINES = 64
# A session whose oldest line has had no echo for this long is broken. Such a session has to end within 7 s of
# its endpoint's last line, and up to 2 s of the 7 s pass before the client sends the next line.
ECHO_TIMEOUT = timedelta(milliseconds=2500)


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

    def echo(self, now: timedelta) -> timedelta | None:
        """Record an echo of the oldest line; return its latency, or None if no line is pending."""
        if not self._times:
            return None
        latency = now - self._times.popleft()
        if self._untimed:
            self._untimed -= 1
            self._times.append(now)
        return latency
