"""The delays between calls to discovery after a failed call, in microseconds. No I/O; callers pass the time.

The list may be at most 6 s old, counted from when discovery could have sent it (PROTOCOL, "Figures"). Within
these 6 s, there must be time for either a call without an answer, which times out after `ANSWER_TIMEOUT_US`,
or the longest delay between two calls, and then for the queue of a discovery that serves all nodes one after
another. So no delay is longer than the timeout of a call, and the duration of the failed call counts towards
the delay.

Settings may name a shorter time for asking (`within_us` below; `safety.ask_within_us`, PROTOCOL, "The rules
on sockets"). Two calls fit into that time, too, whether the first one fails or stays without an answer.
"""

from __future__ import annotations

import random

ANSWER_TIMEOUT_US = 3_000_000  # timeout of a call; allows for a node's wait in discovery's queue
HEARTBEAT_US = 2_000_000  # discovery, or an agent, sends an empty line this often while nothing changes
HEARTBEAT_SLACK_US = 750_000
WATCH_SILENCE_LIMIT_US = HEARTBEAT_US + HEARTBEAT_SLACK_US  # a watch that was silent for longer is broken
FIRST_POLL_SPREAD_US = 2_500_000  # the first calls of all nodes are spread over this time at the most
MIN_RETRY_DELAY_US = 500_000  # limit of the first delay; doubled after each failure
MAX_RETRY_DELAY_US = 2_500_000
# Even overdue calls are delayed by a random time up to this: all nodes may lose their watches at once.
OVERDUE_SPREAD_US = 300_000
MIN_CALL_INTERVAL_US = 50_000  # however little time the settings leave

_MAX_DOUBLINGS = 8  # more than enough to reach MAX_RETRY_DELAY_US
_MIN_JITTER = 0.5  # a delay is drawn between this share of its limit and the limit


def unanswered_call_limit_us(within_us: int) -> int:
    """Return the time after which another call is made beside one that has no answer; half of `within_us`."""
    return max(MIN_CALL_INTERVAL_US, within_us // 2)


class PollSchedule:
    """One node's calls: exponential backoff with jitter, reset by each list."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0  # failed calls since the last list
        self._poll_started_us = 0

    def first_delay(self, within_us: int) -> int:
        """Return the delay before the first call; at most half of `within_us`, as after a failed call."""
        limit_us = min(FIRST_POLL_SPREAD_US, within_us // 2)
        return self._rng.randrange(1, max(2, limit_us))

    def poll_started(self, now: int) -> None:
        """Record that a call starts."""
        self._poll_started_us = now

    def poll_succeeded(self) -> None:
        """Record that a list was received."""
        self._failures = 0

    def retry_delay(self, now: int, within_us: int) -> int:
        """Return the delay before the next call after a failed one.

        The backoff is limited to half of `within_us`, so that two calls fit into that time.
        """
        backoff_us = MIN_RETRY_DELAY_US << min(self._failures, _MAX_DOUBLINGS)
        limit_us = min(backoff_us, MAX_RETRY_DELAY_US, max(1, within_us // 2))
        self._failures += 1
        since_start_us = now - self._poll_started_us
        delay_us = int(limit_us * self._rng.uniform(_MIN_JITTER, 1.0)) - since_start_us
        spread_us = min(OVERDUE_SPREAD_US, max(MIN_CALL_INTERVAL_US, within_us // 4))
        return max(delay_us, self._rng.randrange(1, spread_us))
