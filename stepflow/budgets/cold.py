"""What a cold server bears of all nodes together, and the part of it that one node may send."""

from __future__ import annotations

from stepflow.estimates.arrivals import SECOND, Arrivals
from stepflow.interface import Rules

SAFETY = 0.8  # share of the allowed work used, for chance and for what others do
FULL_FROM = 0.3  # a fleet loaded less than this isn't held to have room for more than that tells


def pace(own: Arrivals, warm: int, load: float, rules: Rules) -> float:
    """Connections a second that a node may send to a mean server at full capacity, as if all did likewise.

    A server can take new connections at the rate that fills it over its warm-up. Of what fills one, a node
    has its own connections over the number of `warm` servers and their mean load.
    """
    full = own.open / warm / max(load, FULL_FROM)
    fills = full / max(1.0, rules.warm_after_us / SECOND)
    return max(own.rate() / warm, fills) * SAFETY * rules.fall_multiple
