"""When to fetch the endpoint list again after a call has failed. Pure: times in, delays out, in microseconds.

The list may be 6 s old at most, counted from when discovery could have told it (PROTOCOL, "Figures"). These 6
s have to hold either a call that nobody answers, given up after `ANSWER_TIMEOUT_US`, or the longest delay
between two calls; and then the wait for this node's turn at a discovery that serves all nodes one after
another. So no delay is longer than a call's timeout, and the time that the failed call took counts towards
the delay.
"""

from __future__ import annotations

import random

ANSWER_TIMEOUT_US = 3_000_000  # long enough for a node's turn
WATCH_SILENCE_LIMIT_US = 2_750_000  # a watch that is silent for longer is broken: a line comes every 2 s
FIRST_POLL_SPREAD_US = 2_500_000  # the first calls of all nodes are spread over this
MIN_RETRY_DELAY_US = 500_000  # doubled with each failure
MAX_RETRY_DELAY_US = 2_500_000
OVERDUE_SPREAD_US = 300_000  # all nodes lose a watch at once: even an overdue call is delayed within this

_MAX_DOUBLINGS = 8  # far more than the limit above allows
_MIN_JITTER = 0.5  # a delay is drawn from this share of it to the whole


class PollSchedule:
    """One node's calls: exponential backoff with jitter, started anew by each list."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0  # since the last list
        self._poll_started_us = 0

    def first_delay(self) -> int:
        """Return the delay before the first call."""
        return self._rng.randrange(1, FIRST_POLL_SPREAD_US)

    def poll_started(self, now: int) -> None:
        """Note that a call begins."""
        self._poll_started_us = now

    def poll_succeeded(self) -> None:
        """Note that a list has come."""
        self._failures = 0

    def retry_delay(self, now: int, within_us: int) -> int:
        """Return the delay before the next call after a failed one; two calls fit into `within_us`."""
        backoff_us = MIN_RETRY_DELAY_US << min(self._failures, _MAX_DOUBLINGS)
        limit_us = min(backoff_us, MAX_RETRY_DELAY_US, max(1, within_us // 2))
        self._failures += 1
        since_start_us = now - self._poll_started_us
        delay_us = int(limit_us * self._rng.uniform(_MIN_JITTER, 1.0)) - since_start_us
        return max(delay_us, self._rng.randrange(1, OVERDUE_SPREAD_US))
