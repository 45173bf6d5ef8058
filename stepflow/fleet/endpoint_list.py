"""Discovery: a service that publishes changes late, serves calls in turn, and may be out of reach.

Owns the endpoint list as published, which is some seconds behind the servers' state.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.interface import Availability, Endpoint, EndpointListUpdate, ListUpdateKind

FAILED_CALL_US = 50_000  # until a call fails while the service is out of reach


class EndpointListService:
    """The service that all nodes poll and watch."""

    def __init__(self, simulation: SimulationContext) -> None:
        self._simulation, self._day = simulation, simulation.scenario.day
        self._updates_scheduled = 0
        self._free_at_us = 0.0  # when all waiting calls are answered
        self._down = False
        self._published = {server.id: _entry(server) for server in simulation.servers}

    def entries(self) -> tuple[Endpoint, ...]:
        """The list as published now."""
        return tuple(self._published.values())

    def watch(self, node: Node) -> None:
        """A node fetches the list and watches it; the call waits its turn."""
        simulation, day, life = self._simulation, self._day, node.incarnation
        if self._down:
            simulation.after(FAILED_CALL_US, partial(self._answer, node, life, ListUpdateKind.FAILED))
        elif not day.list_calls:
            self._answer(node, life, ListUpdateKind.FULL)
        elif self._free_at_us - simulation.now > day.list_wait_s * SECOND:
            simulation.after(
                day.list_wait_s * SECOND, partial(self._answer, node, life, ListUpdateKind.FAILED)
            )
        else:
            self._free_at_us = max(self._free_at_us, simulation.now) + SECOND / day.list_calls
            simulation.after(
                self._free_at_us - simulation.now, partial(self._answer, node, life, ListUpdateKind.FULL)
            )

    def _answer(self, node: Node, life: int, form: ListUpdateKind) -> None:
        if node.incarnation != life or node.policy is None:
            return
        failed = form == ListUpdateKind.FAILED or self._down
        node.watching = not failed
        self._send_update(node, ListUpdateKind.FAILED if failed else form, () if failed else self.entries())

    def _send_update(self, node: Node, form: ListUpdateKind, entries: Sequence[Endpoint]) -> None:
        self._simulation.measurements.list_entries += self._simulation.is_counting * len(entries)
        self._simulation.handle_event(node, EndpointListUpdate(form, tuple(entries)))

    def schedule_update(self, server: Server) -> None:
        """Publish a server's state some seconds from now, as it is then."""
        low, high = self._day.list_s
        late = (
            float(stream(self._simulation.seed, "list", self._updates_scheduled).uniform(low, high)) * SECOND
        )
        self._updates_scheduled += 1
        self._simulation.after(late, partial(self._publish, server))

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
        """Be out of reach for a time; all watches end."""
        self._down = True
        for node in self._simulation.nodes:
            if node.watching and node.policy is not None:
                node.watching = False
                self._send_update(node, ListUpdateKind.FAILED, ())
        self._simulation.after(span_us, partial(setattr, self, "_down", False))


def _entry(server: Server) -> Endpoint:
    return Endpoint(server.id, server.zone, server.kind, 0, server.availability, 1.0, server.started_us)
