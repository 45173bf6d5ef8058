"""What an endpoint that is warming up bears of all nodes together, and the part that one node may send.

An endpoint can take new sessions at the rate that fills it over its slow start, however fast they come and
go. How many fill one, a node learns from its own sessions at the warm endpoints and their mean load. Where
few are warm that would tell many times too much, because its sessions are at warming endpoints as well: then
what it learned before holds. Pure: no clock, no I/O.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from stepflow.estimates.arrivals import SECOND_US, ArrivalEstimate
from stepflow.interface import SafetyRules

SAFETY_SHARE = 0.8  # share of the allowed work that is used, for chance and for what other nodes do
MIN_MEAN_LOAD = 0.3  # a group loaded less than this isn't held to have room for more than that tells
MIN_WARM_SHARE = 0.6  # share of the endpoints that has to be warm to learn from
MEMORY_S = 10.0  # memory of what was learned


class FleetLoad(NamedTuple):
    """The endpoints at one moment."""

    endpoints: int
    warm_endpoints: int
    mean_load: float


class SlowStartBudget:
    """How fast one node may fill warming endpoints, as if all other nodes did likewise."""

    def __init__(self) -> None:
        self._full_sessions = 0.0  # own sessions that fill a mean endpoint; 0 until learned

    def learn(self, own: ArrivalEstimate, fleet: FleetLoad, seconds: float) -> None:
        """Learn from the warm endpoints, as long as they are enough."""
        if fleet.warm_endpoints and fleet.warm_endpoints >= MIN_WARM_SHARE * fleet.endpoints:
            sessions = own.open_sessions / fleet.warm_endpoints / max(fleet.mean_load, MIN_MEAN_LOAD)
            share = 1 - math.exp(-seconds / MEMORY_S) if self._full_sessions else 1.0
            self._full_sessions += share * (sessions - self._full_sessions)

    def attempts_per_s(self, own: ArrivalEstimate, fleet: FleetLoad, rules: SafetyRules) -> float:
        """Attempts a second that the node may send to a mean endpoint at full capacity."""
        enough = max(1, math.ceil(MIN_WARM_SHARE * fleet.endpoints))
        divisor = max(fleet.warm_endpoints, enough)
        full_sessions = own.open_sessions / divisor / max(fleet.mean_load, MIN_MEAN_LOAD)
        if fleet.warm_endpoints < enough and self._full_sessions:
            full_sessions = self._full_sessions
        # A node that has no sessions yet begins at the rate of its requests: nothing tells it more.
        rate = full_sessions / max(1.0, rules.slow_start_us / SECOND_US) or own.request_rate() / divisor
        return rate * SAFETY_SHARE * rules.overload_multiple
