"""How fast connections come to this node, and whether those that stood before its start outweigh them."""

from __future__ import annotations

import math

SECOND = 1_000_000
RATE_S = 20.0  # memory of the own request rate
RATE_KNOWN_S = 3.0  # the own request rate tells nothing before
LIFE_S = 60.0  # a connection lives so long at the least: the rate that a number of them stands for
OUTWEIGH = 6.0  # as many times the new ones: a jam then lasts, and few new ones find it


class ArrivalEstimate:
    """Counts of one instance."""

    def __init__(self) -> None:
        self.fresh = 0.0  # requests, fading with RATE_S
        self.open = 0  # connections that stand
        self.adopted = 0  # connections that stood at the start
        self.age_s = 0.0

    def fade(self, seconds: float) -> None:
        """Let time pass."""
        self.age_s += seconds
        self.fresh *= math.exp(-seconds / RATE_S)

    def rate(self) -> float:
        """Fresh requests a second."""
        return self.fresh / (RATE_S * (1 - math.exp(-max(1.0, self.age_s) / RATE_S)))

    def turnover(self) -> float:
        """The same, but that those told open at the start count as well: there may be few new ones."""
        return max(self.rate(), self.open / LIFE_S)

    def mostly_standing(self) -> bool:
        """Whether those told open at the start, which are priced as first tries too, outweigh new ones."""
        return self.age_s > RATE_KNOWN_S and self.adopted / LIFE_S > OUTWEIGH * self.rate()
