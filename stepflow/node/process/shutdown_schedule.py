"""The moments of a graceful shutdown, counted from SIGTERM.

Responsible for how long each phase takes; owns nothing. All spans are timedeltas. Source: docs/endings.md,
and the platform's protocol ("Figures"): clients keep coming for up to 0.4 s, and SIGKILL comes no sooner than
the longest deadline, of which no more than 3 s count, and 0.7 s more.
"""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

CLIENT_LINGER = timedelta(milliseconds=450)  # clients have stopped coming by then
MAX_DEADLINE_COUNTED = timedelta(seconds=3)
KILL_AFTER = timedelta(milliseconds=700)
EXIT_TIME = timedelta(milliseconds=150)  # what the exit itself takes, on a busy core
LAST_ANSWERS_TIME = timedelta(milliseconds=500)  # the most that the last answers take to be read
# Share of the time from the listener's end to the last migrations in which all sessions are kept.
MIGRATION_START_SHARE = 0.55


class ShutdownSchedule(NamedTuple):
    """Spans from SIGTERM on."""

    listener_end: timedelta  # the listener is closed: whoever comes now is rejected
    sessions_end: timedelta  # whoever is left is answered and migrated
    exit: timedelta  # the process ends, whatever is still unread


def shutdown_schedule(longest_deadline: timedelta) -> ShutdownSchedule:
    """The schedule under settings whose longest deadline is this."""
    counted = min(longest_deadline, MAX_DEADLINE_COUNTED)
    sessions_end = max(counted, CLIENT_LINGER)
    process_end = min(sessions_end + LAST_ANSWERS_TIME, counted + KILL_AFTER - EXIT_TIME)
    return ShutdownSchedule(CLIENT_LINGER, sessions_end, process_end)


def migration_delays(span: timedelta, count: int, start_share: float) -> list[timedelta]:
    """How long each of `count` sessions waits for its migration: evenly over `span` less its first share."""
    return [span * (start_share + (1 - start_share) * i / count) for i in range(1, count + 1)]
