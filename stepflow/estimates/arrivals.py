"""Estimates the rate of requests at this node, and whether adopted sessions outweigh new requests."""

from __future__ import annotations

import math

SECOND_US = 1_000_000
RATE_DECAY_S = 20.0
RATE_KNOWN_AFTER_S = 3.0  # a node's request rate is not reliable before this age
MIN_SESSION_S = 60.0  # assumed minimum life of a session, which converts open sessions to a rate
# Ratio of the rates of adopted and new; above it, an overload lasts long, since few new requests detect it.
ADOPTED_RATIO = 6.0


class ArrivalEstimate:
    """The counts of one node. The owner counts requests and sessions, and calls `decay` as time passes."""

    def __init__(self) -> None:
        self.new_requests = 0.0  # decays; excludes clients' retries and migrated sessions
        self.open_sessions = 0
        self.adopted_sessions = 0  # all that were adopted at the start, including those that have ended
        self.age_s = 0.0

    def decay(self, seconds: float) -> None:
        """Decay the counts by `seconds`."""
        self.age_s += seconds
        self.new_requests *= math.exp(-seconds / RATE_DECAY_S)

    def request_rate(self) -> float:
        """Return the number of new requests a second."""
        return self.new_requests / (RATE_DECAY_S * (1 - math.exp(-max(1.0, self.age_s) / RATE_DECAY_S)))

    def turnover(self) -> float:
        """Return the number of new requests a second, or the rate implied by the open sessions if higher."""
        return max(self.request_rate(), self.open_sessions / MIN_SESSION_S)

    def is_mostly_adopted(self) -> bool:
        """Return whether adopted sessions outweigh new requests; both are priced as first attempts."""
        return (
            self.age_s > RATE_KNOWN_AFTER_S
            and self.adopted_sessions / MIN_SESSION_S > ADOPTED_RATIO * self.request_rate()
        )
