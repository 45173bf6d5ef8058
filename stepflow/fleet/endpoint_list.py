"""Discovery: a service that publishes changes late, answers calls one at a time, and can be unavailable.

Owns the published endpoint list, which is some seconds behind the servers' state.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.interface import Availability, Endpoint, EndpointListUpdate, ListUpdateKind

FAILED_CALL_US = 50_000  # time until a call fails while the service is unavailable


class EndpointListService:
    """The service that all nodes poll and watch."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation, self._day = simulation, simulation.scenario.day
        self._updates_scheduled = 0
        self._free_at_us = 0.0  # time by which all waiting calls will have been answered
        self._down = False
        self._published = {server.id: _entry(server) for server in simulation.servers}

    def entries(self) -> tuple[Endpoint, ...]:
        """Return the list as published now."""
        return tuple(self._published.values())

    def watch(self, node: Node) -> None:
        """Fetch the list for a node and start its watch; calls are answered one at a time."""
        simulation, day, incarnation = self._simulation, self._day, node.incarnation
        if self._down:
            simulation.call_later(
                FAILED_CALL_US, partial(self._answer, node, incarnation, ListUpdateKind.FAILED)
            )
        elif not day.list_calls:
            self._answer(node, incarnation, ListUpdateKind.FULL)
        elif self._free_at_us - simulation.now > day.list_wait_s * SECOND:
            simulation.call_later(
                day.list_wait_s * SECOND, partial(self._answer, node, incarnation, ListUpdateKind.FAILED)
            )
        else:
            self._free_at_us = max(self._free_at_us, simulation.now) + SECOND / day.list_calls
            simulation.call_later(
                self._free_at_us - simulation.now,
                partial(self._answer, node, incarnation, ListUpdateKind.FULL),
            )

    def _answer(self, node: Node, incarnation: int, kind: ListUpdateKind) -> None:
        if node.incarnation != incarnation or node.policy is None:
            return
        failed = kind == ListUpdateKind.FAILED or self._down
        node.watching = not failed
        self._send_update(node, ListUpdateKind.FAILED if failed else kind, () if failed else self.entries())

    def _send_update(self, node: Node, kind: ListUpdateKind, entries: Sequence[Endpoint]) -> None:
        self._simulation.measurements.list_entries += self._simulation.is_counting * len(entries)
        self._simulation.handle_event(node, EndpointListUpdate(kind, tuple(entries)))

    def schedule_update(self, server: Server) -> None:
        """Publish a server after some seconds, with the state that it has at the end of this delay."""
        low, high = self._day.list_s
        delay_us = (
            float(stream(self._simulation.seed, "list", self._updates_scheduled).uniform(low, high)) * SECOND
        )
        self._updates_scheduled += 1
        self._simulation.call_later(delay_us, partial(self._publish, server))

    def _publish(self, server: Server) -> None:
        entry = _entry(server)
        if entry.availability == Availability.GONE:
            self._published.pop(server.id, None)
        else:
            self._published[server.id] = entry
        for node in self._simulation.nodes:
            if node.watching and node.policy is not None:
                self._send_update(node, ListUpdateKind.DELTA, (entry,))

    def start_outage(self, span_us: float) -> None:
        """Make the service unavailable for a time; all watches end."""
        self._down = True
        for node in self._simulation.nodes:
            if node.watching and node.policy is not None:
                node.watching = False
                self._send_update(node, ListUpdateKind.FAILED, ())
        self._simulation.call_later(span_us, partial(setattr, self, "_down", False))


def _entry(server: Server) -> Endpoint:
    return Endpoint(server.id, server.zone, server.kind, 0, server.availability, 1.0, server.started_us)
