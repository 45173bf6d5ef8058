"""Actions that the policy asks its host to carry out, in the order in which it returns them."""

from __future__ import annotations

from typing import NamedTuple

from stepflow.interface.events import EndpointId


class StartAttempt(NamedTuple):
    """Start an attempt of a request at an endpoint; a timeout of 0 stands for the request's deadline."""

    request_id: int
    endpoint: EndpointId
    timeout_us: int


class RejectRequest(NamedTuple):
    """Send a request's final answer: rejected without effect, so safe to retry.

    `retry_after_us` advises the client how long to wait before its retry; 0 gives no advice.
    """

    request_id: int
    retry_after_us: int = 0


class FailRequest(NamedTuple):
    """Send a request's final answer: failed, with no promise that the request had no effect."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight; an AttemptEnded event follows."""

    request_id: int
    attempt: int


class MigrateSession(NamedTuple):
    """End an established session gracefully; its client reconnects with a new request."""

    request_id: int


class SetTimer(NamedTuple):
    """Send a TimerFired event with this token after `delay_us`."""

    delay_us: int
    token: int


class StartHealthCheck(NamedTuple):
    """Ask an endpoint for its health and load report; a HealthCheckEnded event follows."""

    endpoint: EndpointId


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


class SendPeerMessage(NamedTuple):
    """Send bytes to another balancer, or to ALL_PEERS."""

    peer: int
    data: bytes


class WatchEndpointList(NamedTuple):
    """Start a watch of the endpoint list, or end it where `enabled` is false."""

    enabled: bool


class FetchEndpointList(NamedTuple):
    """Fetch the whole endpoint list once."""


class LogMessage(NamedTuple):
    """Write a line to the host's log."""

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
"""Any action of a policy."""
