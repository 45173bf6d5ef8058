"""The settings of an instance: one parser for the simulator's text and the node's JSON."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple, TypeVar

from stepflow.interface import (
    DeduplicationScope,
    Idempotency,
    Limits,
    Prices,
    RequestClass,
    SafetyRules,
    Settings,
    Tenant,
)

T = TypeVar("T")

ABSENT = ("", "null")  # a setting without a value


class SettingsError(ValueError):
    """A setting that can't be read."""


_FIELD_NAMES = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}
CONNECT_TIMEOUT = timedelta(milliseconds=200)
IDLE_CLOSE = timedelta(seconds=15)
_EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.BY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class _Pairs:
    """The settings as pairs, read by path; each reader names the key it can't parse."""

    def __init__(self, pairs: Iterator[tuple[str, str]]) -> None:
        self.pairs = {key: value for key, value in pairs if value not in ABSENT}

    def number(self, key: str, default: float, low: float = 0.0) -> float:
        raw = self.pairs.get(key, "")
        if not raw:
            return default
        try:
            value = float(raw)
        except ValueError:
            raise SettingsError(f"setting {key}: {raw!r} is not a number") from None
        if not math.isfinite(value) or value < low:
            raise SettingsError(f"setting {key}: {raw!r} is out of range")
        return value

    def whole(self, key: str, default: int, low: int = 0) -> int:
        return int(self.number(key, default, low))

    def span(self, key: str, default: timedelta) -> timedelta:
        """A time in microseconds; 0 stands for none, hence the default."""
        return timedelta(microseconds=self.whole(key, 0)) or default

    def flag(self, key: str, default: bool) -> bool:
        raw = self.pairs.get(key, "")
        if raw not in ("", "true", "false"):
            raise SettingsError(f"setting {key}: {raw!r} is neither true nor false")
        return raw == "true" if raw else default

    def names(self, key: str) -> tuple[str, ...]:
        raw = self.pairs.get(key, "")
        return tuple(raw.split(",")) if raw else ()

    def numbers(self, key: str) -> tuple[float, ...]:
        try:
            return tuple(0.0 if item in ABSENT else float(item) for item in self.names(key))
        except ValueError:
            raise SettingsError(f"setting {key}: {self.pairs[key]!r} is not a list of numbers") from None

    def choice(self, key: str, default: T, table: dict[str, T]) -> T:
        raw = self.pairs.get(key, "")
        if raw and raw not in table:
            raise SettingsError(f"setting {key}: {raw!r} is not one of {', '.join(table)}")
        return table[raw] if raw else default


def parse_settings(text: str) -> Settings:
    """Turn the simulator's settings text into Settings."""
    return _settings(_Pairs(_lines(text)))


class NodeSettings(NamedTuple):
    """What the settings tell a real node: those of the module, and what the sockets need beside."""

    policy: Settings
    connect_timeout: timedelta
    idle_close: timedelta
    reports_load: bool = True  # whether peers tell loads, as `LOAD X`
    reports_delay: bool = False  # and how long messages take, in the same form


def parse_node_settings(tree: object) -> NodeSettings:
    """Turn the nested JSON of a node's configuration into its settings."""
    if not isinstance(tree, dict):
        raise SettingsError("the settings are not an object")
    read = _Pairs(_flatten("", tree))
    module = _settings(read)
    if len({cls.name for cls in module.classes}) < len(module.classes):
        raise SettingsError("two classes have one name")
    return NodeSettings(
        policy=module,
        connect_timeout=read.span("policy_limits.connect_timeout_us", CONNECT_TIMEOUT),
        idle_close=read.span("policy_limits.idle_close_us", IDLE_CLOSE),
        reports_load=read.flag("domain.tells_load", True),
        reports_delay=read.flag("domain.tells_delay", False),
    )


def merge_settings(before: Settings, told: Settings) -> Settings:
    """Settings told while requests are open: classes keep their numbers, and new or altered ones go behind.

    So do tenants, with the shares that are told now: one that is told no more has none. Zones and kinds stay,
    for the list of servers numbers them, and so does who asks for that list: a watch stands by it.
    """
    added = tuple(cls for cls in told.classes if cls not in before.classes)
    shares = {tenant.name: tenant for tenant in told.tenants}
    kept = tuple(shares.pop(tenant.name, replace(tenant, share=0.0)) for tenant in before.tenants)
    return replace(
        told,
        classes=before.classes + added,
        tenants=kept + tuple(shares.values()),
        zone=before.zone,
        zones=before.zones,
        kinds=before.kinds,
        polls_endpoint_list=before.polls_endpoint_list,
    )


