"""The types that the decision module speaks: settings, events and actions.

Times are whole microseconds on a clock of the host's choice; it may only move forward.
Loads are work per second in the unit of the hint (microseconds of a standard core).
Server ids are opaque: the module only compares them and hands them back.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

EndpointId = Hashable

ALL_PEERS = 0xFFFFFFFF
"""As the peer of a Tell: every other instance."""


class Idempotency(IntEnum):
    """What a repeat of a request of a class would do."""

    IDEMPOTENT = 0
    BY_KEY = 1
    NOT_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which servers drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class AttemptResult(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class Availability(IntEnum):
    """What the list says of a server's process."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListUpdateKind(IntEnum):
    """What kind of news of the list this is."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class SessionReportKind(IntEnum):
    """What a note on an open connection tells."""

    LOAD = 1
    LATENCY = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str = ""
    latency_objective_us: int = 500_000
    deadline_us: int = 2_000_000
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 5_000_000
    priority_weight: float = 1.0
    message_latency_objective_us: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its share of the service."""

    name: str = ""
    share: float = 1.0
    quota_per_s: float = 0.0
    quota_connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, each times its rate or share."""

    cross_zone: float = 0.0
    late_fail: float = 0.0
    moves: float = 0.0
    peer: float = 0.0
    probe: float = 0.0
    waste: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    max_attempts: int = 3
    health_checks: bool = True
    peer_messages: bool = False
    cancellation: bool = True
    retry_after: bool = False
    max_retry_after_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """The figures of the four rules."""

    answer_slack_us: int = 20_000
    list_refresh_us: int = 10_000_000
    slow_start_share: float = 0.3
    slow_start_us: int = 10_000_000
    drain_grace_us: int = 250_000
    overload_multiple: float = 2.5
    overload_after_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start; every field has a default."""

    balancers: int = 1
    position: int = 0
    zone: int = 0
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)
    limits: Limits = field(default_factory=Limits)
    rules: SafetyRules = field(default_factory=SafetyRules)
    polls_endpoint_list: bool = False
    load_report_fields: tuple[str, ...] = ()
    pass_through: bool = False
    park_us: int = 0
    over_share_weight: float = 0.1
    weight_by_work: bool = False
    live_weights: bool = False  # a server's size falls with what it holds
    tick_us: int = 5_000

    def __post_init__(self) -> None:
        """Name what no deployment can mean."""
        checks = {
            "balancers": self.balancers >= 1,
            "classes": len(self.classes) >= 1,
            "tick_us": self.tick_us >= 1,
            "max_attempts": self.limits.max_attempts >= 1,
            "cold_share": 0 <= self.rules.slow_start_share <= 1,
            "fall_multiple": 0 < self.rules.overload_multiple < math.inf,
            "warm_after_us": self.rules.slow_start_us >= 0,
        }
        for cls in self.classes:
            checks[f"worth of class {cls.name!r}"] = math.isfinite(cls.priority_weight)
        for name in self.prices.__slots__:
            checks[f"price of {name}"] = 0 <= getattr(self.prices, name) < math.inf
        for name, possible in checks.items():
            if not possible:
                raise ValueError(f"impossible setting: {name}")

    def class_of(self, request: Request) -> RequestClass:
        """The class of a request."""
        if not 0 <= request.class_index < len(self.classes):
            raise ValueError(
                f"request {request.id} is of class {request.class_index}, which the settings lack"
            )
        return self.classes[request.class_index]


class Endpoint(NamedTuple):
    """One entry of the list of servers."""

    id: EndpointId
    zone: int
    kind: int
    cell: int
    availability: int
    size: float
    started_us: int


# Events


class Started(NamedTuple):
    """The instance begins its life."""


class EndpointListUpdate(NamedTuple):
    """News of the list of servers."""

    kind: int
    endpoints: tuple[Endpoint, ...]


class Request(NamedTuple):
    """A client wants a connection; the instance owes one final answer by expires_us."""

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
    """A connection that was open at this instance's start; its attempt 0 counts as made."""

    request: Request
    endpoint: EndpointId


class SessionEstablished(NamedTuple):
    """An attempt's connection is up; only an Outcome ends it now."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    latency_us: int


class SessionReport(NamedTuple):
    """News of an open connection: its load now, or how long messages take at its server (ms)."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    kind: int
    value: float


class AttemptEnded(NamedTuple):
    """An attempt has ended; complete when the request is finished with it or was before."""

    request_id: int
    attempt: int
    endpoint: EndpointId
    result: int
    is_final: bool
    latency_us: int
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client left; nothing is owed for the request any more."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that the instance set has come due."""

    token: int


class HealthCheckEnded(NamedTuple):
    """The result of one Probe."""

    endpoint: EndpointId
    result: int
    latency_us: int
    load_report: tuple[float, ...] = ()


class PeerMessageReceived(NamedTuple):
    """Bytes from another instance."""

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


# Actions


class StartAttempt(NamedTuple):
    """Begin an attempt of a request at a server; 0 leaves the time-out to the client's deadline."""

    request_id: int
    endpoint: EndpointId
    timeout_us: int


class RejectRequest(NamedTuple):
    """Final answer: refused, and harmless to try again (after retry_after_us, 0 for no advice)."""

    request_id: int
    retry_after_us: int = 0


class FailRequest(NamedTuple):
    """Final answer: failed; nothing is promised of its effect."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


class MigrateSession(NamedTuple):
    """End an open connection politely; its client comes again as a new request."""

    request_id: int


class SetTimer(NamedTuple):
    """Ask for a Timer event after delay_us."""

    delay_us: int
    token: int


class StartHealthCheck(NamedTuple):
    """Ask a server for its health and load report."""

    endpoint: EndpointId


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to a server."""

    endpoint: EndpointId


class SendPeerMessage(NamedTuple):
    """Send bytes to another instance, or to all."""

    peer: int
    data: bytes


class WatchEndpointList(NamedTuple):
    """Ask for (or end) a subscription to changes of the list."""

    enabled: bool


class FetchEndpointList(NamedTuple):
    """Ask for the whole list once."""


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
