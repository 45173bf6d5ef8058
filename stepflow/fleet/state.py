"""The state of the fleet model's clients and nodes, as all parts of the simulation share it.

Plain records: who owns which transition stands in clients.py, attempts.py and faults.py. Times are
microseconds of the simulation's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from stepflow.fleet.baselines import Decides
from stepflow.fleet.servers import Server
from stepflow.interface import Availability, Endpoint, EndpointId, EndpointListUpdate, ListUpdateKind


@dataclass(slots=True, eq=False)
class Client:
    """One client and its connection, from its first try until its time is over."""

    number: int
    cls: int
    group: int
    until: int  # when its time is over
    tries: int = 0
    waits: int = 0
    swing: int = 0
    load: float = 1.0
    node: Node | None = None
    server: Server | None = None
    request: int = -1
    expires: int = 0
    attempt: int = -1
    out: int = 0  # the number of the attempt that is out; 0 for none
    sent_us: int = 0
    up: bool = False
    returned: bool = False
    done: bool = False


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
