"""The clients of the model: how they come, what they do with an answer, and how they come again."""

from __future__ import annotations

from bisect import bisect
from functools import partial
from itertools import accumulate

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Client, Node
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import CHANCES, LOADS
from stepflow.interface import (
    AttemptResult,
    ClientDisconnected,
    Request,
    SessionAdopted,
    SessionReport,
    SessionReportKind,
)

GIVE_UP = 12  # times that a client comes again in all
LOAD_UNIT = 1000.0  # of loads as servers tell them, in mean connection loads
HUNG_SHARE = 0.1  # of its connections' loads that a server tells while it does nothing for them
BACKOFF_US = 60_000  # of a client's first wait after a refusal or a failure; doubled each time


class Clients:
    """All clients that want a connection now."""

    def __init__(self, world: SimulationContext) -> None:
        self._world, self._day, self._traffic = world, world.scenario.day, world.traffic
        self.wanting: dict[Client, None] = {}
        self._requests = 0
        self._front = stream(world.seed, "front")
        spread = stream(world.seed, "shares").lognormal(0.0, self._day.skew, self._day.nodes)
        self._shares = [float(share) for share in spread]

    def _new(self, number: int) -> Client:
        traffic, now = self._traffic, self._world.now
        life = float(traffic.life_s[number])
        leaves = traffic.chances[number, 0] < self._day.leave
        if leaves:
            life *= float(traffic.chances[number, 1])
        client = Client(
            number, int(traffic.cls[number]), int(traffic.group[number]), now + int(life * SECOND)
        )
        client.load = float(traffic.loads[number, 0])
        self.wanting[client] = None
        self._world.at(client.until, partial(self._over, client))
        return client

    def stand(self, number: int, server: Server) -> None:
        """A connection that is open when the day begins."""
        client = self._new(number)
        node = self._dealt(self._within(client, self._world.nodes))
        client.server, client.node, client.tries = server, node, 1
        self._requests += 1
        self._world.tally.requests += 1  # priced as a first try too
        client.request, client.attempt, client.up = self._requests, 0, True
        client.out = -1
        node.clients[client.request] = client
        self._world.attempts.joined(client)
        request = Request(client.request, client.cls, 0, affinity_group=client.group)
        self._world.feed(node, SessionAdopted(request, server.uid))
        self.swing(client, client.request, 0)

    def arrive(self, number: int) -> None:
        self._open(self._new(number))

    # The front.

    def _within(self, client: Client, nodes: list[Node]) -> list[Node]:
        """The nodes of the client's zone."""
        if self._day.zones < 2:
            return nodes
        zone = int(self._traffic.zone[client.number])
        return [node for node in nodes if node.zone == zone]

    def _dealt(self, nodes: list[Node]) -> Node:
        """One of some nodes, by their shares."""
        if not self._day.skew:
            return nodes[int(self._front.integers(len(nodes)))]
        sums = list(accumulate(self._shares[node.number] for node in nodes))
        return nodes[min(bisect(sums, float(self._front.random()) * sums[-1]), len(nodes) - 1)]

    def _pick(self, client: Client) -> Node | None:
        """The front sends to a dead node until it notices."""
        low, high = self._day.front_s
        notice = int((low + (high - low) * self._traffic.chances[client.number, 2]) * SECOND)
        since = self._world.now - notice
        known = [n for n in self._world.nodes if n.dead_since < 0 or n.dead_since > since]
        known = self._within(client, known)
        return self._dealt(known) if known else None

    def _open(self, client: Client) -> None:
        """One try: a connection to some node through the front."""
        if client.done:
            return
        world, cls = self._world, self._world.classes[client.cls]
        node = self._pick(client)
        client.tries += 1
        self._requests += 1
        world.tally.requests += world.counting and client.tries == 1
        client.request, client.attempt, client.out, client.up = self._requests, -1, 0, False
        client.expires = world.now + int(cls.wait_ms * 1000)
        client.node = node
        if node is None:
            world.after(BACKOFF_US, partial(self._again, client, client.request, 0))
            return
        world.after(self._day.trip_us, partial(self._taken, client, client.request, node))

    def _taken(self, client: Client, request: int, node: Node) -> None:
        if client.done or client.request != request:
            return
        if node.policy is None or node.leaving:
            self._again(client, request, 0)
            return
        node.clients[request] = client
        repeated = client.tries > 1 and not client.returned
        self._world.feed(
            node,
            Request(
                request,
                client.cls,
                client.expires,
                None,
                0,
                client.number,
                client.group,
                repeated,
                False,
                client.returned,
            ),
        )

    # What comes back.

    def answered(self, node: Node, request: int, failed: bool, advice_us: int) -> None:
        """The node refused or failed it."""
        client, world = node.clients.get(request), self._world
        if client is None or client.up:
            return
        if world.counting:
            world.tally.refused += not failed
            world.tally.failed += failed
            world.tally.late_fails += world.now >= client.expires
        if client.out:
            world.attempts.ended(client, AttemptResult.CANCELLED, answered=True)
        node.clients.pop(request, None)
        world.after(self._day.trip_us, partial(self._again, client, request, advice_us))

    def _again(self, client: Client, request: int, advice_us: int) -> None:
        """After a refusal, a failure or a dead node."""
        if client.done or client.request != request or client.up:
            return
        client.waits += 1
        if client.waits > self._day.retries + GIVE_UP:
            return
        wait = BACKOFF_US * 2 ** min(client.waits - 1, 5)
        chance = float(self._traffic.chances[client.number, 3 + client.waits % (CHANCES - 3)])
        client.request = -1
        self._world.after(max(advice_us, wait * (0.5 + chance)), partial(self._open, client))

    def back(self, client: Client) -> None:
        """A connection broke, or was moved: its client comes again."""
        if client.done:
            return
        low, high = self._day.back_ms
        client.waits = 0
        client.returned, client.request = True, -1
        chance = float(self._traffic.chances[client.number, 3 + client.tries % (CHANCES - 3)])
        self._world.after(1000 * (low + (high - low) * chance), partial(self._open, client))

    def _over(self, client: Client) -> None:
        """Its time is over."""
        client.done = True
        self.wanting.pop(client, None)
        node = client.node
        if node is None or client.request not in node.clients:
            return
        if client.up:
            self._world.attempts.ended(client, AttemptResult.CANCELLED)
        else:
            request = client.request
            self._world.feed(node, ClientDisconnected(request))
            if client.out:
                self._world.attempts.ended(client, AttemptResult.CANCELLED, answered=True)
            node.clients.pop(request, None)

    def swing(self, client: Client, request: int, number: int) -> None:
        """The connection's load changes over time, and its server tells so."""
        if client.done or client.request != request or not client.up or client.server is None:
            return
        world, server = self._world, client.server
        if number:
            load = float(self._traffic.loads[client.number, number])
            server.advance(world.now)
            server.load += load - client.load
            client.load = load
        self.tell(client, request)
        client.swing = number
        if number + 1 < LOADS:
            span = float(self._traffic.swings_s[client.number, number]) * SECOND
            world.after(span, partial(self.swing, client, request, number + 1))

    def tell(self, client: Client, request: int) -> None:
        """The server tells a connection's load: what it does for it, next to nothing while it hangs."""
        node, server = client.node, client.server
        if client.up and client.request == request and node is not None and server is not None:
            told = client.load * LOAD_UNIT * (HUNG_SHARE if server.hung else 1.0)
            self._world.feed(
                node, SessionReport(request, client.attempt, server.uid, SessionReportKind.LOAD, told)
            )
