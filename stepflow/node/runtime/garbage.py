"""When Python's garbage collector runs.

What a session holds is freed by reference counting alone (tests/node/test_leaks.py). Cycles come only of the
HTTP library, in calls of discovery and of operators, and of failures that are logged. So the collector may
run seldom: its pause, in which no client is served, grows with the number of objects that it looks through.
"""

from __future__ import annotations

import gc
from datetime import timedelta

from stepflow.node.runtime.timers import Timers

YOUNG_THRESHOLD = 20_000  # new objects until the youngest generation is collected
MIDDLE_THRESHOLD = 5  # collections of the youngest generation until the middle one is collected
OLDEST_THRESHOLD = 1 << 30  # never reached: the oldest generation is collected by a timer
FULL_COLLECTION_INTERVAL = timedelta(minutes=5)


class GarbageCollection:
    """Sets the collector's thresholds, and collects the oldest generation at intervals."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers

    def begin(self) -> None:
        """Take over the collector; the objects that exist by now are never looked through again."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLDEST_THRESHOLD)
        self._timers.after(FULL_COLLECTION_INTERVAL, self._collect)

    def _collect(self) -> None:
        gc.collect()
        self._timers.after(FULL_COLLECTION_INTERVAL, self._collect)
