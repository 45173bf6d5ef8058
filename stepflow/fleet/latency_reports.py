"""Reports on the latency of sessions' messages, as a node's liveness monitor sends them to the policy."""

from __future__ import annotations

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND
from stepflow.fleet.state import Client, Node
from stepflow.interface import SessionReport, SessionReportKind

REPORT_EVERY_US = SECOND
STALLED_US = 2 * SECOND  # a node ends its sessions at a server that is silent this long
OBJECTIVE_FRACTION = 3  # latencies up to 1/3 of the strictest class's objective are not reported


class LatencyReports:
    """Reports high latencies once a second, for one session of each pair of node and server.

    The silence of an unreachable server is reported as a latency. Once the silence has lasted
    STALLED_US, all sessions at the server are ended.
    """

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation = simulation
        self._threshold_s = min(cls.message_ms / 1000 for cls in simulation.classes) / OBJECTIVE_FRACTION

    def start(self) -> None:
        """Start the periodic reports."""
        self._simulation.call_later(REPORT_EVERY_US, self._report_all)

    def _report_all(self) -> None:
        for node in self._simulation.nodes:
            self._report(node)
        self._simulation.call_later(REPORT_EVERY_US, self._report_all)

    def _report(self, node: Node) -> None:
        simulation = self._simulation
        reported: set[str] = set()
        for client in list(node.clients.values()):
            server = client.server
            if not client.established or server is None:
                continue
            silent_since = simulation.faults.unreachable_since(node, server)
            if silent_since is not None and simulation.now - silent_since >= STALLED_US:
                simulation.attempts.break_off(client)
            elif server.id not in reported:
                reported.add(server.id)
                latency = (
                    server.mean_latency_s(simulation.now)
                    if silent_since is None
                    else (simulation.now - silent_since) / SECOND
                )
                self._report_latency(node, client, server.id, latency)

    def _report_latency(self, node: Node, client: Client, server: str, latency_s: float) -> None:
        if latency_s > self._threshold_s:
            report = SessionReport(
                client.request_id, client.attempt_number, server, SessionReportKind.DELAY, latency_s * 1000
            )
            self._simulation.handle_event(node, report)
