"""The nodes of the model: their modules, and the list that each of them holds."""

from __future__ import annotations

from stepflow.fleet.baselines import Decides
from stepflow.fleet.clients import Client
from stepflow.interface import Availability, Endpoint, EndpointId, EndpointListUpdate, ListUpdateKind


class Node:
    """One instance: its module, and the requests that it holds. `life` counts its processes."""

    def __init__(self, number: int, zones: int = 1) -> None:
        self.number, self.life = number, 0
        self.zone = number % max(1, zones)
        self.policy: Decides | None = None
        self.clients: dict[int, Client] = {}
        self.dead_since = -1
        self.watching = self.leaving = False
        self.known: dict[EndpointId, Endpoint] = {}  # its list as last told: all that outlives it

    def told(self, event: EndpointListUpdate) -> None:
        """Keep what the list says."""
        if event.kind == ListUpdateKind.FAILED:
            return
        if event.kind != ListUpdateKind.DELTA:
            self.known.clear()
        for entry in event.endpoints:
            if entry.availability == Availability.GONE:
                self.known.pop(entry.id, None)
            else:
                self.known[entry.id] = entry
