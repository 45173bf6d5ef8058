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

ServerId = Hashable

ALL_PEERS = 0xFFFFFFFF
"""As the peer of a Tell: every other instance."""


class Effect(IntEnum):
    """What a repeat of a request of a class would do."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class Scope(IntEnum):
    """Which servers drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Result(IntEnum):
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


class ListForm(IntEnum):
    """What kind of news of the list this is."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class NoteKind(IntEnum):
    """What a note on an open connection tells."""

    LOAD = 1
    DELAY = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str = ""
    aim_us: int = 500_000
    deadline_us: int = 2_000_000
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_us: int = 5_000_000
    worth: float = 1.0
    message_aim_us: float = 0.0


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
    probes: bool = True
    peers: bool = False
    cancel: bool = True
    retry_after: bool = False
    max_retry_after_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the four rules."""

    answer_slack_us: int = 20_000
    ask_within_us: int = 10_000_000
    cold_share: float = 0.3
    warm_after_us: int = 10_000_000
    drain_grace_us: int = 250_000
    fall_multiple: float = 2.5
    fall_after_us: int = 1_000_000


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
    rules: Rules = field(default_factory=Rules)
    ask_for_list: bool = False
    report_fields: tuple[str, ...] = ()
    pass_through: bool = False
    park_us: int = 0
    over_share_worth: float = 0.1
    worth_by_work: bool = False
    live_weights: bool = False  # a server's size falls with what it holds
    tick_us: int = 5_000

    def __post_init__(self) -> None:
        """Name what no deployment can mean."""
        checks = {
            "balancers": self.balancers >= 1,
            "classes": len(self.classes) >= 1,
            "tick_us": self.tick_us >= 1,
            "max_attempts": self.limits.max_attempts >= 1,
            "cold_share": 0 <= self.rules.cold_share <= 1,
            "fall_multiple": 0 < self.rules.fall_multiple < math.inf,
            "warm_after_us": self.rules.warm_after_us >= 0,
        }
        for cls in self.classes:
            checks[f"worth of class {cls.name!r}"] = math.isfinite(cls.worth)
        for name in self.prices.__slots__:
            checks[f"price of {name}"] = 0 <= getattr(self.prices, name) < math.inf
        for name, possible in checks.items():
            if not possible:
                raise ValueError(f"impossible setting: {name}")

    def class_of(self, request: Request) -> RequestClass:
        """The class of a request."""
        if not 0 <= request.cls < len(self.classes):
            raise ValueError(f"request {request.id} is of class {request.cls}, which the settings lack")
        return self.classes[request.cls]


class Server(NamedTuple):
    """One entry of the list of servers."""

    id: ServerId
    zone: int
    kind: int
    cell: int
    availability: int
    size: float
    started_us: int


# Events


class Started(NamedTuple):
    """The instance begins its life."""


class ServerList(NamedTuple):
    """News of the list of servers."""

    form: int
    servers: tuple[Server, ...]


class Request(NamedTuple):
    """A client wants a connection; the instance owes one final answer by expires_us."""

    id: int
    cls: int
    expires_us: int
    load: float | None = None
    tenant: int = 0
    key: int = 0
    group: int = 0
    repeated: bool = False
    mid_flow: bool = False
    returned: bool = False


class Adopted(NamedTuple):
    """A connection that was open at this instance's start; its attempt 0 counts as made."""

    request: Request
    server: ServerId


class Established(NamedTuple):
    """An attempt's connection is up; only an Outcome ends it now."""

    request: int
    attempt: int
    server: ServerId
    wait_us: int


class Note(NamedTuple):
    """News of an open connection: its load now, or how long messages take at its server (ms)."""

    request: int
    attempt: int
    server: ServerId
    kind: int
    value: float


class Outcome(NamedTuple):
    """An attempt has ended; complete when the request is finished with it or was before."""

    request: int
    attempt: int
    server: ServerId
    result: int
    complete: bool
    wait_us: int
    report: tuple[float, ...] = ()


class ClientGone(NamedTuple):
    """The client left; nothing is owed for the request any more."""

    request: int


class Timer(NamedTuple):
    """A timer that the instance set has come due."""

    token: int


class Probed(NamedTuple):
    """The result of one Probe."""

    server: ServerId
    result: int
    wait_us: int
    report: tuple[float, ...] = ()


class PeerMessage(NamedTuple):
    """Bytes from another instance."""

    peer: int
    data: bytes


Event = (
    Started
    | ServerList
    | Request
    | Adopted
    | Established
    | Note
    | Outcome
    | ClientGone
    | Timer
    | Probed
    | PeerMessage
)


# Actions


class Send(NamedTuple):
    """Begin an attempt of a request at a server; 0 leaves the time-out to the client's deadline."""

    request: int
    server: ServerId
    timeout_us: int


class Refuse(NamedTuple):
    """Final answer: refused, and harmless to try again (after retry_after_us, 0 for no advice)."""

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Final answer: failed; nothing is promised of its effect."""

    request: int


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    request: int
    attempt: int


class Move(NamedTuple):
    """End an open connection politely; its client comes again as a new request."""

    request: int


class SetTimer(NamedTuple):
    """Ask for a Timer event after delay_us."""

    delay_us: int
    token: int


class Probe(NamedTuple):
    """Ask a server for its health and load report."""

    server: ServerId


class CloseIdle(NamedTuple):
    """Close the idle connections to a server."""

    server: ServerId


class Tell(NamedTuple):
    """Send bytes to another instance, or to all."""

    peer: int
    data: bytes


class Watch(NamedTuple):
    """Ask for (or end) a subscription to changes of the list."""

    on: bool


class FetchList(NamedTuple):
    """Ask for the whole list once."""


class Log(NamedTuple):
    """A line for the host's log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Move | SetTimer | Probe | CloseIdle | Tell | Watch | FetchList | Log
