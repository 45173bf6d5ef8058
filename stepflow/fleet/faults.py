"""What goes wrong in the model, or is done to it on purpose."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

import numpy as np

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.scenario import Fault
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.interface import Availability

DOWN_S = (0.8, 2.0)  # until a node's process is back
TELL_US = 3 * SECOND  # within which a hung server's connections have all told what it does for them
LEAVE_S = 2.0  # that a node takes to send its clients away at SIGTERM


class Faults:
    """The day's faults, each with a stream of its own."""

    def __init__(self, world: SimulationContext) -> None:
        self._world = world
        self.resets = 0.0  # share of the attempts that are reset at the server
        self._cut: int | None = None  # the zone that no other zone's nodes reach
        self._cut_us = 0
        self._fresh = 0

    def silent_since(self, node: Node, server: Server) -> int | None:
        """Since when nothing at all comes from a server to a node; None where it speaks."""
        if server.hung:
            return server.hung_us
        parted = self._cut is not None and node.zone != server.zone and self._cut in (node.zone, server.zone)
        return self._cut_us if parted else None

    @property
    def any_silent(self) -> bool:
        """Whether silent_since tells of any now, but for servers that hang."""
        return self._cut is not None

    def begin(self, number: int, fault: Fault) -> None:
        """The fault's time has come; a burst is in the day's draws already."""
        world, rng = self._world, stream(self._world.seed, "fault", number)
        end = fault.lasts * SECOND
        if fault.what == "list-down":
            world.listing.go_down(end)
        elif fault.what in ("restart", "roll"):
            call = self.kill if fault.what == "restart" else self._roll
            for place, node in self._in_batches(fault, rng):
                world.after(end * place, partial(call, node))
        elif fault.what == "resets":
            self.resets = fault.part
            world.after(end, partial(setattr, self, "resets", 0.0))
        elif fault.what == "cut" and world.scenario.day.zones > 1:
            self._cut, self._cut_us = int(rng.integers(world.scenario.day.zones)), world.now
            world.after(end, partial(setattr, self, "_cut", None))
        elif fault.what == "replace":
            picked = self._picked(fault, rng)
            for place, server in enumerate(picked):
                world.after(end * place / len(picked), partial(self._replace, server, fault.drain_s))
        elif fault.what == "settings":
            world.retune()
        elif fault.what != "burst":
            for server in self._picked(fault, rng):
                self._spoil(server, fault, end)

    def _in_batches(self, fault: Fault, rng: np.random.Generator) -> list[tuple[float, Node]]:
        """The nodes that restart, each with its place in the fault's time, from 0 to 1."""
        nodes = self._world.nodes
        count = max(1, round(fault.part * len(nodes)))
        batch = max(1, round(fault.at_once * len(nodes)))
        steps = -(-count // batch)
        order = rng.permutation(len(nodes))[:count]
        return [(place // batch / steps, nodes[int(node)]) for place, node in enumerate(order)]

    def _picked(self, fault: Fault, rng: np.random.Generator) -> Sequence[Server]:
        """The servers that it strikes, in chance's order: those of a zone where there are zones to lose."""
        world = self._world
        running = [s for s in world.servers if s.runs and s.state == Availability.READY and not s.hung]
        if fault.what == "zone" and world.scenario.day.zones > 1:
            zone = int(rng.integers(world.scenario.day.zones))
            return [s for s in running if s.zone == zone]
        count = min(len(running), max(1, round(fault.part * len(world.servers))))
        return [running[int(pick)] for pick in rng.permutation(len(running))[:count]]

    def _spoil(self, server: Server, fault: Fault, end: float) -> None:
        world = self._world
        if fault.what in ("hang", "cut"):
            server.hung, server.hung_us = True, world.now
            self._tell_loads(server, int(end))
            world.after(end, partial(self._recover, server))
        elif fault.what == "errors":
            server.errors = fault.share
            world.after(end, partial(setattr, server, "errors", 0.0))
        elif fault.what == "slow":
            self._slow(server, fault.share)
            world.after(end, partial(self._slow, server, 1.0))
        elif fault.what == "crash":
            self.fall(server)
        elif fault.what == "drain":
            self._drain(server, end)
        else:  # it is lost, and starts anew, cold
            self._stop(server)
            world.after(end, partial(self._start, server))

    def _recover(self, server: Server) -> None:
        server.hung = False
        self._tell_loads(server, SECOND)

    def _tell_loads(self, server: Server, within: int) -> None:
        """Its connections tell other loads soon: a hung server does next to nothing for them."""
        rng = stream(self._world.seed, "told loads", server.uid, self._world.now)
        for node in self._world.nodes:
            for request, client in node.clients.items():
                if client.up and client.server is server:
                    span = rng.uniform(0, min(within, TELL_US))
                    self._world.after(span, partial(self._world.clients.tell, client, request))

    def _slow(self, server: Server, share: float) -> None:
        server.advance(self._world.now)
        server.slowed = share

    # Servers that go and come.

    def fall(self, server: Server) -> None:
        """It goes down for good, and its connections with it."""
        server.fallen = True
        self._world.tally.fallen += 1
        self._stop(server)

    def _drain(self, server: Server, span: float) -> None:
        server.state = int(Availability.DRAINING)
        self._world.listing.change(server)
        self._world.after(span, partial(self._stop, server))

    def _stop(self, server: Server) -> None:
        server.state = int(Availability.GONE)
        for node in self._world.nodes:
            for client in [c for c in node.clients.values() if c.server is server and (c.up or c.out)]:
                self._world.attempts.broken(client)
        self._world.listing.change(server)

    def _start(self, server: Server) -> None:
        now = self._world.now
        server.state, server.started_us, server.pile, server.at_us = 0, now, 0.0, now
        self._world.listing.change(server)

    def _replace(self, server: Server, drain_s: float) -> None:
        """A fresh server starts cold as an old one begins to drain."""
        world = self._world
        self._fresh += 1
        rng = stream(world.seed, "fresh", self._fresh)
        fresh = world.make_server(server.kind, f"f-{self._fresh}", server.zone, rng)
        fresh.per_core = server.per_core
        world.add(fresh)
        self._start(fresh)
        if server.runs and server.state == Availability.READY:
            self._drain(server, drain_s * SECOND)

    # Nodes that go and come.

    def kill(self, node: Node) -> None:
        """The node's process dies: its connections break, and it comes back in a moment."""
        world = self._world
        if node.policy is None:
            return
        node.life += 1
        node.policy, node.dead_since, node.leaving = None, world.now, False
        for client in list(node.clients.values()):
            if client.up:
                world.attempts.parted(client)
                world.tally.broken += world.counting
            client.out, client.up, client.node = 0, False, None
            world.clients.back(client)
        node.clients = {}
        down = float(stream(world.seed, "down", node.number, node.life).uniform(*DOWN_S))
        world.after(down * SECOND, partial(world.begin, node))

    def _roll(self, node: Node) -> None:
        """SIGTERM: it takes nothing more, sends its clients away one after the other, and exits."""
        world = self._world
        if node.policy is None:
            return
        node.leaving = True
        standing = [request for request, client in node.clients.items() if client.up]
        for place, request in enumerate(standing):
            span = LEAVE_S * SECOND * (place + 1) / (len(standing) + 1)
            world.after(span, partial(self._send_away, node, node.life, request))
        world.after(LEAVE_S * SECOND, partial(self._exit, node, node.life))

    def _send_away(self, node: Node, life: int, request: int) -> None:
        if node.life == life:
            self._world.attempts.move(node, request)

    def _exit(self, node: Node, life: int) -> None:
        if node.life == life:
            self.kill(node)
