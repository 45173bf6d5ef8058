"""Limits the attempts that one node sends to endpoints that are warming up.

A warming endpoint can take new sessions, from all nodes together, at the rate that fills it by the end of its
slow start, however fast sessions begin and end. For its own rate, each node learns how many of its sessions
an endpoint has at a load of 1: its open sessions for each warm endpoint, divided by the mean load. If few
endpoints are warm, this number would be many times too high, because the open sessions include those at
warming endpoints; the number that was learned before is used instead. Pure: no clock, no I/O.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from stepflow.estimates.arrivals import SECOND_US, ArrivalEstimate
from stepflow.interface import SafetyRules

SAFETY_SHARE = 0.8  # share of the allowed work that is used; the rest is a margin for chance and other nodes
MIN_MEAN_LOAD = 0.3  # a lower mean load counts as this one, since it would suggest too much room
MIN_WARM_SHARE = 0.6  # share of the endpoints that has to be warm for learning
LEARNING_DECAY_S = 10.0  # time constant of learning


class EndpointLoads(NamedTuple):
    """The numbers of endpoints and their mean load at one time."""

    endpoints: int
    warm_endpoints: int
    mean_load: float


class SlowStartBudget:
    """The rate at which one node may fill warming endpoints, assuming that all other nodes do the same."""

    def __init__(self) -> None:
        self._sessions_when_full = 0.0  # own sessions that fill an endpoint of mean size; 0 until learned

    def learn(self, own: ArrivalEstimate, loads: EndpointLoads, seconds: float) -> None:
        """Learn the number of sessions that fill an endpoint, if enough endpoints are warm."""
        if loads.warm_endpoints and loads.warm_endpoints >= MIN_WARM_SHARE * loads.endpoints:
            sessions = own.open_sessions / loads.warm_endpoints / max(loads.mean_load, MIN_MEAN_LOAD)
            share = 1 - math.exp(-seconds / LEARNING_DECAY_S) if self._sessions_when_full else 1.0
            self._sessions_when_full += share * (sessions - self._sessions_when_full)

    def attempts_per_s(self, own: ArrivalEstimate, loads: EndpointLoads, rules: SafetyRules) -> float:
        """Return the attempts per second that this node may send to a mean endpoint at full capacity."""
        min_warm_endpoints = max(1, math.ceil(MIN_WARM_SHARE * loads.endpoints))
        divisor = max(loads.warm_endpoints, min_warm_endpoints)
        sessions_when_full = own.open_sessions / divisor / max(loads.mean_load, MIN_MEAN_LOAD)
        if loads.warm_endpoints < min_warm_endpoints and self._sessions_when_full:
            sessions_when_full = self._sessions_when_full
        # A node that has no sessions yet has nothing to learn from: it starts at the rate of its requests.
        rate = sessions_when_full / max(1.0, rules.slow_start_us / SECOND_US) or own.request_rate() / divisor
        return rate * SAFETY_SHARE * rules.overload_multiple
