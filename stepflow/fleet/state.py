"""The state of clients and nodes, which all parts of the simulation share.

These classes hold data; clients.py, attempts.py and faults.py own the transitions. Times are in microseconds
of the simulation's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from stepflow.fleet.baselines import PolicyLike
from stepflow.fleet.servers import Server
from stepflow.interface import Availability, Endpoint, EndpointId, EndpointListUpdate, ListUpdateKind

NO_ATTEMPT = 0
ESTABLISHED_ATTEMPT = -1
RUNNING = -1  # value of Node.down_since_us while its process runs


@dataclass(slots=True, eq=False)
class Client:
    """A client and its session, from its first request until it no longer needs a session.

    A client sends one request at a time; `request_id` is -1 between two requests. Its node makes attempts of
    the request at servers. `attempt_id` is the serial number of the attempt in flight, `NO_ATTEMPT` if there
    is none, and `ESTABLISHED_ATTEMPT` while the session is established.
    """

    number: int
    class_index: int
    group: int
    ends_us: int  # time from which the client needs no session
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
    """A balancer: its policy (None while its process is down) and the clients of its requests, by request id.

    `incarnation` counts the node's processes; calls scheduled for an earlier process are ignored. `endpoints`
    is the last endpoint list that the node received, and the only state that outlives a process.
    `down_since_us` is `RUNNING` while the process runs.
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
