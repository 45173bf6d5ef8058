"""Protocols by which the parts of the simulation call each other.

Clients, attempts, the endpoint list and faults depend on each other in cycles. Each part therefore uses the
others only through these protocols and imports none of them; `simulation.py` creates the parts and passes
itself to each as its context.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import numpy as np

from stepflow.fleet.measurements import Measurements
from stepflow.fleet.scenario import Class, Scenario
from stepflow.fleet.servers import Server
from stepflow.fleet.state import Client, Node
from stepflow.fleet.traffic import Traffic
from stepflow.interface import AttemptResult, Event


class ClientOperations(Protocol):
    """Operations of the clients that the other parts call."""

    @property
    def active(self) -> dict[Client, None]:
        """The clients that need a session now."""
        ...

    def reconnect(self, client: Client) -> None:
        """Schedule a new request after a session broke or was migrated."""
        ...

    def apply_load(self, client: Client, request: int, number: int) -> None:
        """Set a session's load to item `number` of its loads, report it, and schedule the next one."""
        ...

    def report_load(self, client: Client, request: int) -> None:
        """Report the load of a session to its node."""
        ...


class AttemptOperations(Protocol):
    """Operations of the attempts that the other parts call."""

    def add_session(self, client: Client) -> None:
        """Count a session at its server."""
        ...

    def remove_session(self, client: Client) -> None:
        """Stop counting a session at its server."""
        ...

    def end(self, client: Client, result: AttemptResult, answered: bool = False) -> None:
        """End an attempt, before or after its session is established."""
        ...

    def break_off(self, client: Client, result: AttemptResult = AttemptResult.RESET) -> None:
        """End an attempt or a session because of a fault."""
        ...

    def migrate(self, node: Node, request: int) -> None:
        """Migrate a session."""
        ...


class EndpointListOperations(Protocol):
    """Operations of the endpoint list that the other parts call."""

    def schedule_update(self, server: Server) -> None:
        """Publish a server after some seconds, with the state that it has at the end of this delay."""
        ...

    def start_outage(self, span_us: float) -> None:
        """Make discovery unavailable for a time."""
        ...


class FaultOperations(Protocol):
    """Operations and state of the faults that the other parts use."""

    @property
    def reset_share(self) -> float:
        """The share of attempts that are reset when they reach their server."""
        ...

    @property
    def any_unreachable(self) -> bool:
        """Whether any node is cut off from any server now; servers that hang do not count."""
        ...

    def unreachable_since(self, node: Node, server: Server) -> int | None:
        """Return the time at which a server became unreachable for a node, or None if it is reachable."""
        ...

    def crash(self, server: Server) -> None:
        """Crash a server; it is not restarted."""
        ...


class SimulationContext(Protocol):
    """The simulation as its parts see it: the clock, the shared state, and the other parts."""

    @property
    def scenario(self) -> Scenario:
        """The scenario of this run."""
        ...

    @property
    def seed(self) -> int:
        """The seed of all random draws except the policies' own."""
        ...

    @property
    def traffic(self) -> Traffic:
        """The clients of this run, drawn before it starts."""
        ...

    @property
    def classes(self) -> list[Class]:
        """The request classes, by index."""
        ...

    @property
    def servers(self) -> list[Server]:
        """All servers, including those that are gone."""
        ...

    @property
    def servers_by_id(self) -> dict[str, Server]:
        """All servers by their ids."""
        ...

    @property
    def sessions_by_class(self) -> dict[Server, list[int]]:
        """The number of sessions of each class at each server."""
        ...

    @property
    def nodes(self) -> list[Node]:
        """All nodes, including those whose process is down."""
        ...

    @property
    def measurements(self) -> Measurements:
        """The measurements of this run."""
        ...

    @property
    def is_counting(self) -> bool:
        """Whether the warm-up is over."""
        ...

    @property
    def clients(self) -> ClientOperations:
        """The clients."""
        ...

    @property
    def attempts(self) -> AttemptOperations:
        """The attempts and sessions."""
        ...

    @property
    def endpoint_list(self) -> EndpointListOperations:
        """The endpoint list."""
        ...

    @property
    def faults(self) -> FaultOperations:
        """The faults."""
        ...

    @property
    def now(self) -> int:
        """The time in microseconds since the run began."""
        ...

    def call_at(self, due: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        ...

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in microseconds."""
        ...

    def handle_event(self, node: Node, event: Event) -> None:
        """Pass an event to a node's policy and carry out its actions."""
        ...

    def start_node(self, node: Node) -> None:
        """Start a node's process."""
        ...

    def reload_settings(self) -> None:
        """Reload the settings of all running nodes."""
        ...

    def make_server(self, kind: int, uid: str, zone: int, rng: np.random.Generator) -> Server:
        """Make a server of a kind."""
        ...

    def add_server(self, server: Server) -> None:
        """Add a server to the fleet."""
        ...
