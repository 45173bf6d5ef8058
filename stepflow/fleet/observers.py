"""The interface of a simulation's observers, such as the rule checker and the journal writer."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from stepflow.fleet.servers import Server
from stepflow.interface import Action, Event, Settings


class Observer(Protocol):
    """Observer of a simulation; it is called with all events and actions of the nodes' policies."""

    def node_started(self, node: int, incarnation: int, settings: Settings) -> None:
        """A node's process starts; `incarnation` counts the node's processes."""

    def event_handled(self, now: int, node: int, event: Event, actions: list[Action]) -> None:
        """A node's policy has handled an event; its actions are not carried out yet."""

    def run_ended(self, now: int, servers: Sequence[Server]) -> None:
        """The run is over."""
