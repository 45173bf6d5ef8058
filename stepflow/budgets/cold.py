"""What a cold server bears of all nodes together, and the part of it that one node may send."""

from __future__ import annotations

from stepflow.estimates.arrivals import SECOND, Arrivals
from stepflow.interface import Rules

SAFETY = 0.8  # share of the allowed work used in a large fleet, for chance and for what all nodes have saved
FULL_FROM = 0.3  # a fleet loaded less than this isn't held to have room for more than that tells


class Ramp:
    """One node's part: of what fills a mean server, it has its own connections over the load they are of.

    A server can take new connections at the rate that fills it over its warm-up.
    """

    def __init__(self) -> None:
        self._fills: float | None = None  # own connections that fill a mean server

    def learn(self, own: int, warm: int, load: float, servers: int) -> None:
        """Own connections at so many warm servers, of so much load together; of all servers that are ready.

        Where nearly all are cold, the few others tell little: then what was known before counts.
        """
        if warm:
            found = own / max(load, FULL_FROM * warm)
            before = found if self._fills is None else self._fills
            self._fills = before + (found - before) * warm / servers

    def pace(self, own: Arrivals, servers: int, rules: Rules) -> float:
        """Connections a second that it may send to a mean server at full capacity, if all do likewise."""
        fills = (self._fills or 0.0) / max(1.0, rules.warm_after_us / SECOND)
        pace = max(own.rate() / max(1, servers), fills) * rules.fall_multiple
        # Each node may have saved a connection: few nodes' are little of what all may send in a window.
        window = pace * rules.fall_after_us / SECOND
        return pace * (1 - (1 - SAFETY) * min(1.0, 1 / window if window > 0 else 1.0))
