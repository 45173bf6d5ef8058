"""Session loads: the mean of the reported loads, and a moving mean for each class.

Loads are work per second. The first reported load shows their unit; before it, each session counts as 1.
"""

from __future__ import annotations

import math

CLASS_REPORT_WEIGHT = 0.02  # weight of a reported load in the mean of its class
MAX_MEAN_COUNT = 1000  # the mean covers about this many reported loads at most


class LoadEstimate:
    """The mean loads of sessions, in total and by class."""

    def __init__(self) -> None:
        self.mean = 1.0  # mean load of a session
        self.by_class: dict[int, float] = {}  # moving mean of the load, by class index
        self.count = 0  # number of reported loads

    def resolve(self, load: float | None, class_index: int) -> tuple[float, float]:
        """Return the load of a session, and the factor that converts earlier loads to its unit.

        A load that is missing, negative or not finite is replaced by the mean of its class, or of all
        sessions if its class has none.
        """
        if load is None or not math.isfinite(load) or load < 0:
            return self.by_class.get(class_index, self.mean), 1.0
        self.count += 1
        scale = 1.0
        if self.count == 1 and load > 0:
            scale, self.mean = load / self.mean, load
        self.mean += (load - self.mean) / min(self.count, MAX_MEAN_COUNT)
        class_mean = self.by_class.setdefault(class_index, load)
        self.by_class[class_index] = class_mean + CLASS_REPORT_WEIGHT * (load - class_mean)
        return load, scale

    def in_sessions(self, load: float) -> float:
        """Return a load in mean sessions: costs in this unit stay valid when the mean of few loads moves."""
        return load / self.mean if self.mean > 0 else 0.0  # all hints may be 0
