"""When a list that has to be asked for is asked for again. Pure: times in, waits out.

Whatever discovery has to tell counts as told 6 s after it could be had (PROTOCOL, "Figures"). In those 6 s
lie a call that nobody answers, given up after ANSWER, or else the longest wait between two calls; then the
wait for the turn at a discovery that serves all nodes one after another. So no wait is longer than such a
call, and what a call has taken counts as waited.
"""

from __future__ import annotations

import random

ANSWER_US = 3_000_000  # the most that a call waits for its answer: calls have their turns
SILENCE_US = 2_750_000  # a watch that brings nothing for so long is broken: a line comes every 2 s
SPREAD_US = 2_500_000  # the first calls of all instances are spread over this
AGAIN_US = 500_000  # a failed call is made again after this, doubled each time
MOST_US = 2_500_000  # but after no more than this
SOON_US = 300_000  # all nodes lose a watch at once: even a call that is overdue is made within this


class PollSchedule:
    """The calls of one instance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failed = self._asked_us = 0

    def first_delay(self) -> int:
        """Until the first call."""
        return self._rng.randrange(1, SPREAD_US)

    def poll_started(self, now: int) -> None:
        """A call begins."""
        self._asked_us = now

    def poll_succeeded(self) -> None:
        """A list has come."""
        self._failed = 0

    def retry_delay(self, now: int, within_us: int) -> int:
        """Until the next call, when one has failed; within the time that the settings give for asking."""
        most = min(AGAIN_US << min(self._failed, 8), MOST_US, max(1, within_us // 2))
        self._failed += 1
        wait = int(most * self._rng.uniform(0.5, 1.0)) - (now - self._asked_us)
        return max(wait, self._rng.randrange(1, SOON_US))
