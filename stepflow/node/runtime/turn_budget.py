"""Limits how long one source of events works in one turn of the reactor.

The reactor serves one socket or timer after another, so work that grows with the number of clients would
delay all other connections. Such work stops once its budget is spent and goes on in a later turn.
"""

from __future__ import annotations

import time
from datetime import timedelta

MAX_WORK_PER_TURN = timedelta(milliseconds=10)  # of one source of events


class TurnBudget:
    """The time that one source of events may use in the current turn; counted from its creation."""

    __slots__ = ("_ends_at_s",)

    def __init__(self, span: timedelta = MAX_WORK_PER_TURN) -> None:
        self._ends_at_s = time.monotonic() + span.total_seconds()

    @property
    def is_spent(self) -> bool:
        """Whether the rest of the work has to wait for a later turn."""
        return time.monotonic() >= self._ends_at_s
