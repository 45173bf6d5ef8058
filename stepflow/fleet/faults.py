"""Faults and operations of a scenario: what goes wrong with servers, nodes and zones, or is done to them.

Owns the state of faults that concern no single server: the zone that is cut off, the share of attempts that
are reset. Each fault draws from a stream of its own.
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

RESTART_S = (0.8, 2.0)  # until a killed node's process is back
REPORT_WITHIN_US = 3 * SECOND  # within which a hung server's sessions have all reported their loads
SHUTDOWN_S = 2.0  # that a node takes to migrate its sessions at SIGTERM


class Faults:
    """Applies a scenario's faults as their times come, and ends them."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation = simulation
        self.reset_share = 0.0
        self._isolated_zone: int | None = None  # the zone that no other zone's nodes reach
        self._isolated_since_us = 0
        self._servers_replaced = 0

    def unreachable_since(self, node: Node, server: Server) -> int | None:
        """Since when nothing comes from a server to a node; None where it answers."""
        if server.hung:
            return server.hung_us
        parted = (
            self._isolated_zone is not None
            and node.zone != server.zone
            and self._isolated_zone in (node.zone, server.zone)
        )
        return self._isolated_since_us if parted else None

    @property
    def any_unreachable(self) -> bool:
        """Whether nodes are cut off from servers now; servers that hang don't count."""
        return self._isolated_zone is not None

    def begin(self, number: int, fault: Fault) -> None:
        """Begin a fault whose time has come; `number` is its place in the scenario."""
        simulation, rng = self._simulation, stream(self._simulation.seed, "fault", number)
        duration_us = fault.lasts * SECOND
        match fault.what:
            case "burst":
                pass  # it is in the traffic's draws already
            case "list-down":
                simulation.endpoint_list.start_outage(duration_us)
            case "restart":
                self._begin_for_nodes(fault, rng, self.kill_node)
            case "roll":
                self._begin_for_nodes(fault, rng, self._shut_down_node)
            case "resets":
                self.reset_share = fault.part
                simulation.after(duration_us, partial(setattr, self, "reset_share", 0.0))
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
        for place, node in self._in_batches(fault, rng):
            self._simulation.after(fault.lasts * SECOND * place, partial(call, node))

    def _replace_in_turn(self, servers: Sequence[Server], fault: Fault) -> None:
        for place, server in enumerate(servers):
            delay = fault.lasts * SECOND * place / len(servers)
            self._simulation.after(delay, partial(self._replace, server, fault.drain_s))

    def _isolate_zone(self, zone: int, duration_us: float) -> None:
        """Cut a zone off from nodes of all others, and theirs from its servers."""
        self._isolated_zone, self._isolated_since_us = zone, self._simulation.now
        self._simulation.after(duration_us, partial(setattr, self, "_isolated_zone", None))

    def _in_batches(self, fault: Fault, rng: np.random.Generator) -> list[tuple[float, Node]]:
        """The nodes that restart, each with its place in the fault's time, from 0 to 1."""
        nodes = self._simulation.nodes
        count = max(1, round(fault.part * len(nodes)))
        batch = max(1, round(fault.at_once * len(nodes)))
        steps = -(-count // batch)
        order = rng.permutation(len(nodes))[:count]
        return [(place // batch / steps, nodes[int(node)]) for place, node in enumerate(order)]

    def _chosen_servers(self, fault: Fault, rng: np.random.Generator) -> Sequence[Server]:
        """The servers that a fault concerns, in random order: all of a zone where one is lost."""
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

    def _apply_to_server(self, server: Server, fault: Fault, end: float) -> None:
        """Begin a fault of one server, and schedule its end in so many microseconds."""
        simulation = self._simulation
        if fault.what in ("hang", "cut"):
            server.hung, server.hung_us = True, simulation.now
            self._report_loads(server, int(end))
            simulation.after(end, partial(self._recover, server))
        elif fault.what == "errors":
            server.errors = fault.share
            simulation.after(end, partial(setattr, server, "errors", 0.0))
        elif fault.what == "slow":
            self._set_speed(server, fault.share)
            simulation.after(end, partial(self._set_speed, server, 1.0))
        elif fault.what == "crash":
            self.crash(server)
        elif fault.what == "drain":
            self._drain(server, end)
        else:  # it is lost, and starts anew
            self._stop(server)
            simulation.after(end, partial(self._start, server))

    def _recover(self, server: Server) -> None:
        server.hung = False
        self._report_loads(server, SECOND)

    def _report_loads(self, server: Server, within: int) -> None:
        """Schedule reports of its sessions' loads, which change as it hangs and as it recovers."""
        rng = stream(self._simulation.seed, "told loads", server.id, self._simulation.now)
        for node in self._simulation.nodes:
            for request, client in node.clients.items():
                if client.established and client.server is server:
                    span = rng.uniform(0, min(within, REPORT_WITHIN_US))
                    self._simulation.after(
                        span, partial(self._simulation.clients.report_load, client, request)
                    )

    def _set_speed(self, server: Server, share: float) -> None:
        server.advance(self._simulation.now)
        server.speed_share = share

    def crash(self, server: Server) -> None:
        """Stop a server for good, and its sessions with it."""
        server.crashed = True
        self._simulation.measurements.crashed_servers += 1
        self._stop(server)

    def _drain(self, server: Server, span: float) -> None:
        server.availability = int(Availability.DRAINING)
        self._simulation.endpoint_list.schedule_update(server)
        self._simulation.after(span, partial(self._stop, server))

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
        """Start a fresh server, and drain an old one in its place."""
        simulation = self._simulation
        self._servers_replaced += 1
        rng = stream(simulation.seed, "fresh", self._servers_replaced)
        fresh = simulation.make_server(server.kind, f"f-{self._servers_replaced}", server.zone, rng)
        fresh.load_per_core = server.load_per_core
        simulation.add_server(fresh)
        self._start(fresh)
        if server.is_running and server.availability == Availability.READY:
            self._drain(server, drain_s * SECOND)

    def kill_node(self, node: Node) -> None:
        """Kill a node's process: its sessions break, and a new process starts in a moment."""
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
        simulation.after(down * SECOND, partial(simulation.start_node, node))

    def _shut_down_node(self, node: Node) -> None:
        """Shut a node down as at SIGTERM: it accepts nothing more, migrates its sessions and exits."""
        simulation = self._simulation
        if node.policy is None:
            return
        node.shutting_down = True
        standing = [request for request, client in node.clients.items() if client.established]
        for place, request in enumerate(standing):
            span = SHUTDOWN_S * SECOND * (place + 1) / (len(standing) + 1)
            simulation.after(span, partial(self._migrate, node, node.incarnation, request))
        simulation.after(SHUTDOWN_S * SECOND, partial(self._exit, node, node.incarnation))

    def _migrate(self, node: Node, life: int, request: int) -> None:
        if node.incarnation == life:
            self._simulation.attempts.migrate(node, request)

    def _exit(self, node: Node, life: int) -> None:
        if node.incarnation == life:
            self.kill_node(node)
