"""Reports on the latency of sessions' messages, as a node's liveness monitor makes them."""

from __future__ import annotations

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND
from stepflow.fleet.state import Client, Node
from stepflow.interface import SessionReport, SessionReportKind

REPORT_EVERY_US = SECOND
STALLED_US = 2 * SECOND  # silence of a server after which a node ends its sessions there
OBJECTIVE_FRACTION = 3  # of the strictest class's objective: a lower latency is not reported


class LatencyReports:
    """Once a second, has one session of each node and server report a latency that is too high.

    A server's silence is reported as well, and ends all sessions there once it has lasted STALLED_US.
    """

    def __init__(self, world: SimulationContext) -> None:
        self._world = world
        self._threshold_s = min(cls.message_ms / 1000 for cls in world.classes) / OBJECTIVE_FRACTION

    def start(self) -> None:
        """Report from now on."""
        self._world.after(REPORT_EVERY_US, self._report_all)

    def _report_all(self) -> None:
        for node in self._world.nodes:
            self._report(node)
        self._world.after(REPORT_EVERY_US, self._report_all)

    def _report(self, node: Node) -> None:
        world = self._world
        reported: set[str] = set()
        for client in list(node.clients.values()):
            server = client.server
            if not client.up or server is None:
                continue
            since = world.faults.silent_since(node, server)
            if since is not None and world.now - since >= STALLED_US:
                world.attempts.broken(client)
            elif server.uid not in reported:
                reported.add(server.uid)
                latency = server.delay_s(world.now) if since is None else (world.now - since) / SECOND
                self._report_latency(node, client, server.uid, latency)

    def _report_latency(self, node: Node, client: Client, server: str, latency_s: float) -> None:
        if latency_s > self._threshold_s:
            report = SessionReport(
                client.request, client.attempt, server, SessionReportKind.DELAY, latency_s * 1000
            )
            self._world.feed(node, report)
