"""The schedule of a graceful shutdown, counted from SIGTERM.

Responsible for the length of each phase; owns nothing. All durations are timedeltas. Source:
docs/endings.md, and the platform's protocol ("Figures"): clients keep connecting for up to 0.4 s, and SIGKILL
comes no sooner than 0.7 s after the longest deadline, which counts as at most 3 s.
"""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

CLIENT_LINGER = timedelta(milliseconds=450)  # no client connects later than this
MAX_DEADLINE_COUNTED = timedelta(seconds=3)
KILL_AFTER = timedelta(milliseconds=700)
EXIT_TIME = timedelta(milliseconds=150)  # time that the exit itself takes on a busy core
LAST_ANSWERS_TIME = timedelta(milliseconds=500)  # time limit for clients to read the last answers
# No session is migrated in this first share of the time from the listener's end to the last migration.
MIGRATION_START_SHARE = 0.55


class ShutdownSchedule(NamedTuple):
    """Durations from SIGTERM to each step."""

    listener_end: timedelta  # the listener is closed; later clients are rejected
    sessions_end: timedelta  # remaining requests are answered, remaining sessions migrated
    exit: timedelta  # the process exits, even if answers are unread


def shutdown_schedule(longest_deadline: timedelta) -> ShutdownSchedule:
    """Return the schedule for the longest deadline of the settings."""
    counted = min(longest_deadline, MAX_DEADLINE_COUNTED)
    sessions_end = max(counted, CLIENT_LINGER)
    process_end = min(sessions_end + LAST_ANSWERS_TIME, counted + KILL_AFTER - EXIT_TIME)
    return ShutdownSchedule(CLIENT_LINGER, sessions_end, process_end)


def migration_delays(span: timedelta, count: int, start_share: float) -> list[timedelta]:
    """Return the delays of `count` migrations, spread evenly over `span` except its first `start_share`."""
    return [span * (start_share + (1 - start_share) * i / count) for i in range(1, count + 1)]
