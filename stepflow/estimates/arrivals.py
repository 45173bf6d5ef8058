"""How fast requests come to this node, and whether the sessions adopted at its start outweigh them."""

from __future__ import annotations

import math

SECOND_US = 1_000_000
RATE_MEMORY_S = 20.0
RATE_KNOWN_AFTER_S = 3.0  # before, the own request rate tells nothing
MIN_SESSION_S = 60.0  # a session lives so long at the least: the rate that a number of them stands for
ADOPTED_RATIO = 6.0  # adopted ones outweigh by this: an overload then lasts, and few new requests find it


class ArrivalEstimate:
    """Counts of one node. `decay` tells it how time passes; the owner counts requests and sessions."""

    def __init__(self) -> None:
        self.new_requests = 0.0  # decaying; without retries and migrated ones
        self.open_sessions = 0
        self.adopted_sessions = 0  # as many as were adopted at the start, whether they ended or not
        self.age_s = 0.0

    def decay(self, seconds: float) -> None:
        """Let time pass."""
        self.age_s += seconds
        self.new_requests *= math.exp(-seconds / RATE_MEMORY_S)

    def request_rate(self) -> float:
        """New requests a second."""
        return self.new_requests / (RATE_MEMORY_S * (1 - math.exp(-max(1.0, self.age_s) / RATE_MEMORY_S)))

    def turnover(self) -> float:
        """New requests a second, at least as many as the open sessions stand for."""
        return max(self.request_rate(), self.open_sessions / MIN_SESSION_S)

    def is_mostly_adopted(self) -> bool:
        """Whether adopted sessions, which are priced as first attempts too, outweigh new requests."""
        return (
            self.age_s > RATE_KNOWN_AFTER_S
            and self.adopted_sessions / MIN_SESSION_S > ADOPTED_RATIO * self.request_rate()
        )
