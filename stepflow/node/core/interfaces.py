"""The protocols of the components that the core calls, and the state of each request.

The core doesn't depend on the line protocol. A `Downstream` talks to a client, an `Upstream` to the
endpoints; the policy's decisions are the same for any implementation of the two.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stepflow.interface import Request
from stepflow.node.runtime.clock import ZERO


class Downstream(Protocol):
    """The client's side of one request.

    The core calls exactly one of `session_established`, `reject`, `fail` and `complete`, or none of them if
    the client has disconnected.
    """

    def check_disconnected(self) -> None:
        """Call `Core.client_disconnected` now if the client has disconnected, even if data is unread."""

    def session_established(self, attempt: Attempt) -> None:
        """Connect the client with the attempt, whose session is established."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer that the request had no effect and may be retried after `retry_after`."""

    def fail(self) -> None:
        """Answer that the request failed and may have taken effect."""

    def complete(self, answer: bytes) -> None:
        """Pass on the answer of an endpoint that completed the request without a session."""

    def prepare_migration(self) -> None:
        """Prepare an established session for a migration that follows soon."""

    def migrate(self) -> None:
        """Tell the client of an established session to reconnect, and close both connections.

        `Core.attempt_ended` follows.
        """


class Attempt(Protocol):
    """An attempt that has been started and has not ended."""

    def abandon(self) -> None:
        """Close the attempt's socket; `Core.attempt_ended` follows once it is closed."""


class Upstream(Protocol):
    """The connections to the endpoints."""

    def start_attempt(self, context: RequestContext, endpoint: str, timeout: timedelta) -> Attempt | None:
        """Start an attempt with this timeout; return None if the endpoint has no address."""

    def start_health_check(self, endpoint: str) -> None:
        """Request an endpoint's load report; `Core.health_check_ended` follows."""

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""


class Discovery(Protocol):
    """The source of the endpoint list.

    `Core.endpoint_list_updated` follows each list and each failure that the policy has to handle.
    """

    def watch(self, enabled: bool) -> None:
        """Start or stop watching the list."""

    def fetch(self) -> None:
        """Request the complete list once."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state of one request, from its arrival until it is answered and its last attempt has ended."""

    request: Request
    downstream: Downstream
    previous_endpoint: str = ""  # endpoint of a session before this node's start, as named by the client
    client_request_id: str = ""
    attempt: Attempt | None = None  # the attempt that has not ended
    attempts: int = 0  # attempts started so far
    possible_runs: int = 0  # attempts that an endpoint has received and not turned away
    endpoint: str = ""  # endpoint of the latest attempt
    attempt_started: timedelta = ZERO  # on the node's clock
    established: bool = False
    answered: bool = False
    max_attempts: int = 1  # limit in the settings when the request was accepted

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.possible_runs > 0

    @property
    def id(self) -> int:
        """The id in the request table, which the policy uses too."""
        return self.request.id
