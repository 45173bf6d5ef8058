"""The clients: how they arrive, choose a node, handle its answers and reconnect.

Owns the clients that need a session now and schedules their next steps. A client's random draws come from
`Traffic`, by the client's number, so they are the same whatever the policies decide.
"""

from __future__ import annotations

from bisect import bisect
from functools import partial
from itertools import accumulate

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import ESTABLISHED_ATTEMPT, NO_ATTEMPT, RUNNING, Client, Node
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import DRAWS_PER_CLIENT, LOADS_PER_SESSION
from stepflow.interface import (
    AttemptResult,
    ClientDisconnected,
    Request,
    SessionAdopted,
    SessionReport,
    SessionReportKind,
)

MAX_RETRIES = 12  # a client gives up after the scenario's `retries` and this many more retries
LOAD_UNIT = 1000.0  # load that servers report for a mean session
HUNG_SHARE = 0.1  # share of its sessions' loads that a hung server reports
BACKOFF_US = 60_000  # a client's first backoff after a rejection or failure; doubled each time
MAX_DOUBLINGS = 5
# Index of each of a client's random draws. The draws from RETRY_DRAWS on are used in turn, for its waits.
LEAVE_DRAW, LEAVE_TIME_DRAW, NOTICE_DRAW, RETRY_DRAWS = 0, 1, 2, 3


