"""What a cold server bears of all nodes together, and the part of it that one node may send."""

from __future__ import annotations

import math

from stepflow.estimates.arrivals import SECOND, ArrivalEstimate
from stepflow.interface import SafetyRules

SAFETY = 0.8  # share of the allowed work used, for chance and for what others do
FULL_FROM = 0.3  # a fleet loaded less than this isn't held to have room for more than that tells
TOLD_FROM = 0.6  # share of the servers that has to be warm to tell what one bears
KEPT_S = 10.0  # memory of what they told


class SlowStartBudget:
    """How fast one node may fill cold servers, as if all others did likewise.

    A server can take new connections at the rate that fills it over its warm-up, however fast they come and
    go. Of what fills one, a node has its own connections over the number of warm servers and their mean load.
    Where few are warm, that would tell many times too much, for what it has stands at cold ones as well: then
    what was told before holds.
    """

    def __init__(self) -> None:
        self._full = 0.0  # own connections that fill a mean server, as the warm ones told

    def learn(self, own: ArrivalEstimate, warm: int, servers: int, load: float, seconds: float) -> None:
        """Take what so many warm servers tell, as long as they are enough."""
        if warm and warm >= TOLD_FROM * servers:
            now = own.open / warm / max(load, FULL_FROM)
            share = 1 - math.exp(-seconds / KEPT_S) if self._full else 1.0
            self._full += share * (now - self._full)

    def pace(self, own: ArrivalEstimate, warm: int, servers: int, load: float, rules: SafetyRules) -> float:
        """Connections a second that the node may send to a mean server at full capacity."""
        enough = max(1, math.ceil(TOLD_FROM * servers))
        full = own.open / max(warm, enough) / max(load, FULL_FROM)
        if warm < enough and self._full:
            full = self._full
        # A node that has none yet begins at the pace of what comes: nothing tells it more.
        pace = full / max(1.0, rules.slow_start_us / SECOND) or own.rate() / max(warm, enough)
        return pace * SAFETY * rules.overload_multiple
