"""Events: what the host tells the policy, one at a time.

An event states a fact that has happened. Its order of fields is part of the simulator's wire and of recorded
journals, so fields are only ever added at the end.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

EndpointId = Hashable
"""The opaque identity of an endpoint: the host chooses its type."""

ALL_PEERS = 0xFFFFFFFF
"""The address of a peer message that goes to every other balancer."""


class AttemptResult(IntEnum):
    """How an attempt or a health check ended. The names stand in traces and logs."""

    OK = 0
    """Served to its end."""
    ERROR = 1
    """The endpoint answered with an error."""
    FULL = 2
    """The endpoint rejected it for want of capacity; it did not run."""
    TIMEOUT = 3
    """No answer within the attempt's timeout; it may have run."""
    CONNECT_FAILED = 4
    """No connection came up; it did not run."""
    RESET = 5
    """The connection broke; it may have run."""
    CANCELLED = 6
    """The host gave it up at the policy's word or because its client left."""
    NOT_SENT = 7
    """Ended before its request line was written; it did not run."""


class Availability(IntEnum):
    """What the endpoint list says of an endpoint's process."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListUpdateKind(IntEnum):
    """What an update of the endpoint list holds. The names stand in traces."""

    DELTA = 0
    """Only entries that changed."""
    FULL = 1
    """All entries; what is missing has been removed."""
    CACHED = 2
    """All entries as last known to the host before its start."""
    FAILED = 3
    """None: the poll or watch failed."""


class SessionReportKind(IntEnum):
    """What a report on an established session measures. The names stand in traces."""

    LOAD = 1
    """The session's load now."""
    DELAY = 2
    """How long messages take at its endpoint, in milliseconds."""


class Endpoint(NamedTuple):
    """One entry of the endpoint list.

    `size` is its capacity relative to other endpoints. `started_us` is when its process started, on the
    host's clock, or 0 where that is unknown; it decides the endpoint's slow start.
    """

    id: EndpointId
    zone: int
    kind: int
    cell: int
    availability: int
    size: float
    started_us: int


class Started(NamedTuple):
    """The instance starts: the first event of all."""


class EndpointListUpdate(NamedTuple):
    """An update of the endpoint list (`kind` is a ListUpdateKind)."""

    kind: int
    endpoints: tuple[Endpoint, ...]


class Request(NamedTuple):
    """A client asks for a session. The instance owes it one final answer by `expires_us`.

    `load` is the client's hint, or None. `idempotency_key` lets endpoints drop repeats, within the class's
    scope and window. Sessions of one `affinity_group` (0 for none) share work at the endpoint that holds
    them. `is_retry` marks a client's own retry of an earlier request, `is_migrated` one that comes back after
    its session was migrated, `mid_flow` one that continues a stream already begun elsewhere.
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
    """A session that was established before this instance started; its attempt 0 counts as made."""

    request: Request
    endpoint: EndpointId


class SessionEstablished(NamedTuple):
    """An attempt's connection is up; from now on only AttemptEnded ends it."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    latency_us: int


class SessionReport(NamedTuple):
    """A measurement on an established session (`kind` is a SessionReportKind)."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    kind: int
    value: float


class AttemptEnded(NamedTuple):
    """An attempt has ended with an AttemptResult; `is_final` once the request needs no further answer.

    `load_report` holds the endpoint's figures in the order of the settings' `load_report_fields`, if it sent
    any.
    """

    request_id: int
    attempt: int
    endpoint: EndpointId
    result: int
    is_final: bool
    latency_us: int
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client left; its request is owed nothing more."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that the instance set by SetTimer has expired."""

    token: int


class HealthCheckEnded(NamedTuple):
    """The result of one StartHealthCheck, with the endpoint's load report if it sent one."""

    endpoint: EndpointId
    result: int
    latency_us: int
    load_report: tuple[float, ...] = ()


class PeerMessageReceived(NamedTuple):
    """Bytes from another balancer."""

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
"""Whatever a policy can be told."""
