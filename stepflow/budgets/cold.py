"""What a cold server bears of all nodes together, and the part of it that one node may send."""

from __future__ import annotations

import math

from stepflow.estimates.arrivals import SECOND, Arrivals
from stepflow.interface import Rules

SAFETY = 0.8  # share of the allowed work used, for chance and for what others do
FULL_FROM = 0.3  # a fleet loaded less than this isn't held to have room for more than that tells


TOLD_FROM = 1 / 2  # share of the servers that has to be warm to tell what one bears


def pace(own: Arrivals, warm: int, servers: int, load: float, rules: Rules) -> float:
    """Connections a second that a node may send to a mean server at full capacity, as if all did likewise.

    A server can take new connections at the rate that fills it over its warm-up. Of what fills one, a node
    has its own connections over the number of `warm` servers and their mean load. Where nearly all are cold,
    what it has stands at those as well: divided by the few others, it would tell many times too much.
    """
    warm = max(warm, math.ceil(TOLD_FROM * servers), 1)
    full = own.open / warm / max(load, FULL_FROM)
    fills = full / max(1.0, rules.warm_after_us / SECOND)
    return max(own.rate() / warm, fills) * SAFETY * rules.fall_multiple
