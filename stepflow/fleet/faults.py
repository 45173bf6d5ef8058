"""Faults and operations of a scenario, applied to servers, nodes and zones.

Owns the state of faults that do not belong to a single server: the zone that is cut off and the share of
attempts that are reset. Each fault draws from a random stream of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import numpy as np

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.scenario import Fault
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.interface import Availability

RESTART_S = (0.8, 2.0)  # time until a killed node's new process starts, drawn from this range
REPORT_WITHIN_US = 3 * SECOND  # all sessions of a hung server report their loads within this time
SHUTDOWN_S = 2.0  # time a node takes to migrate its sessions at SIGTERM


class Faults:
    """Begins and ends the faults of a scenario at their times."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation = simulation
        self.reset_share = 0.0
        self._isolated_zone: int | None = None  # the zone that is cut off from all others
        self._isolated_since_us = 0
        self._servers_replaced = 0

    def unreachable_since(self, node: Node, server: Server) -> int | None:
        """Return the time at which a server became unreachable for a node, or None if it is reachable."""
        if server.hung:
            return server.hung_us
        cut_off = (
            self._isolated_zone is not None
            and node.zone != server.zone
            and self._isolated_zone in (node.zone, server.zone)
        )
        return self._isolated_since_us if cut_off else None

    @property
    def any_unreachable(self) -> bool:
        """Whether any node is cut off from any server now; servers that hang do not count."""
        return self._isolated_zone is not None

    def begin(self, number: int, fault: Fault) -> None:
        """Begin a fault; `number` is its index in the scenario and selects its random stream."""
        simulation, rng = self._simulation, stream(self._simulation.seed, "fault", number)
        duration_us = fault.lasts * SECOND
        match fault.what:
            case "burst":
                pass  # the drawn traffic contains the burst already
            case "list-down":
                simulation.endpoint_list.start_outage(duration_us)
            case "restart":
                self._begin_for_nodes(fault, rng, self.kill_node)
            case "roll":
                self._begin_for_nodes(fault, rng, self._shut_down_node)
            case "resets":
                self.reset_share = fault.part
                simulation.call_later(duration_us, partial(setattr, self, "reset_share", 0.0))
            case "settings":
                simulation.reload_settings()
            case "replace":
                self._replace_in_turn(self._chosen_servers(fault, rng), fault)
            case "cut" if simulation.scenario.day.zones > 1:
                self._isolate_zone(int(rng.integers(simulation.scenario.day.zones)), duration_us)
            case _:
                for server in self._chosen_servers(fault, rng):
                    self._apply_to_server(server, fault, duration_us)

    def _begin_for_nodes(self, fault: Fault, rng: np.random.Generator, call: Callable[[Node], None]) -> None:
        for position, node in self._in_batches(fault, rng):
            self._simulation.call_later(fault.lasts * SECOND * position, partial(call, node))

    def _replace_in_turn(self, servers: Sequence[Server], fault: Fault) -> None:
        for position, server in enumerate(servers):
            delay = fault.lasts * SECOND * position / len(servers)
            self._simulation.call_later(delay, partial(self._replace, server, fault.drain_s))

    def _isolate_zone(self, zone: int, duration_us: float) -> None:
        """Cut a zone's servers and nodes off from the nodes and servers of all other zones."""
        self._isolated_zone, self._isolated_since_us = zone, self._simulation.now
        self._simulation.call_later(duration_us, partial(setattr, self, "_isolated_zone", None))

    def _in_batches(self, fault: Fault, rng: np.random.Generator) -> list[tuple[float, Node]]:
        """Return the nodes to restart, each with its start as a fraction (0 to 1) of the fault's duration."""
        nodes = self._simulation.nodes
        count = max(1, round(fault.part * len(nodes)))
        batch_size = max(1, round(fault.at_once * len(nodes)))
        batch_count = -(-count // batch_size)
        order = rng.permutation(len(nodes))[:count]
        return [
            (position // batch_size / batch_count, nodes[int(node)]) for position, node in enumerate(order)
        ]

    def _chosen_servers(self, fault: Fault, rng: np.random.Generator) -> Sequence[Server]:
        """Return the servers that a fault affects, in random order; the fault `zone` affects a whole zone."""
        simulation = self._simulation
        running = [
            s
            for s in simulation.servers
            if s.is_running and s.availability == Availability.READY and not s.hung
        ]
        if fault.what == "zone" and simulation.scenario.day.zones > 1:
            zone = int(rng.integers(simulation.scenario.day.zones))
            return [s for s in running if s.zone == zone]
        count = min(len(running), max(1, round(fault.part * len(simulation.servers))))
        return [running[int(pick)] for pick in rng.permutation(len(running))[:count]]

    def _apply_to_server(self, server: Server, fault: Fault, duration_us: float) -> None:
        """Begin a fault of one server, and schedule its end after `duration_us`."""
        simulation = self._simulation
        if fault.what in ("hang", "cut"):
            server.hung, server.hung_us = True, simulation.now
            self._report_loads(server, int(duration_us))
            simulation.call_later(duration_us, partial(self._recover, server))
        elif fault.what == "errors":
            server.errors = fault.share
            simulation.call_later(duration_us, partial(setattr, server, "errors", 0.0))
        elif fault.what == "slow":
            self._set_speed(server, fault.share)
            simulation.call_later(duration_us, partial(self._set_speed, server, 1.0))
        elif fault.what == "crash":
            self.crash(server)
        elif fault.what == "drain":
            self._drain(server, duration_us)
        else:  # `start` or `zone`: the server stops and restarts
            self._stop(server)
            simulation.call_later(duration_us, partial(self._start, server))

    def _recover(self, server: Server) -> None:
        server.hung = False
        self._report_loads(server, SECOND)

    def _report_loads(self, server: Server, within: int) -> None:
        """Schedule load reports of a server's sessions, whose loads change when it hangs or recovers."""
        rng = stream(self._simulation.seed, "told loads", server.id, self._simulation.now)
        for node in self._simulation.nodes:
            for request, client in node.clients.items():
                if client.established and client.server is server:
                    span = rng.uniform(0, min(within, REPORT_WITHIN_US))
                    self._simulation.call_later(
                        span, partial(self._simulation.clients.report_load, client, request)
                    )

    def _set_speed(self, server: Server, share: float) -> None:
        server.advance(self._simulation.now)
        server.speed_share = share

    def crash(self, server: Server) -> None:
        """Crash a server, which breaks its sessions; it is not restarted."""
        server.crashed = True
        self._simulation.measurements.crashed_servers += 1
        self._stop(server)

    def _drain(self, server: Server, span: float) -> None:
        server.availability = int(Availability.DRAINING)
        self._simulation.endpoint_list.schedule_update(server)
        self._simulation.call_later(span, partial(self._stop, server))

    def _stop(self, server: Server) -> None:
        server.availability = int(Availability.GONE)
        for node in self._simulation.nodes:
            for client in [
                c for c in node.clients.values() if c.server is server and (c.established or c.attempt_id)
            ]:
                self._simulation.attempts.break_off(client)
        self._simulation.endpoint_list.schedule_update(server)

    def _start(self, server: Server) -> None:
        now = self._simulation.now
        server.availability, server.started_us, server.backlog, server.advanced_us = 0, now, 0.0, now
        self._simulation.endpoint_list.schedule_update(server)

    def _replace(self, server: Server, drain_s: float) -> None:
        """Start a new server in place of an old one, and drain the old one if it is ready."""
        simulation = self._simulation
        self._servers_replaced += 1
        rng = stream(simulation.seed, "fresh", self._servers_replaced)
        replacement = simulation.make_server(server.kind, f"f-{self._servers_replaced}", server.zone, rng)
        replacement.load_per_core = server.load_per_core
        simulation.add_server(replacement)
        self._start(replacement)
        if server.is_running and server.availability == Availability.READY:
            self._drain(server, drain_s * SECOND)

    def kill_node(self, node: Node) -> None:
        """Kill a node's process: its sessions break, and a new process starts after a delay (RESTART_S)."""
        simulation = self._simulation
        if node.policy is None:
            return
        node.incarnation += 1
        node.policy, node.down_since_us, node.shutting_down = None, simulation.now, False
        for client in list(node.clients.values()):
            if client.established:
                simulation.attempts.remove_session(client)
                simulation.measurements.broken_sessions += simulation.is_counting
            client.attempt_id, client.established, client.node = 0, False, None
            simulation.clients.reconnect(client)
        node.clients = {}
        down = float(stream(simulation.seed, "down", node.number, node.incarnation).uniform(*RESTART_S))
        simulation.call_later(down * SECOND, partial(simulation.start_node, node))

    def _shut_down_node(self, node: Node) -> None:
        """Shut a node down as SIGTERM does: it takes no new requests, migrates its sessions and exits."""
        simulation = self._simulation
        if node.policy is None:
            return
        node.shutting_down = True
        established_requests = [request for request, client in node.clients.items() if client.established]
        for position, request in enumerate(established_requests):
            span = SHUTDOWN_S * SECOND * (position + 1) / (len(established_requests) + 1)
            simulation.call_later(span, partial(self._migrate, node, node.incarnation, request))
        simulation.call_later(SHUTDOWN_S * SECOND, partial(self._exit, node, node.incarnation))

    def _migrate(self, node: Node, incarnation: int, request: int) -> None:
        if node.incarnation == incarnation:
            self._simulation.attempts.migrate(node, request)

    def _exit(self, node: Node, incarnation: int) -> None:
        if node.incarnation == incarnation:
            self.kill_node(node)
