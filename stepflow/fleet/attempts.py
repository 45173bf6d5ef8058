"""Attempts and probes of the model: what lies between a node's decision and what a server makes of it."""

from __future__ import annotations

from functools import partial

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Client, Node
from stepflow.fleet.streams import stream
from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    Availability,
    HealthCheckEnded,
    SessionEstablished,
    StartAttempt,
    StartHealthCheck,
)

PROBE_US = 250_000  # the most that a probe waits


class Attempts:
    """All that is out, and all that stands."""

    def __init__(self, world: SimulationContext) -> None:
        self._world, self._day = world, world.scenario.day
        self._count = 0
        self._store_free = 0.0
        self._luck = stream(world.seed, "reports")
        self._sick_luck = stream(world.seed, "sick answers")

    def send(self, node: Node, action: StartAttempt) -> None:
        """One attempt of a request."""
        world = self._world
        client = node.clients.get(action.request_id)
        if client is None or client.out:
            return
        server = world.names[str(action.endpoint)]
        self._count += 1
        client.attempt, client.out, client.sent_us = client.attempt + 1, self._count, world.now
        client.server = server
        if world.counting:
            self._count_sent(server)
        left = client.expires - world.now
        wait = min(action.timeout_us, left) if action.timeout_us else left
        attempt, trip = client.out, self._day.trip_us
        if not server.runs:
            world.after(2 * trip, partial(self._fails, client, attempt, AttemptResult.CONNECT_FAILED))
            return
        world.after(max(1, wait), partial(self._fails, client, attempt, AttemptResult.TIMEOUT))
        if world.faults.silent_since(node, server) is None:
            world.after(2 * trip, partial(self._reaches, client, attempt, server))

    def _count_sent(self, server: Server) -> None:
        tally = self._world.tally
        tally.attempts += 1
        if not any(s.sick for s in self._world.servers):
            return
        ready = [s for s in self._world.servers if s.runs and s.state == Availability.READY]
        sick = sum(s.sick for s in ready)
        if 0 < sick < len(ready):
            tally.sick += server.sick
            tally.sick_by_chance += sick / len(ready)

    def _reaches(self, client: Client, attempt: int, server: Server) -> None:
        """The line is at the server."""
        if client.out != attempt:
            return
        world, day = self._world, self._day
        if not server.runs:
            self.ended(client, AttemptResult.CONNECT_FAILED)
            return
        if server.state != Availability.READY or server.connections >= server.cap:
            world.after(day.trip_us, partial(self._fails, client, attempt, AttemptResult.FULL))
            return
        if world.faults.resets and self._sick_luck.random() < world.faults.resets:
            world.after(day.trip_us, partial(self._fails, client, attempt, AttemptResult.RESET))
            return
        if server.errors and self._sick_luck.random() < server.errors:
            world.after(day.trip_us, partial(self._fails, client, attempt, AttemptResult.ERROR))
            return
        cls = world.classes[client.cls]
        work = cls.work_ms / 1000 * float(world.traffic.work[client.number])
        server.add(world.now, work)
        server.setups += work
        if world.counting:
            world.tally.asked_work += work
        if server.overrun(world.now, client.load, day.fall_times, int(day.fall_s * SECOND)):
            world.faults.fall(server)
            return
        # The session store takes its calls in turn.
        gap = SECOND / (day.store * day.rate)
        self._store_free = max(self._store_free + gap, float(world.now))
        store = self._store_free - world.now + 5000
        ready = server.wait_s(world.now) * SECOND + work / (server.speed * server.slowed) * SECOND + store
        world.after(ready + day.trip_us, partial(self._comes_up, client, attempt, server, work))

    def _comes_up(self, client: Client, attempt: int, server: Server, work: float) -> None:
        world, node = self._world, client.node
        silent = node is None or world.faults.silent_since(node, server) is not None
        if client.out != attempt or not server.runs or silent:
            if world.counting:
                world.tally.wasted_work += work
            return
        client.up, client.out = True, -1
        client.waits, client.returned = 0, False
        self.joined(client)
        if node is not None:
            wait = world.now - client.sent_us
            world.feed(node, SessionEstablished(client.request, client.attempt, server.uid, wait))
        world.clients.swing(client, client.request, client.swing)

    def joined(self, client: Client) -> None:
        """A connection stands."""
        server = client.server
        if server is not None:
            server.advance(self._world.now)
            server.hold(client.group, client.load)
            self._world.standing[server][client.cls] += 1

    def parted(self, client: Client) -> None:
        """It does no longer."""
        server = client.server
        if server is not None:
            server.advance(self._world.now)
            server.release(client.group, client.load)
            self._world.standing[server][client.cls] -= 1

    def _fails(self, client: Client, attempt: int, result: AttemptResult) -> None:
        if client.out == attempt:
            self.ended(client, result)

    def ended(self, client: Client, result: AttemptResult, answered: bool = False) -> None:
        """The one place that ends an attempt, before it is up or after."""
        node, server, up, request = client.node, client.server, client.up, client.request
        if up:
            self.parted(client)
        client.out, client.up = 0, False
        if node is None or server is None:
            return
        if up:
            node.clients.pop(request, None)
        wait = self._world.now - client.sent_us
        outcome = AttemptEnded(request, client.attempt, server.uid, result, up or answered, wait)
        self._world.feed(node, outcome)

    def broken(self, client: Client, result: AttemptResult = AttemptResult.RESET) -> None:
        """What stands ends by a fault: its client comes again. What is out fails."""
        up = client.up
        self._world.tally.broken += self._world.counting and up
        self.ended(client, result)
        if up:
            self._world.clients.back(client)

    def move(self, node: Node, request: int) -> None:
        """The node sends a client away."""
        client = node.clients.get(request)
        if client is not None and client.up:
            self._world.tally.moves += self._world.counting
            self.ended(client, AttemptResult.CANCELLED)
            self._world.clients.back(client)

    def cancel(self, node: Node, request: int) -> None:
        """The node stops waiting for an attempt."""
        client = node.clients.get(request)
        if client is not None and client.out and not client.up:
            self.ended(client, AttemptResult.CANCELLED)

    # Probes.

    def _report(self, server: Server) -> tuple[float, ...]:
        noise = 1 + self._day.report_noise * float(self._luck.standard_normal())
        rho = server.rho(self._world.now)
        return rho * noise, server.wait_s(self._world.now), min(1.0, rho * noise)

    def probe(self, node: Node, action: StartHealthCheck) -> None:
        """One question for a server's report."""
        world, day = self._world, self._day
        server, life, now = world.names[str(action.endpoint)], node.life, world.now
        world.tally.probes += world.counting
        server.probes += 1
        silent = world.faults.silent_since(node, server) is not None
        if not server.runs or silent:
            result = AttemptResult.TIMEOUT if silent else AttemptResult.CONNECT_FAILED
            wait = PROBE_US if silent else 2 * day.trip_us
            world.after(wait, partial(self._probed, node, life, server, result, (), now))
            return
        server.add(now, day.probe_us / SECOND)
        low, high = day.report_s
        # A report is as old as its last refresh: what is told is read then, and told now.
        late = float(self._luck.uniform(0, (low + high) / 2)) * SECOND
        took = 2 * day.trip_us + server.wait_s(now) * SECOND
        if not server.report or now - server.report_us > late:
            server.report, server.report_us = self._report(server), now
        result = AttemptResult.OK if took <= PROBE_US else AttemptResult.TIMEOUT
        answer = server.report if result == AttemptResult.OK else ()
        world.after(min(took, PROBE_US), partial(self._probed, node, life, server, result, answer, now))

    def _probed(
        self,
        node: Node,
        life: int,
        server: Server,
        result: AttemptResult,
        report: tuple[float, ...],
        asked: int,
    ) -> None:
        if node.life == life:
            self._world.feed(node, HealthCheckEnded(server.uid, result, self._world.now - asked, report))
