"""The state of the fleet model's clients and nodes, as all parts of the simulation share it.

Plain records: who owns which transition stands in clients.py, attempts.py and faults.py. Times are
microseconds of the simulation's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from stepflow.fleet.baselines import PolicyLike
from stepflow.fleet.servers import Server
from stepflow.interface import Availability, Endpoint, EndpointId, EndpointListUpdate, ListUpdateKind

NO_ATTEMPT = 0
ESTABLISHED_ATTEMPT = -1
RUNNING = -1  # as the time since when a node is down


@dataclass(slots=True, eq=False)
class Client:
    """One client and its session, from its first request until it needs none any more.

    It sends one request after the other (`request_id`, -1 between two); each is tried at servers by attempts
    of its node. `attempt_id` is the running number of the attempt in flight, `NO_ATTEMPT` for none and
    `ESTABLISHED_ATTEMPT` once its session is established.
    """

    number: int
    class_index: int
    group: int
    ends_us: int  # when it needs its session no more
    requests_sent: int = 0
    backoffs: int = 0
    load_index: int = 0
    load: float = 1.0
    node: Node | None = None
    server: Server | None = None
    request_id: int = -1
    expires_us: int = 0
    attempt_number: int = -1
    attempt_id: int = NO_ATTEMPT
    sent_us: int = 0
    established: bool = False
    is_migrated: bool = False  # its last session was migrated or broken
    finished: bool = False


class Node:
    """One balancer: its policy (None while its process is down) and the requests that it holds.

    `incarnation` counts its processes; calls that were scheduled for an earlier one are void. `endpoints` is
    its list as last updated, which alone outlives a process. `down_since_us` is -1 while it runs.
    """

    def __init__(self, number: int, zones: int = 1) -> None:
        self.number, self.incarnation = number, 0
        self.zone = number % max(1, zones)
        self.policy: PolicyLike | None = None
        self.clients: dict[int, Client] = {}
        self.down_since_us = RUNNING
        self.watching = self.shutting_down = False
        self.endpoints: dict[EndpointId, Endpoint] = {}

    def update_endpoints(self, event: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list."""
        if event.kind == ListUpdateKind.FAILED:
            return
        if event.kind != ListUpdateKind.DELTA:
            self.endpoints.clear()
        for entry in event.endpoints:
            if entry.availability == Availability.GONE:
                self.endpoints.pop(entry.id, None)
            else:
                self.endpoints[entry.id] = entry
