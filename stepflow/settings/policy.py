"""Reads the policy's settings by key (docs/settings.md), and merges changed settings into current ones.

Unknown keys are ignored; absent keys take the defaults of `stepflow.interface`.
"""

from __future__ import annotations

from dataclasses import replace

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
from stepflow.settings.reader import SettingsReader

_DEFAULT_OVER_SHARE_WEIGHT = 0.1
_DEFAULT_TICK_US = 5_000

# Fields of load reports that have another name in the settings than on the wire.
_WIRE_NAME_OF_FIELD = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}
_IDEMPOTENCY_OF_EFFECT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.BY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def read_policy_settings(reader: SettingsReader) -> Settings:
    """Return the policy's settings.

    Raises:
        SettingsError: A value has the wrong type or is out of range.
    """
    return Settings(
        classes=_read_classes(reader) or (RequestClass(),),
        tenants=_read_tenants(reader),
        balancers=reader.integer("group_size", 1, 1),
        position=reader.integer("position", 0),
        zone=reader.integer("zone", 0),
        zones=reader.names("azs"),
        kinds=reader.names("kinds"),
        prices=_read_prices(reader),
        limits=_read_limits(reader),
        rules=_read_safety_rules(reader),
        polls_endpoint_list=reader.text("discovery", "pushed") == "on_request",
        load_report_fields=_read_load_report_fields(reader),
        pass_through=reader.text("domain.mode", "proxy") == "pass",
        park_us=reader.integer("domain.park_us", 0),
        over_share_weight=reader.number("over_share_worth", _DEFAULT_OVER_SHARE_WEIGHT),
        live_weights=reader.text("weights", "none") == "live",
        weight_by_work=reader.text("worth_by", "request") == "work",
        tick_us=reader.integer("tick_us", _DEFAULT_TICK_US),
    )


def merge_settings(current: Settings, new: Settings) -> Settings:
    """Return the new settings, adapted to the requests that are open under the current ones.

    Open requests refer to classes and tenants by index, so all current classes and tenants keep their index:
    new and changed classes are appended, and a tenant that is no longer listed gets a share of 0. The zone,
    the zones and the kinds stay, because the endpoint list refers to them by index. `polls_endpoint_list`
    stays too, because a watch of the endpoint list depends on it.
    """
    added_classes = tuple(cls for cls in new.classes if cls not in current.classes)
    new_tenants = {tenant.name: tenant for tenant in new.tenants}
    known_tenants = tuple(
        new_tenants.pop(tenant.name, replace(tenant, share=0.0)) for tenant in current.tenants
    )
    return replace(
        new,
        classes=current.classes + added_classes,
        tenants=known_tenants + tuple(new_tenants.values()),
        zone=current.zone,
        zones=current.zones,
        kinds=current.kinds,
        polls_endpoint_list=current.polls_endpoint_list,
    )


def _read_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    message_objectives = reader.numbers("domain.message_aim_us")
    return tuple(
        _read_class(reader, index, message_objectives[index] if index < len(message_objectives) else 0.0)
        for index in range(reader.integer("classes.count", 0))
    )


def _read_class(reader: SettingsReader, index: int, message_objective_us: float) -> RequestClass:
    key = f"classes.{index}."
    default = RequestClass()
    return RequestClass(
        name=reader.text(key + "name", str(index)),
        latency_objective_us=reader.integer(key + "aim_us", default.latency_objective_us),
        deadline_us=reader.integer(key + "give_up_us", default.deadline_us, 1),
        idempotency=reader.choice(key + "effect", default.idempotency, _IDEMPOTENCY_OF_EFFECT),
        deduplication_scope=reader.choice(
            key + "key_scope", default.deduplication_scope, _DEDUPLICATION_SCOPES
        ),
        deduplication_window_us=reader.integer(key + "key_ttl_us", default.deduplication_window_us),
        priority_weight=reader.number(key + "credit", default.priority_weight),
        message_latency_objective_us=message_objective_us,
    )


def _read_tenants(reader: SettingsReader) -> tuple[Tenant, ...]:
    quotas = reader.numbers("domain.tenant_quota_connections")
    return tuple(
        Tenant(
            name=reader.text(f"tenants.{index}.name", str(index)),
            share=reader.number(f"tenants.{index}.fraction", 1.0),
            quota_per_s=reader.number(f"tenants.{index}.quota_rps", 0.0),
            quota_connections=quotas[index] if index < len(quotas) else 0.0,
        )
        for index in range(reader.integer("tenants.count", 0))
    )


def _read_prices(reader: SettingsReader) -> Prices:
    return Prices(
        cross_zone=reader.number("costs.cross_zone", 0.0),
        late_fail=reader.number("costs.late_fail", 0.0),
        moves=reader.number("costs.moves", 0.0),
        peer=reader.number("costs.peer", 0.0),
        probe=reader.number("costs.probe", 0.0),
        waste=reader.number("costs.waste", 0.0),
    )


def _read_limits(reader: SettingsReader) -> Limits:
    default = Limits()
    return Limits(
        max_attempts=reader.integer("policy_limits.most_tries", default.max_attempts, 1),
        health_checks=reader.flag("policy_limits.probing", default.health_checks),
        peer_messages=reader.flag("policy_limits.peers", default.peer_messages),
        cancellation=reader.flag("policy_limits.cancel", default.cancellation),
        retry_after=reader.flag("policy_limits.retry_after", default.retry_after),
        max_retry_after_us=reader.integer("policy_limits.max_retry_after_us", default.max_retry_after_us),
    )


def _read_safety_rules(reader: SettingsReader) -> SafetyRules:
    default = SafetyRules()
    return SafetyRules(
        answer_slack_us=reader.integer("safety.answer_slack_us", default.answer_slack_us),
        list_refresh_us=reader.integer("safety.ask_within_us", default.list_refresh_us),
        slow_start_share=reader.number("safety.cold_share", default.slow_start_share),
        slow_start_us=reader.integer("safety.warm_after_us", default.slow_start_us),
        drain_grace_us=reader.integer("safety.drain_grace_us", default.drain_grace_us),
        overload_multiple=reader.number("safety.fall_multiple", default.overload_multiple),
        overload_after_us=reader.integer("safety.overload_for_us", default.overload_after_us),
    )


def _read_load_report_fields(reader: SettingsReader) -> tuple[str, ...]:
    """Return the wire names of the load report's fields; an empty tuple if endpoints send no reports."""
    if reader.text("report.via", "none") == "none":
        return ()
    return tuple(_WIRE_NAME_OF_FIELD.get(name, name) for name in reader.names("report.fields"))
