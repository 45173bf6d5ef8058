"""What sessions weigh: the mean of the loads that were reported, and the usual one of each class.

Loads are work a second, in a unit that the first reported one shows; until then each session counts as 1.
"""

from __future__ import annotations

import math

CLASS_REPORT_WEIGHT = 0.02  # share of a reported load in the usual one of its class
MAX_MEAN_COUNT = 1000  # reported loads that the mean is of, at the most


class LoadEstimate:
    """The loads seen so far."""

    def __init__(self) -> None:
        self.mean = 1.0  # of a session
        self.by_class: dict[int, float] = {}  # the usual load, by class index
        self.count = 0  # reported loads

    def resolve(self, load: float | None, class_index: int) -> tuple[float, float]:
        """The load of a session, and the factor that brings what was counted before into its unit.

        One that is not reported, or makes no sense, is the usual one of its class.
        """
        if load is None or not math.isfinite(load) or load < 0:
            return self.by_class.get(class_index, self.mean), 1.0
        self.count += 1
        scale = 1.0
        if self.count == 1 and load > 0:
            scale, self.mean = load / self.mean, load
        self.mean += (load - self.mean) / min(self.count, MAX_MEAN_COUNT)
        usual = self.by_class.setdefault(class_index, load)
        self.by_class[class_index] = usual + CLASS_REPORT_WEIGHT * (load - usual)
        return load, scale

    def in_sessions(self, load: float) -> float:
        """A load in mean sessions, the unit of costs: a mean of few reported loads moves far."""
        return load / self.mean if self.mean > 0 else 0.0  # hints may all be 0
