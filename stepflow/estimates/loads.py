"""What connections weigh: the mean of the loads that were told, and the usual one of each class."""

from __future__ import annotations

import math

CLASS_LEARN = 0.02  # share of a told load in the usual one of its class
MEMORY = 1000  # told loads that the mean is of, at the most


class LoadEstimate:
    """Loads are work a second, in a unit that the first told one shows; until then one stands for each."""

    def __init__(self) -> None:
        self.mean = 1.0  # of a connection
        self.by_class: dict[int, float] = {}  # the usual one
        self.count = 0  # of those that were told

    def resolve(self, load: float | None, cls: int) -> tuple[float, float]:
        """The load of a connection, and the factor that brings what was counted before into its unit.

        One that is not told, or has no sense, is that of others of its class.
        """
        if load is None or not math.isfinite(load) or load < 0:
            return self.by_class.get(cls, self.mean), 1.0
        self.count += 1
        scale = 1.0
        if self.count == 1 and load > 0:
            scale, self.mean = load / self.mean, load
        self.mean += (load - self.mean) / min(self.count, MEMORY)
        usual = self.by_class.setdefault(cls, load)
        self.by_class[cls] = usual + CLASS_LEARN * (load - usual)
        return load, scale

    def units(self, load: float) -> float:
        """A load in mean connections, the unit of costs: a mean of few told loads moves far."""
        return load / self.mean if self.mean > 0 else 0.0  # hints may all be 0
