"""When Python's garbage collector runs.

What a session holds is freed by reference counting alone (tests/test_leaks.py); cycles come only of the HTTP
library, at discovery's and the operators' calls, and of failures that are logged.
"""

from __future__ import annotations

import gc
from datetime import timedelta

from stepflow.node.runtime.timers import Timers

YOUNG = 20_000  # new objects until the youngest generation is collected
MIDDLE = 5  # times of that until the middle one is
NEVER = 1 << 30  # the oldest generation is collected at stated moments only
WHOLE_EVERY = timedelta(minutes=5)


class GarbageCollection:
    """Collects the oldest generation now and then: its pause grows with what stands."""

    def __init__(self, deadlines: Timers) -> None:
        self._deadlines = deadlines

    def begin(self) -> None:
        """What stands by now stays: it is never looked through again."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG, MIDDLE, NEVER)
        self._deadlines.after(WHOLE_EVERY, self._collect)

    def _collect(self) -> None:
        gc.collect()
        self._deadlines.after(WHOLE_EVERY, self._collect)
