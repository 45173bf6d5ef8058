"""The state of the fleet model's clients and nodes, as all parts of the simulation share it.

Plain records: who owns which transition stands in clients.py, attempts.py and faults.py. Times are
microseconds of the simulation's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from stepflow.fleet.baselines import PolicyLike
from stepflow.fleet.servers import Server
from stepflow.interface import Availability, Endpoint, EndpointId, EndpointListUpdate, ListUpdateKind


@dataclass(slots=True, eq=False)
class Client:
    """One client and its connection, from its first try until its time is over."""

    number: int
    class_index: int
    group: int
    ends_us: int  # when its time is over
    requests_sent: int = 0
    backoffs: int = 0
    load_index: int = 0
    load: float = 1.0
    node: Node | None = None
    server: Server | None = None
    request_id: int = -1
    expires_us: int = 0
    attempt_number: int = -1
    attempt_id: int = 0  # the number of the attempt that is out; 0 for none
    sent_us: int = 0
    established: bool = False
    is_migrated: bool = False
    finished: bool = False


class Node:
    """One instance: its module, and the requests that it holds. `life` counts its processes."""

    def __init__(self, number: int, zones: int = 1) -> None:
        self.number, self.incarnation = number, 0
        self.zone = number % max(1, zones)
        self.policy: PolicyLike | None = None
        self.clients: dict[int, Client] = {}
        self.down_since_us = -1
        self.watching = self.shutting_down = False
        self.endpoints: dict[EndpointId, Endpoint] = {}  # its list as last told: all that outlives it

    def update_endpoints(self, event: EndpointListUpdate) -> None:
        """Keep what the list says."""
        if event.kind == ListUpdateKind.FAILED:
            return
        if event.kind != ListUpdateKind.DELTA:
            self.endpoints.clear()
        for entry in event.endpoints:
            if entry.availability == Availability.GONE:
                self.endpoints.pop(entry.id, None)
            else:
                self.endpoints[entry.id] = entry
