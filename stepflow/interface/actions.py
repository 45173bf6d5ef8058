"""Actions: what the policy asks its host to do, in the order in which they are to be done."""

from __future__ import annotations

from typing import NamedTuple

from stepflow.interface.events import EndpointId


class StartAttempt(NamedTuple):
    """Begin an attempt of a request at an endpoint; a timeout of 0 leaves it to the request's deadline."""

    request_id: int
    endpoint: EndpointId
    timeout_us: int


class RejectRequest(NamedTuple):
    """Final answer: rejected without effect, so safe to retry (after `retry_after_us`; 0 gives no advice)."""

    request_id: int
    retry_after_us: int = 0


class FailRequest(NamedTuple):
    """Final answer: failed, with no promise that the request had no effect."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Give up an attempt that is in flight; AttemptEnded follows."""

    request_id: int
    attempt: int


class MigrateSession(NamedTuple):
    """End an established session gracefully; its client comes back with a new request."""

    request_id: int


class SetTimer(NamedTuple):
    """Send a TimerFired event with this token after `delay_us`."""

    delay_us: int
    token: int


class StartHealthCheck(NamedTuple):
    """Ask an endpoint for its health and load report; HealthCheckEnded follows."""

    endpoint: EndpointId


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


class SendPeerMessage(NamedTuple):
    """Send bytes to another balancer, or to ALL_PEERS."""

    peer: int
    data: bytes


class WatchEndpointList(NamedTuple):
    """Open (or end) a watch of the endpoint list."""

    enabled: bool


class FetchEndpointList(NamedTuple):
    """Fetch the whole endpoint list once."""


class LogMessage(NamedTuple):
    """A line for the host's log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | MigrateSession
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | WatchEndpointList
    | FetchEndpointList
    | LogMessage
)
"""Whatever a policy can ask for."""
