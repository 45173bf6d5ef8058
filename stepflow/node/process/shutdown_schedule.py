"""The end of a process: its moments after SIGTERM."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

# Clients keep coming for up to 0.4 s; SIGKILL comes no sooner than the longest deadline, of which no more
# than 3 s count, and 0.7 s more (PROTOCOL, "Figures").
STILL_COMING = timedelta(milliseconds=450)
DEADLINE_COUNTED = timedelta(seconds=3)
KILL_AFTER = timedelta(milliseconds=700)
EXIT = timedelta(milliseconds=150)  # what the exit itself takes, on a busy core
FAREWELL = timedelta(milliseconds=500)  # the most that the last answers take to be read
MOVES_FROM = 0.55  # share of the time from the listener's end to the last moves in which all are kept


class Leave(NamedTuple):
    """Spans from SIGTERM on."""

    shut: timedelta  # the listener is closed: whoever comes now is rejected
    end: timedelta  # whoever is left is answered and moved
    stop: timedelta  # the process ends, whatever is still unread


def leave(longest: timedelta) -> Leave:
    """The moments of a leave under settings whose longest deadline is this."""
    counted = min(longest, DEADLINE_COUNTED)
    end = max(counted, STILL_COMING)
    return Leave(STILL_COMING, end, min(end + FAREWELL, counted + KILL_AFTER - EXIT))


def move_waits(span: timedelta, count: int, kept: float) -> list[timedelta]:
    """How long each of so many sessions waits for its move, evenly over what all are not kept for."""
    return [span * (kept + (1 - kept) * i / count) for i in range(1, count + 1)]
