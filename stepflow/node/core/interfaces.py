"""What the core talks to: the protocols of its neighbours, and the state that it keeps for each request.

The core knows no line protocol. A `Downstream` is whatever speaks with a client, and an `Upstream` whatever
reaches the endpoints, so that a second kind of either goes through the same decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stepflow.interface import Request
from stepflow.node.runtime.clock import ZERO


class Downstream(Protocol):
    """The client's side of one request; the core calls exactly one of its answers."""

    def check_disconnected(self) -> None:
        """Call `Core.client_disconnected` now if the client has left, though nothing was read of that yet."""

    def session_established(self, attempt: Attempt) -> None:
        """Join the client with the attempt, which is up."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer that the request had no effect and may be repeated, after `retry_after`."""

    def fail(self) -> None:
        """Answer that the request failed and may have taken effect."""

    def complete(self, answer: bytes) -> None:
        """Pass on the answer of an endpoint that served the request to its end without a session."""

    def migrate(self) -> None:
        """Tell the client of an established session to come again, and end both sides.

        `Core.attempt_ended` follows.
        """


class Attempt(Protocol):
    """An attempt that has been started and has not ended."""

    def abandon(self) -> None:
        """Close its socket; `Core.attempt_ended` follows once it is closed."""


class Upstream(Protocol):
    """The way to the endpoints."""

    def start_attempt(self, context: RequestContext, peer: str, wait: timedelta) -> Attempt | None:
        """Start an attempt that may take `wait`; None where the endpoint has no address."""

    def start_health_check(self, peer: str) -> None:
        """Ask an endpoint for its load report; `Core.health_check_ended` follows."""

    def close_idle(self, peer: str) -> None:
        """Close the idle connections to an endpoint."""


class Discovery(Protocol):
    """The source of the endpoint list; `Core.endpoint_list_updated` follows each answer and each failure."""

    def watch(self, on: bool) -> None:
        """Begin to watch the list, or end that."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request, from its arrival until its client has its answer and no attempt is out."""

    request: Request
    downstream: Downstream
    previous_endpoint: str = ""  # the endpoint of its session before this node's start, as its client says
    client_request_id: str = ""
    attempt: Attempt | None = None  # the one that is out
    attempts: int = 0  # started so far
    endpoint: str = ""  # of the latest attempt
    attempt_started: timedelta = ZERO  # on the node's clock
    established: bool = False
    answered: bool = False
    max_attempts: int = 1  # by the settings in force when it was accepted

    @property
    def id(self) -> int:
        """The id in the request table, by which the policy knows it too."""
        return self.request.id
