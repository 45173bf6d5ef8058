"""Discovery in the model: a list that tells late, answers one call after the other, or is out of reach."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from stepflow.fleet.context import SimulationContext
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.interface import Availability, Endpoint, EndpointListUpdate, ListUpdateKind

REFUSED_US = 50_000  # until a call fails while discovery is down


class Listing:
    """The one service that all nodes ask, and the state that it knows of: some seconds behind the truth."""

    def __init__(self, world: SimulationContext) -> None:
        self._world, self._day = world, world.scenario.day
        self._rev = 0
        self._free = 0.0  # when the calls that wait will have been answered
        self._down = False
        self._seen = {server.uid: _entry(server) for server in world.servers}

    def entries(self) -> tuple[Endpoint, ...]:
        """The list as it tells it now."""
        return tuple(self._seen.values())

    def watch(self, node: Node) -> None:
        """A node asks for the list and its changes: the call waits its turn."""
        world, day, life = self._world, self._day, node.life
        if self._down:
            world.after(REFUSED_US, partial(self._answer, node, life, ListUpdateKind.FAILED))
        elif not day.list_calls:
            self._answer(node, life, ListUpdateKind.FULL)
        elif self._free - world.now > day.list_wait_s * SECOND:
            world.after(day.list_wait_s * SECOND, partial(self._answer, node, life, ListUpdateKind.FAILED))
        else:
            self._free = max(self._free, world.now) + SECOND / day.list_calls
            world.after(self._free - world.now, partial(self._answer, node, life, ListUpdateKind.FULL))

    def _answer(self, node: Node, life: int, form: ListUpdateKind) -> None:
        if node.life != life or node.policy is None:
            return
        failed = form == ListUpdateKind.FAILED or self._down
        node.watching = not failed
        self._tell(node, ListUpdateKind.FAILED if failed else form, () if failed else self.entries())

    def _tell(self, node: Node, form: ListUpdateKind, entries: Sequence[Endpoint]) -> None:
        self._world.tally.lines += self._world.counting * len(entries)
        self._world.feed(node, EndpointListUpdate(form, tuple(entries)))

    def change(self, server: Server) -> None:
        """Something has changed: it is told some seconds later, as it is then."""
        low, high = self._day.list_s
        late = float(stream(self._world.seed, "list", self._rev).uniform(low, high)) * SECOND
        self._rev += 1
        self._world.after(late, partial(self._publish, server))

    def _publish(self, server: Server) -> None:
        entry = _entry(server)
        if entry.availability == Availability.GONE:
            self._seen.pop(server.uid, None)
        else:
            self._seen[server.uid] = entry
        for node in self._world.nodes:
            if node.watching and node.policy is not None:
                self._tell(node, ListUpdateKind.DELTA, (entry,))

    def go_down(self, span_us: float) -> None:
        """Out of reach: all watches end."""
        self._down = True
        for node in self._world.nodes:
            if node.watching and node.policy is not None:
                node.watching = False
                self._tell(node, ListUpdateKind.FAILED, ())
        self._world.after(span_us, partial(setattr, self, "_down", False))


def _entry(server: Server) -> Endpoint:
    return Endpoint(server.uid, server.zone, server.kind, 0, server.state, 1.0, server.started_us)
