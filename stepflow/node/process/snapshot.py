"""Takes a snapshot of what the policy has learned, and restores it in a successor.

Responsible for the conversion between a policy and a `Snapshot`, both ways; handover_messages.py defines the
stored format. Owns nothing. Points in time are microseconds of the process's clock; a snapshot holds ages
instead, since the clocks of two processes may have started at different times.
"""

from __future__ import annotations

from stepflow.node.process.handover_messages import REPORT_NEVER_CAME, EndpointSnapshot, Snapshot
from stepflow.policy import EndpointState, Policy


def take_snapshot(policy: Policy, now_us: int) -> Snapshot:
    """Return a snapshot of everything that a successor can take over."""
    model = policy.model
    class_names = [request_class.name for request_class in policy.settings.classes]
    return Snapshot(
        loads_counted=model.loads.count,
        mean_load=model.loads.mean,
        class_loads={class_names[index]: load for index, load in model.loads.by_class.items()},
        kind_costs=dict(model.kind_costs),
        endpoints={
            str(endpoint.id): _take_endpoint(endpoint, now_us) for endpoint in model.endpoints.values()
        },
        attempt_latency_us=policy.attempt_latency_us,
        check_latency_us=policy.check_latency_us,
    )


def restore_snapshot(policy: Policy, snapshot: Snapshot, now_us: int) -> None:
    """Apply the snapshot of another process; the policy must have its endpoint list by then.

    Classes and endpoints that this process doesn't know are ignored.
    """
    model = policy.model
    class_indexes = {request_class.name: i for i, request_class in enumerate(policy.settings.classes)}
    model.loads.count, model.loads.mean = snapshot.loads_counted, snapshot.mean_load
    model.loads.by_class.update(
        {class_indexes[name]: load for name, load in snapshot.class_loads.items() if name in class_indexes}
    )
    model.kind_costs.update(snapshot.kind_costs)
    for endpoint in model.endpoints.values():
        if (learned := snapshot.endpoints.get(str(endpoint.id))) is not None:
            _restore_endpoint(endpoint, learned, now_us)
    policy.attempt_latency_us, policy.check_latency_us = (
        snapshot.attempt_latency_us,
        snapshot.check_latency_us,
    )
    # Predictions and weights are recomputed at once: a cost in one unit times a load in another would reject
    # every request.
    model.predict(list(model.endpoints.values()), 0.0)
    policy.weights.rebuild_draw_table(policy.now_us)


def _take_endpoint(endpoint: EndpointState, now_us: int) -> EndpointSnapshot:
    return EndpointSnapshot(
        cost=endpoint.cost,
        health=endpoint.health,
        weight=endpoint.weight,
        error_sum=endpoint.error_sum,
        last_error=endpoint.last_error,
        report_age_us=now_us - endpoint.reported_us if endpoint.reported_us else REPORT_NEVER_CAME,
    )


def _restore_endpoint(endpoint: EndpointState, learned: EndpointSnapshot, now_us: int) -> None:
    endpoint.cost = learned.cost
    endpoint.health = learned.health
    endpoint.weight = learned.weight
    endpoint.error_sum = learned.error_sum
    endpoint.last_error = learned.last_error
    if learned.report_age_us == REPORT_NEVER_CAME:
        endpoint.reported_us = 0
    else:
        endpoint.reported_us = max(0, now_us - max(0, learned.report_age_us))
