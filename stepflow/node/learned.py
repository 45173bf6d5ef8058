"""What the decision module has learned, in a form that a successor can take over."""

from __future__ import annotations

from typing import Any

from stepflow.policy import Policy

# Of each server: its cost and when that was learned, and what the weights' controller holds.
_SERVER = ("cost", "seen_us", "health", "weight", "error_sum", "last_error")
_POLICY = ("wait_us", "probe_wait_us")
# The name "cost_in_means" tells the unit of all costs: a process that counts in another can't read these.


def learned(policy: Policy) -> dict[str, Any]:
    """All of it, as JSON can hold it; classes go by name, for the two processes may number them apart."""
    model = policy.model
    names = [cls.name for cls in policy.settings.classes]
    return {
        "loads_told": model.loads.count,
        "mean_load": model.loads.mean,
        "class_load": {names[cls]: load for cls, load in model.loads.by_class.items()},
        "cost_in_means": {str(kind): cost for kind, cost in model.kind_cost.items()},
        "servers": {str(s.id): {name: getattr(s, name) for name in _SERVER} for s in model.servers.values()},
        **{name: getattr(policy, name) for name in _POLICY},
    }


def recall(policy: Policy, told: dict[str, Any]) -> None:
    """Take it over, once the list is there; raises before anything is changed where it can't be read."""
    model = policy.model
    numbers = {cls.name: i for i, cls in enumerate(policy.settings.classes)}
    loads = {numbers[name]: float(load) for name, load in told["class_load"].items() if name in numbers}
    kinds = {int(kind): float(cost) for kind, cost in told["cost_in_means"].items()}
    rows = {
        id: {name: type_(row[name]) for name, type_ in _TYPES.items()} for id, row in told["servers"].items()
    }
    plain = {name: float(told[name]) for name in _POLICY}
    model.loads.count, model.loads.mean = int(told["loads_told"]), float(told["mean_load"])
    model.loads.by_class.update(loads)
    model.kind_cost.update(kinds)
    for server in model.servers.values():
        for name, value in rows.get(str(server.id), {}).items():
            setattr(server, name, value)
    for name, value in plain.items():
        setattr(policy, name, value)
    # What follows from these changes at once: a cost in one unit times a load in another refuses everybody.
    model.predict(list(model.servers.values()), 0.0)
    policy.controller.tabulate(policy.now)


_TYPES = {name: int if name == "seen_us" else float for name in _SERVER}
