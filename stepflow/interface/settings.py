"""Settings that an instance of the policy gets at its start and at a reload.

`stepflow.settings` parses them from the simulator's text or a node's JSON; docs/settings.md lists their
keys. Every field has a default, and an impossible value raises ValueError.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from stepflow.interface.events import Request


class Idempotency(IntEnum):
    """The rule for sending a request again that may already have run."""

    IDEMPOTENT = 0
    """It may be sent again: a repeat has no further effect."""
    BY_KEY = 1
    """It may be sent again only to endpoints that drop repeats by its idempotency key."""
    NOT_IDEMPOTENT = 2
    """It may not be sent again: a repeat would take effect a second time."""


class DeduplicationScope(IntEnum):
    """The endpoints that share the idempotency keys they have seen."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Endpoints drop requests that repeat an idempotency key for `deduplication_window_us`. `priority_weight` is
    the value of serving one request, relative to other classes. A `message_latency_objective_us` of 0 sets no
    objective.
    """

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
    """One tenant, with its share of the service and its quotas (0 for no quota)."""

    name: str = ""
    share: float = 1.0
    quota_per_s: float = 0.0
    quota_connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """The operators' prices, in points of the result for each unit of rate or share."""

    cross_zone: float = 0.0
    late_fail: float = 0.0
    moves: float = 0.0
    peer: float = 0.0
    probe: float = 0.0
    waste: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """The attempts and actions that the deployment permits."""

    max_attempts: int = 3
    health_checks: bool = True
    peer_messages: bool = False
    cancellation: bool = True
    retry_after: bool = False
    max_retry_after_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """The parameters of the operators' safety rules.

    An endpoint that has just started has `slow_start_share` of its capacity, and all of it `slow_start_us`
    later. It crashes once its load has been `overload_multiple` times that capacity for `overload_after_us`.
    The endpoint list has to be polled at least every `list_refresh_us`. Nothing may be sent to an endpoint
    later than `drain_grace_us` after it began to drain.
    """

    answer_slack_us: int = 20_000
    list_refresh_us: int = 10_000_000
    slow_start_share: float = 0.3
    slow_start_us: int = 10_000_000
    drain_grace_us: int = 250_000
    overload_multiple: float = 2.5
    overload_after_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance.

    `balancers` is the number of balancers that share the endpoints, `position` this balancer's index among
    them. With `polls_endpoint_list` the instance has to poll the endpoint list; otherwise list updates are
    pushed to it. With `live_weights` an endpoint's `size` falls as its load rises.
    """

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
    live_weights: bool = False
    tick_us: int = 5_000

    def __post_init__(self) -> None:
        """Raise ValueError, which names the setting, if a value is impossible in any deployment."""
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
                raise ValueError(f"setting out of range: {name}")

    def class_of(self, request: Request) -> RequestClass:
        """Return the class of a request.

        Raises:
            ValueError: The settings define no class of that index.
        """
        if not 0 <= request.class_index < len(self.classes):
            raise ValueError(
                f"request {request.id} is of class {request.class_index}, which the settings lack"
            )
        return self.classes[request.class_index]
