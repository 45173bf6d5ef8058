"""Events that the host passes to the policy, one at a time.

An event describes something that has already happened. The order of its fields is part of the simulator's
wire and of recorded journals, so new fields are only added at the end.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

EndpointId = Hashable
"""An opaque identifier of an endpoint; the host chooses its type."""

ALL_PEERS = 0xFFFFFFFF
"""The `peer` of a message to all other balancers."""


class AttemptResult(IntEnum):
    """The result of an attempt or a health check. Traces and logs contain the member names."""

    OK = 0
    """The attempt or health check was served to its end."""
    ERROR = 1
    """The endpoint answered with an error."""
    FULL = 2
    """The endpoint rejected it for lack of capacity; it did not run."""
    TIMEOUT = 3
    """No answer came within the attempt's timeout; it may have run."""
    CONNECT_FAILED = 4
    """No connection was established; it did not run."""
    RESET = 5
    """The connection was lost; it may have run."""
    CANCELLED = 6
    """The host cancelled it, at the policy's request or because its client disconnected."""
    NOT_SENT = 7
    """It ended before its request line was written; it did not run."""


class Availability(IntEnum):
    """The state of an endpoint's process according to the endpoint list."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListUpdateKind(IntEnum):
    """The entries that a list update contains. Traces contain the member names."""

    DELTA = 0
    """Only the entries that changed."""
    FULL = 1
    """All entries; an endpoint without an entry has been removed."""
    CACHED = 2
    """All entries, as the host last knew them before its start."""
    FAILED = 3
    """No entries, since the poll or watch failed."""


class SessionReportKind(IntEnum):
    """The quantity that a session report measures. Traces contain the member names."""

    LOAD = 1
    """The session's current load."""
    DELAY = 2
    """The latency of the session's messages at its endpoint, in milliseconds."""


class Endpoint(NamedTuple):
    """One entry of the endpoint list.

    `size` is the endpoint's capacity relative to other endpoints. `started_us` is the time at which its
    process started, on the host's clock, or 0 if that is unknown; its slow start is counted from then.
    """

    id: EndpointId
    zone: int
    kind: int
    cell: int
    availability: int
    size: float
    started_us: int


class Started(NamedTuple):
    """The instance has started; always its first event."""


class EndpointListUpdate(NamedTuple):
    """An update of the endpoint list (`kind` is a ListUpdateKind)."""

    kind: int
    endpoints: tuple[Endpoint, ...]


class Request(NamedTuple):
    """A client requests a session. The instance has to give it one final answer by `expires_us`.

    `load` is the client's load hint, or None. Endpoints drop repeated requests with the same
    `idempotency_key`, within the deduplication scope and window of the request's class. Sessions of one
    `affinity_group` (0 for none) share work if they are at the same endpoint. `is_retry` marks a retry by the
    client itself, `is_migrated` a request that follows the migration of its session, and `mid_flow` a request
    that continues a stream begun elsewhere.
    """

    id: int
    class_index: int
    expires_us: int
    load: float | None = None
    tenant: int = 0
    idempotency_key: int = 0
    affinity_group: int = 0
    is_retry: bool = False
    mid_flow: bool = False
    is_migrated: bool = False


class SessionAdopted(NamedTuple):
    """A session established before this instance started; its connection counts as attempt 0."""

    request: Request
    endpoint: EndpointId


class SessionEstablished(NamedTuple):
    """An attempt has established its session; from now on only AttemptEnded ends it."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    latency_us: int


class SessionReport(NamedTuple):
    """A measurement of an established session (`kind` is a SessionReportKind)."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    kind: int
    value: float


class AttemptEnded(NamedTuple):
    """An attempt has ended; `result` is an AttemptResult.

    `is_final` is true if the request needs no further answer. `load_report` holds the values of the
    endpoint's load report, if it sent one, in the order of the settings' `load_report_fields`.
    """

    request_id: int
    attempt: int
    endpoint: EndpointId
    result: int
    is_final: bool
    latency_us: int
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """A client has disconnected; its request needs no answer any more."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that the instance set with SetTimer has expired."""

    token: int


class HealthCheckEnded(NamedTuple):
    """A health check that StartHealthCheck asked for has ended.

    `result` is an AttemptResult. `load_report` has the same form as that of AttemptEnded.
    """

    endpoint: EndpointId
    result: int
    latency_us: int
    load_report: tuple[float, ...] = ()


class PeerMessageReceived(NamedTuple):
    """Another balancer has sent bytes."""

    peer: int
    data: bytes


Event = (
    Started
    | EndpointListUpdate
    | Request
    | SessionAdopted
    | SessionEstablished
    | SessionReport
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
)
"""Any event of a policy."""
