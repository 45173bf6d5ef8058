"""What the decision module has learned, in a form that a successor can take over."""

from __future__ import annotations

from typing import Any

from stepflow.policy import EndpointState, Policy

NEVER = -1  # the age of a report that has not come

# Of each server: its cost, and what the weights' controller holds.
_SERVER = ("cost", "health", "weight", "error_sum", "last_error")
_AGE = "report_age_us"  # since its last report; the two processes may count moments from different ones
_POLICY = ("wait_us", "probe_wait_us")
# The name "cost_in_means" tells the unit of all costs: a process that counts in another can't read these.


def take_snapshot(policy: Policy, now_us: int) -> dict[str, Any]:
    """All of it, as JSON can hold it; classes go by name, for the two processes may number them apart."""
    model = policy.model
    names = [cls.name for cls in policy.settings.classes]
    return {
        "loads_told": model.loads.count,
        "mean_load": model.loads.mean,
        "class_load": {names[cls]: load for cls, load in model.loads.by_class.items()},
        "cost_in_means": {str(kind): cost for kind, cost in model.kind_cost.items()},
        "servers": {str(server.id): _row(server, now_us) for server in model.endpoints.values()},
        **{name: getattr(policy, name) for name in _POLICY},
    }


def _row(server: EndpointState, now_us: int) -> dict[str, float]:
    age = now_us - server.seen_us if server.seen_us else NEVER
    return {**{name: getattr(server, name) for name in _SERVER}, _AGE: age}


def restore_snapshot(policy: Policy, told: dict[str, Any], now_us: int) -> None:
    """Take it over, once the list is there; raises before anything is changed where it can't be read."""
    model = policy.model
    numbers = {cls.name: i for i, cls in enumerate(policy.settings.classes)}
    loads = {numbers[name]: float(load) for name, load in told["class_load"].items() if name in numbers}
    kinds = {int(kind): float(cost) for kind, cost in told["cost_in_means"].items()}
    rows = {
        id: ({name: float(row[name]) for name in _SERVER}, int(row[_AGE]))
        for id, row in told["servers"].items()
    }
    plain = {name: float(told[name]) for name in _POLICY}
    model.loads.count, model.loads.mean = int(told["loads_told"]), float(told["mean_load"])
    model.loads.by_class.update(loads)
    model.kind_cost.update(kinds)
    for server in model.endpoints.values():
        if (row := rows.get(str(server.id))) is None:
            continue
        values, age = row
        for name, value in values.items():
            setattr(server, name, value)
        server.seen_us = max(0, now_us - max(0, age)) if age != NEVER else 0
    for name, value in plain.items():
        setattr(policy, name, value)
    # What follows from these changes at once: a cost in one unit times a load in another refuses everybody.
    model.predict(list(model.endpoints.values()), 0.0)
    policy.controller.tabulate(policy.now)
