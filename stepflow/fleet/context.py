"""What the parts of the simulation offer each other.

Clients, attempts, the endpoint list and faults call each other in circles. Each part knows the others by
these protocols alone, and none imports another; `simulation.py` makes them and is the context of all.
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
    """What the clients offer the other parts."""

    @property
    def active(self) -> dict[Client, None]:
        """The clients that want a session now."""
        ...

    def reconnect(self, client: Client) -> None:
        """A session broke, or was migrated: its client comes again."""
        ...

    def apply_load(self, client: Client, request: int, number: int) -> None:
        """Give the session its load of that number, and schedule the next one."""
        ...

    def report_load(self, client: Client, request: int) -> None:
        """Report the session's load to its node."""
        ...


class AttemptOperations(Protocol):
    """What the attempts offer the other parts."""

    def add_session(self, client: Client) -> None:
        """Count a session at its server."""
        ...

    def remove_session(self, client: Client) -> None:
        """Count it there no longer."""
        ...

    def end(self, client: Client, result: AttemptResult, answered: bool = False) -> None:
        """End an attempt, before its session is established or after."""
        ...

    def break_off(self, client: Client, result: AttemptResult = AttemptResult.RESET) -> None:
        """End an attempt or a session by a fault."""
        ...

    def migrate(self, node: Node, request: int) -> None:
        """Migrate a session."""
        ...


class EndpointListOperations(Protocol):
    """What the endpoint list offers the other parts."""

    def schedule_update(self, server: Server) -> None:
        """Publish what has changed of a server, some seconds later."""
        ...

    def start_outage(self, span_us: float) -> None:
        """Be out of reach for a time."""
        ...


class FaultOperations(Protocol):
    """What the faults offer the other parts."""

    @property
    def reset_share(self) -> float:
        """The share of attempts that are reset at their server."""
        ...

    @property
    def any_unreachable(self) -> bool:
        """Whether nodes are cut off from servers now."""
        ...

    def unreachable_since(self, node: Node, server: Server) -> int | None:
        """Since when nothing comes from a server to a node; None where it answers."""
        ...

    def crash(self, server: Server) -> None:
        """Stop a server for good."""
        ...


class SimulationContext(Protocol):
    """The simulation as its parts see it: the clock, the state that they share, and each other."""

    @property
    def scenario(self) -> Scenario:
        """What is simulated."""
        ...

    @property
    def seed(self) -> int:
        """The seed of all random draws but the policies' own."""
        ...

    @property
    def traffic(self) -> Traffic:
        """The draws of the clients."""
        ...

    @property
    def classes(self) -> list[Class]:
        """The classes of requests, by their index."""
        ...

    @property
    def servers(self) -> list[Server]:
        """All servers, also those that are gone."""
        ...

    @property
    def servers_by_id(self) -> dict[str, Server]:
        """All servers by their ids."""
        ...

    @property
    def sessions_by_class(self) -> dict[Server, list[int]]:
        """How many sessions of each class each server has."""
        ...

    @property
    def nodes(self) -> list[Node]:
        """All nodes, also those whose process is down."""
        ...

    @property
    def measurements(self) -> Measurements:
        """What the run counts."""
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
        """Microseconds since the run began."""
        ...

    def at(self, due: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        ...

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call so many microseconds from now."""
        ...

    def handle_event(self, node: Node, event: Event) -> None:
        """Hand an event to a node's policy and carry out its actions."""
        ...

    def start_node(self, node: Node) -> None:
        """Start a node's process."""
        ...

    def reload_settings(self) -> None:
        """Reload the settings of all nodes that run."""
        ...

    def make_server(self, kind: int, uid: str, zone: int, rng: np.random.Generator) -> Server:
        """Make a server of a kind."""
        ...

    def add_server(self, server: Server) -> None:
        """Add a server to the fleet."""
        ...