def _lines(text: str) -> Iterator[tuple[str, str]]:
    """The pairs of the simulator's text, one a line."""
    for line in text.splitlines():
        key, equals, value = line.partition("=")
        if equals:
            yield key, value


def _flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """The pairs of nested JSON, in the form that the simulator's text has."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten(f"{path}.{key}" if path else key, inner)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for i, item in enumerate(value):
            yield from _flatten(f"{path}.{i}", item)
    elif isinstance(value, list):
        yield path, ",".join(map(_plain, value))
    else:
        yield path, _plain(value)


def _plain(value: object) -> str:
    """A single value as text; what parts values and names in a list can't stand inside one."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return value.replace(" ", "_").replace(",", "_") if isinstance(value, str) else str(value)


def _settings(read: _Pairs) -> Settings:
    """Settings from pairs; unknown keys are skipped, absent ones take defaults."""
    message_aims = read.numbers("domain.message_aim_us")
    classes = []
    for i in range(read.whole("classes.count", 0)):
        base, plain = f"classes.{i}.", RequestClass()
        classes.append(
            RequestClass(
                name=read.pairs.get(base + "name", str(i)),
                latency_objective_us=read.whole(base + "aim_us", plain.latency_objective_us),
                deadline_us=read.whole(base + "give_up_us", plain.deadline_us, 1),
                idempotency=read.choice(base + "effect", plain.idempotency, _EFFECTS),
                deduplication_scope=read.choice(base + "key_scope", plain.deduplication_scope, _SCOPES),
                deduplication_window_us=read.whole(base + "key_ttl_us", plain.deduplication_window_us),
                priority_weight=read.number(base + "credit", plain.priority_weight),
                message_latency_objective_us=message_aims[i] if i < len(message_aims) else 0.0,
            )
        )
    quotas = read.numbers("domain.tenant_quota_connections")
    tenants = tuple(
        Tenant(
            name=read.pairs.get(f"tenants.{i}.name", str(i)),
            share=read.number(f"tenants.{i}.fraction", 1.0),
            quota_per_s=read.number(f"tenants.{i}.quota_rps", 0.0),
            quota_connections=quotas[i] if i < len(quotas) else 0.0,
        )
        for i in range(read.whole("tenants.count", 0))
    )
    limits, rules = Limits(), SafetyRules()
    via = read.pairs.get("report.via", "none")
    return Settings(
        balancers=read.whole("group_size", 1, 1),
        position=read.whole("position", 0),
        zone=read.whole("zone", 0),
        zones=read.names("azs"),
        kinds=read.names("kinds"),
        classes=tuple(classes) or (RequestClass(),),
        tenants=tenants,
        prices=Prices(
            **{
                name: read.number(f"costs.{name}", 0.0)
                for name in ("cross_zone", "late_fail", "moves", "peer", "probe", "waste")
            }
        ),
        limits=Limits(
            max_attempts=read.whole("policy_limits.most_tries", limits.max_attempts, 1),
            health_checks=read.flag("policy_limits.probing", limits.health_checks),
            peer_messages=read.flag("policy_limits.peers", limits.peer_messages),
            cancellation=read.flag("policy_limits.cancel", limits.cancellation),
            retry_after=read.flag("policy_limits.retry_after", limits.retry_after),
            max_retry_after_us=read.whole("policy_limits.max_retry_after_us", limits.max_retry_after_us),
        ),
        rules=SafetyRules(
            answer_slack_us=read.whole("safety.answer_slack_us", rules.answer_slack_us),
            list_refresh_us=read.whole("safety.ask_within_us", rules.list_refresh_us),
            slow_start_share=read.number("safety.cold_share", rules.slow_start_share),
            slow_start_us=read.whole("safety.warm_after_us", rules.slow_start_us),
            drain_grace_us=read.whole("safety.drain_grace_us", rules.drain_grace_us),
            overload_multiple=read.number("safety.fall_multiple", rules.overload_multiple),
            overload_after_us=read.whole("safety.overload_for_us", rules.overload_after_us),
        ),
        polls_endpoint_list=read.pairs.get("discovery", "pushed") == "on_request",
        load_report_fields=tuple(
            _FIELD_NAMES.get(name, name) for name in read.names("report.fields") if via != "none"
        ),
        pass_through=read.pairs.get("domain.mode", "proxy") == "pass",
        park_us=read.whole("domain.park_us", 0),
        over_share_weight=read.number("over_share_worth", 0.1),
        live_weights=read.pairs.get("weights", "none") == "live",
        weight_by_work=read.pairs.get("worth_by", "request") == "work",
        tick_us=read.whole("tick_us", 5_000),
    )
