"""Attempts and health checks: from a node's action to the server's answer.

Owns the attempts in flight, the start and end of sessions, and the session store, which handles all session
set-ups one at a time.
"""

from __future__ import annotations

from functools import partial

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import ESTABLISHED_ATTEMPT, NO_ATTEMPT, Client, Node
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

HEALTH_CHECK_TIMEOUT_US = 250_000


class Attempts:
    """The attempts in flight and the established sessions."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation, self._day = simulation, simulation.scenario.day
        self._attempts_started = 0
        self._store_free_us = 0.0
        self._report_draws = stream(simulation.seed, "reports")
        self._failure_draws = stream(simulation.seed, "sick answers")

    def start(self, node: Node, action: StartAttempt) -> None:
        """Start an attempt of a request."""
        simulation = self._simulation
        client = node.clients.get(action.request_id)
        if client is None or client.attempt_id:
            return
        server = simulation.servers_by_id[str(action.endpoint)]
        self._attempts_started += 1
        client.attempt_number, client.attempt_id, client.sent_us = (
            client.attempt_number + 1,
            self._attempts_started,
            simulation.now,
        )
        client.server = server
        if simulation.is_counting:
            self._count_attempt(server)
        left = client.expires_us - simulation.now
        wait = min(action.timeout_us, left) if action.timeout_us else left
        attempt, trip = client.attempt_id, self._day.trip_us
        if not server.is_running:
            simulation.call_later(
                2 * trip, partial(self._fail, client, attempt, AttemptResult.CONNECT_FAILED)
            )
            return
        simulation.call_later(max(1, wait), partial(self._fail, client, attempt, AttemptResult.TIMEOUT))
        if simulation.faults.unreachable_since(node, server) is None:
            simulation.call_later(2 * trip, partial(self._reach_server, client, attempt, server))

    def _count_attempt(self, server: Server) -> None:
        measurements = self._simulation.measurements
        measurements.attempts += 1
        if not any(s.is_degraded for s in self._simulation.servers):
            return
        ready = [s for s in self._simulation.servers if s.is_running and s.availability == Availability.READY]
        degraded = sum(s.is_degraded for s in ready)
        if 0 < degraded < len(ready):
            measurements.attempts_at_degraded += server.is_degraded
            measurements.attempts_at_degraded_by_chance += degraded / len(ready)

    def _reach_server(self, client: Client, attempt: int, server: Server) -> None:
        """Handle an attempt that reached its server, which accepts or rejects the session."""
        if client.attempt_id != attempt:
            return
        simulation, day = self._simulation, self._day
        if not server.is_running:
            self.end(client, AttemptResult.CONNECT_FAILED)
            return
        if server.availability != Availability.READY or server.connections >= server.max_sessions:
            simulation.call_later(day.trip_us, partial(self._fail, client, attempt, AttemptResult.FULL))
            return
        if simulation.faults.reset_share and self._failure_draws.random() < simulation.faults.reset_share:
            simulation.call_later(day.trip_us, partial(self._fail, client, attempt, AttemptResult.RESET))
            return
        if server.errors and self._failure_draws.random() < server.errors:
            simulation.call_later(day.trip_us, partial(self._fail, client, attempt, AttemptResult.ERROR))
            return
        cls = simulation.classes[client.class_index]
        work = cls.work_ms / 1000 * float(simulation.traffic.work[client.number])
        server.add_work(simulation.now, work)
        server.setup_work += work
        if simulation.is_counting:
            simulation.measurements.requested_work += work
        if server.is_overloaded_by(simulation.now, client.load, day.fall_times, int(day.fall_s * SECOND)):
            simulation.faults.crash(server)
            return
        # The session store handles one set-up at a time.
        interval_us = SECOND / (day.store * day.rate)
        self._store_free_us = max(self._store_free_us + interval_us, float(simulation.now))
        store_delay_us = self._store_free_us - simulation.now + 5000
        ready = (
            server.wait_s(simulation.now) * SECOND
            + work / (server.speed * server.speed_share) * SECOND
            + store_delay_us
        )
        simulation.call_later(ready + day.trip_us, partial(self._establish, client, attempt, server, work))

    def _establish(self, client: Client, attempt: int, server: Server, work: float) -> None:
        simulation, node = self._simulation, client.node
        unreachable = node is None or simulation.faults.unreachable_since(node, server) is not None
        if client.attempt_id != attempt or not server.is_running or unreachable:
            if simulation.is_counting:
                simulation.measurements.wasted_work += work
            return
        client.established, client.attempt_id = True, ESTABLISHED_ATTEMPT
        client.backoffs, client.is_migrated = 0, False
        self.add_session(client)
        if node is not None:
            wait = simulation.now - client.sent_us
            simulation.handle_event(
                node, SessionEstablished(client.request_id, client.attempt_number, server.id, wait)
            )
        simulation.clients.apply_load(client, client.request_id, client.load_index)

    def add_session(self, client: Client) -> None:
        """Count a session at its server."""
        server = client.server
        if server is not None:
            server.advance(self._simulation.now)
            server.add_session(client.group, client.load)
            self._simulation.sessions_by_class[server][client.class_index] += 1

    def remove_session(self, client: Client) -> None:
        """Stop counting a session at its server."""
        server = client.server
        if server is not None:
            server.advance(self._simulation.now)
            server.remove_session(client.group, client.load)
            self._simulation.sessions_by_class[server][client.class_index] -= 1

    def _fail(self, client: Client, attempt: int, result: AttemptResult) -> None:
        if client.attempt_id == attempt:
            self.end(client, result)

    def end(self, client: Client, result: AttemptResult, answered: bool = False) -> None:
        """End an attempt, before or after its session is established; every attempt ends here."""
        node, server, was_established, request = (
            client.node,
            client.server,
            client.established,
            client.request_id,
        )
        if was_established:
            self.remove_session(client)
        client.attempt_id, client.established = NO_ATTEMPT, False
        if node is None or server is None:
            return
        if was_established:
            node.clients.pop(request, None)
        wait = self._simulation.now - client.sent_us
        event = AttemptEnded(
            request, client.attempt_number, server.id, result, was_established or answered, wait
        )
        self._simulation.handle_event(node, event)

    def break_off(self, client: Client, result: AttemptResult = AttemptResult.RESET) -> None:
        """End an attempt or a session because of a fault; the client of an established session reconnects."""
        was_established = client.established
        self._simulation.measurements.broken_sessions += self._simulation.is_counting and was_established
        self.end(client, result)
        if was_established:
            self._simulation.clients.reconnect(client)

    def migrate(self, node: Node, request: int) -> None:
        """Migrate a session: end it, and have its client reconnect."""
        client = node.clients.get(request)
        if client is not None and client.established:
            self._simulation.measurements.migrations += self._simulation.is_counting
            self.end(client, AttemptResult.CANCELLED)
            self._simulation.clients.reconnect(client)

    def cancel(self, node: Node, request: int) -> None:
        """Cancel an attempt that is in flight."""
        client = node.clients.get(request)
        if client is not None and client.attempt_id and not client.established:
            self.end(client, AttemptResult.CANCELLED)

    def _report(self, server: Server) -> tuple[float, ...]:
        noise = 1 + self._day.report_noise * float(self._report_draws.standard_normal())
        rho = server.utilization(self._simulation.now)
        return rho * noise, server.wait_s(self._simulation.now), min(1.0, rho * noise)

    def check_health(self, node: Node, action: StartHealthCheck) -> None:
        """Check a server's health by fetching its load report."""
        simulation, day = self._simulation, self._day
        server, incarnation, now = (
            simulation.servers_by_id[str(action.endpoint)],
            node.incarnation,
            simulation.now,
        )
        simulation.measurements.health_checks += simulation.is_counting
        server.health_checks += 1
        unreachable = simulation.faults.unreachable_since(node, server) is not None
        if not server.is_running or unreachable:
            result = AttemptResult.TIMEOUT if unreachable else AttemptResult.CONNECT_FAILED
            wait = HEALTH_CHECK_TIMEOUT_US if unreachable else 2 * day.trip_us
            simulation.call_later(
                wait, partial(self._health_check_ended, node, incarnation, server, result, (), now)
            )
            return
        server.add_work(now, day.probe_us / SECOND)
        low, high = day.report_s
        # Servers refresh their report only at intervals, so a report may be up to max_age_us old.
        max_age_us = float(self._report_draws.uniform(0, (low + high) / 2)) * SECOND
        duration_us = 2 * day.trip_us + server.wait_s(now) * SECOND
        if not server.report or now - server.report_us > max_age_us:
            server.report, server.report_us = self._report(server), now
        result = AttemptResult.OK if duration_us <= HEALTH_CHECK_TIMEOUT_US else AttemptResult.TIMEOUT
        answer = server.report if result == AttemptResult.OK else ()
        simulation.call_later(
            min(duration_us, HEALTH_CHECK_TIMEOUT_US),
            partial(self._health_check_ended, node, incarnation, server, result, answer, now),
        )

    def _health_check_ended(
        self,
        node: Node,
        incarnation: int,
        server: Server,
        result: AttemptResult,
        report: tuple[float, ...],
        started_us: int,
    ) -> None:
        if node.incarnation == incarnation:
            self._simulation.handle_event(
                node, HealthCheckEnded(server.id, result, self._simulation.now - started_us, report)
            )