class Clients:
    """The clients that need a session now."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation, self._day, self._traffic = simulation, simulation.scenario.day, simulation.traffic
        self.active: dict[Client, None] = {}
        self._requests = 0
        self._node_draws = stream(simulation.seed, "front")
        shares = stream(simulation.seed, "shares").lognormal(0.0, self._day.skew, self._day.nodes)
        self._shares = [float(share) for share in shares]

    def _create(self, number: int) -> Client:
        traffic, now = self._traffic, self._simulation.now
        life = float(traffic.life_s[number])
        if traffic.draws[number, LEAVE_DRAW] < self._day.leave:
            life *= float(traffic.draws[number, LEAVE_TIME_DRAW])
        client = Client(
            number, int(traffic.class_index[number]), int(traffic.group[number]), now + int(life * SECOND)
        )
        client.load = float(traffic.loads[number, 0])
        self.active[client] = None
        self._simulation.call_at(client.ends_us, partial(self._finish, client))
        return client

    def add_established(self, number: int, server: Server) -> None:
        """Add a client whose session is already established when the run begins."""
        client = self._create(number)
        node = self._choose_by_share(self._in_zone(client, self._simulation.nodes))
        client.server, client.node, client.requests_sent = server, node, 1
        self._requests += 1
        self._simulation.measurements.requests += 1  # an established client counts as one first request
        client.request_id, client.attempt_number, client.established = self._requests, 0, True
        client.attempt_id = ESTABLISHED_ATTEMPT
        node.clients[client.request_id] = client
        self._simulation.attempts.add_session(client)
        request = Request(client.request_id, client.class_index, 0, affinity_group=client.group)
        self._simulation.handle_event(node, SessionAdopted(request, server.id))
        self.apply_load(client, client.request_id, 0)

    def arrive(self, number: int) -> None:
        """Add a client that sends its first request now."""
        self._send_request(self._create(number))

    def _in_zone(self, client: Client, nodes: list[Node]) -> list[Node]:
        """Return the nodes that are in the client's zone."""
        if self._day.zones <= 1:
            return nodes
        zone = int(self._traffic.zone[client.number])
        return [node for node in nodes if node.zone == zone]

    def _choose_by_share(self, nodes: list[Node]) -> Node:
        """Choose one of the nodes at random, weighted by their shares of the clients."""
        if not self._day.skew:
            return nodes[int(self._node_draws.integers(len(nodes)))]
        sums = list(accumulate(self._shares[node.number] for node in nodes))
        return nodes[min(bisect(sums, float(self._node_draws.random()) * sums[-1]), len(nodes) - 1)]

    def _choose_node(self, client: Client) -> Node | None:
        """Choose a node for a client; a node that is down may be chosen until the client notices that."""
        low, high = self._day.front_s
        notice_delay_us = int((low + (high - low) * self._traffic.draws[client.number, NOTICE_DRAW]) * SECOND)
        unnoticed_from_us = self._simulation.now - notice_delay_us
        candidates = [
            n
            for n in self._simulation.nodes
            if n.down_since_us == RUNNING or n.down_since_us > unnoticed_from_us
        ]
        candidates = self._in_zone(client, candidates)
        return self._choose_by_share(candidates) if candidates else None

    def _send_request(self, client: Client) -> None:
        """Choose a node and send it a new request."""
        if client.finished:
            return
        simulation, cls = self._simulation, self._simulation.classes[client.class_index]
        node = self._choose_node(client)
        client.requests_sent += 1
        self._requests += 1
        simulation.measurements.requests += simulation.is_counting and client.requests_sent == 1
        client.request_id, client.attempt_number = self._requests, -1
        client.attempt_id, client.established = NO_ATTEMPT, False
        client.expires_us = simulation.now + int(cls.wait_ms * 1000)
        client.node = node
        if node is None:
            simulation.call_later(BACKOFF_US, partial(self._retry_later, client, client.request_id, 0))
            return
        simulation.call_later(
            self._day.trip_us, partial(self._request_received, client, client.request_id, node)
        )

    def _request_received(self, client: Client, request: int, node: Node) -> None:
        if client.finished or client.request_id != request:
            return
        if node.policy is None or node.shutting_down:
            self._retry_later(client, request, 0)
            return
        node.clients[request] = client
        event = Request(
            request,
            client.class_index,
            client.expires_us,
            idempotency_key=client.number,
            affinity_group=client.group,
            is_retry=client.requests_sent > 1 and not client.is_migrated,
            is_migrated=client.is_migrated,
        )
        self._simulation.handle_event(node, event)

    def request_answered(self, node: Node, request: int, failed: bool, retry_after_us: int) -> None:
        """Handle a node's rejection or failure of a request."""
        client, simulation = node.clients.get(request), self._simulation
        if client is None or client.established:
            return
        if simulation.is_counting:
            simulation.measurements.rejected += not failed
            simulation.measurements.failed += failed
            simulation.measurements.late_fails += simulation.now >= client.expires_us
        if client.attempt_id:
            simulation.attempts.end(client, AttemptResult.CANCELLED, answered=True)
        node.clients.pop(request, None)
        simulation.call_later(self._day.trip_us, partial(self._retry_later, client, request, retry_after_us))

    def _retry_later(self, client: Client, request: int, retry_after_us: int) -> None:
        """Schedule a new request after a rejection, a failure, or because no node took the request."""
        if client.finished or client.request_id != request or client.established:
            return
        client.backoffs += 1
        if client.backoffs > self._day.retries + MAX_RETRIES:
            return
        wait = BACKOFF_US * 2 ** min(client.backoffs - 1, MAX_DOUBLINGS)
        draw = self._retry_draw(client, client.backoffs)
        client.request_id = -1
        self._simulation.call_later(
            max(retry_after_us, wait * (0.5 + draw)), partial(self._send_request, client)
        )

    def reconnect(self, client: Client) -> None:
        """Schedule a new request after a session broke or was migrated."""
        if client.finished:
            return
        low, high = self._day.back_ms
        client.backoffs = 0
        client.is_migrated, client.request_id = True, -1
        draw = self._retry_draw(client, client.requests_sent)
        self._simulation.call_later(1000 * (low + (high - low) * draw), partial(self._send_request, client))

    def _retry_draw(self, client: Client, count: int) -> float:
        """Return the client's random draw for one of its waits, uniform from 0 to 1."""
        return float(
            self._traffic.draws[client.number, RETRY_DRAWS + count % (DRAWS_PER_CLIENT - RETRY_DRAWS)]
        )

    def _finish(self, client: Client) -> None:
        """Remove a client that no longer needs its session; end its session or request."""
        client.finished = True
        self.active.pop(client, None)
        node = client.node
        if node is None or client.request_id not in node.clients:
            return
        if client.established:
            self._simulation.attempts.end(client, AttemptResult.CANCELLED)
        else:
            request = client.request_id
            self._simulation.handle_event(node, ClientDisconnected(request))
            if client.attempt_id:
                self._simulation.attempts.end(client, AttemptResult.CANCELLED, answered=True)
            node.clients.pop(request, None)

    def apply_load(self, client: Client, request: int, number: int) -> None:
        """Set a session's load to item `number` of its loads, report it, and schedule the next one."""
        if client.finished or client.request_id != request or not client.established or client.server is None:
            return
        simulation, server = self._simulation, client.server
        if number:
            load = float(self._traffic.loads[client.number, number])
            server.advance(simulation.now)
            server.load += load - client.load
            client.load = load
        self.report_load(client, request)
        client.load_index = number
        if number + 1 < LOADS_PER_SESSION:
            span = float(self._traffic.load_spans_s[client.number, number]) * SECOND
            simulation.call_later(span, partial(self.apply_load, client, request, number + 1))

    def report_load(self, client: Client, request: int) -> None:
        """Report a session's load to its node; a hung server reports only HUNG_SHARE of the load."""
        node, server = client.node, client.server
        if client.established and client.request_id == request and node is not None and server is not None:
            load = client.load * LOAD_UNIT * (HUNG_SHARE if server.hung else 1.0)
            self._simulation.handle_event(
                node, SessionReport(request, client.attempt_number, server.id, SessionReportKind.LOAD, load)
            )
