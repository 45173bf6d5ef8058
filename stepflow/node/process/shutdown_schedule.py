"""The end of a process: its moments after SIGTERM."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

# Clients keep coming for up to 0.4 s; SIGKILL comes no sooner than the longest deadline, of which no more
# than 3 s count, and 0.7 s more (PROTOCOL, "Figures").
CLIENT_LINGER = timedelta(milliseconds=450)
DEADLINE_COUNTED = timedelta(seconds=3)
KILL_AFTER = timedelta(milliseconds=700)
EXIT = timedelta(milliseconds=150)  # what the exit itself takes, on a busy core
FAREWELL = timedelta(milliseconds=500)  # the most that the last answers take to be read
MIGRATION_START_SHARE = (
    0.55  # share of the time from the listener's end to the last moves in which all are kept
)


class ShutdownSchedule(NamedTuple):
    """Spans from SIGTERM on."""

    shut: timedelta  # the listener is closed: whoever comes now is rejected
    end: timedelta  # whoever is left is answered and moved
    stop: timedelta  # the process ends, whatever is still unread


def shutdown_schedule(longest: timedelta) -> ShutdownSchedule:
    """The moments of a leave under settings whose longest deadline is this."""
    counted = min(longest, DEADLINE_COUNTED)
    end = max(counted, CLIENT_LINGER)
    return ShutdownSchedule(CLIENT_LINGER, end, min(end + FAREWELL, counted + KILL_AFTER - EXIT))


def migration_delays(span: timedelta, count: int, kept: float) -> list[timedelta]:
    """How long each of so many sessions waits for its move, evenly over what all are not kept for."""
    return [span * (kept + (1 - kept) * i / count) for i in range(1, count + 1)]
