"""The schedule of Python's garbage collector.

Everything a session holds is freed by reference counting alone (tests/node/test_leaks.py). Reference cycles
arise only in the HTTP library, in calls of discovery and of operators, and from failures that are logged. So
the collector can run rarely. Its pause, during which no client is served, grows with the number of objects
that it examines.
"""

from __future__ import annotations

import gc
from datetime import timedelta

from stepflow.node.runtime.timers import Timers

YOUNG_THRESHOLD = 20_000  # new objects that trigger a collection of the youngest generation
MIDDLE_THRESHOLD = 5  # collections of the youngest generation that trigger one of the middle generation
OLDEST_THRESHOLD = 1 << 30  # never reached: a timer collects the oldest generation
FULL_COLLECTION_INTERVAL = timedelta(minutes=5)


class GarbageCollection:
    """Sets the collector's thresholds, and collects the oldest generation at intervals."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers

    def start(self) -> None:
        """Take over the collector; objects that exist now are frozen and never examined again."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLDEST_THRESHOLD)
        self._timers.after(FULL_COLLECTION_INTERVAL, self._collect)

    def _collect(self) -> None:
        gc.collect()
        self._timers.after(FULL_COLLECTION_INTERVAL, self._collect)
