"""The model of load: session loads that are reported or estimated, times a cost learned for each endpoint.

An endpoint's load is predicted as `balancers * cost * (own session load + pseudo load)`: all instances are
held to have as much there as this one. Costs are learned from load reports, and fall back to the mean of the
endpoint's machine kind as its last report ages. Session loads are counted in mean sessions, so that a cost
does not depend on the unit of the hints.

Source: "EdgeBalance", as docs/design.md describes it. Units: predicted loads are those of the load report's
field; with `x0` and `util` they are shares of capacity.
"""

from __future__ import annotations

import math

from stepflow.estimates.loads import LoadEstimate
from stepflow.interface import EndpointId, Settings
from stepflow.policy.state import EndpointState

REPORT_WEIGHT = 0.4  # share of a new report in the learned cost, at the least
REPORT_MEMORY_US = 2_000_000  # a report that follows after this counts for two thirds more
KIND_REPORT_WEIGHT = 0.15  # share of a new report in the cost of its machine kind
REPORT_AGE_TICKS = 2  # so many ticks ago is what a load report speaks of
COST_MEMORY_S = 10.0  # a cost returns to its kind's in this time
MIN_PSEUDO_SESSIONS = 4.0  # pseudo load of an endpoint, if the mean of own loads is not more
UNREPORTED_LOAD = 0.5  # predicted load of an endpoint while there is no report at all
REPORT_FIELDS = ("x0", "util", "inflight", "queue")  # those that tell load, the best one first
UTILIZATION_FIELDS = ("x0", "util")  # of them, those that tell it as a share of capacity


class LoadModel:
    """Predicted load and learned cost of every endpoint. Owns the endpoints' states."""

    def __init__(self, settings: Settings) -> None:
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.kind_cost: dict[int, float] = {}
        self.kind_size: dict[int, float] = {}  # the largest seen, where weights are live
        self.loads = LoadEstimate()
        self.own_load = 0.0  # sum of the loads of all own sessions
        self.mean_kind_cost = 0.0
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Take settings, at the start or later."""
        self.settings, fields = settings, settings.load_report_fields
        known = [fields.index(name) for name in REPORT_FIELDS if name in fields]
        self.report_index = known[0] if known else -1
        self.reports_utilization = any(name in fields for name in UTILIZATION_FIELDS)

    def resolve_load(self, load: float | None, class_index: int) -> float:
        """The load of a session; the first reported one shows the unit of what was counted before."""
        load, scale = self.loads.resolve(load, class_index)
        if scale != 1.0:
            self.own_load *= scale
            for endpoint in self.endpoints.values():
                endpoint.scale_load(scale)
        return load

    def pseudo_load(self) -> float:
        """Load added to every own one: where that is next to nothing, a cost learned from it explodes."""
        return max(self.loads.in_sessions(self.own_load) / max(1, len(self.endpoints)), MIN_PSEUDO_SESSIONS)

    def learn(self, now: int, endpoint: EndpointState, report: tuple[float, ...]) -> None:
        """Learn the cost from one load report, in full after a long gap; impossible values are dropped."""
        value = report[self.report_index] if 0 <= self.report_index < len(report) else -1.0
        if not math.isfinite(value) or value < 0:
            return
        pseudo, balancers = self.pseudo_load() * endpoint.relative_size, self.settings.balancers
        # A report speaks of a moment ago: what came since does not show in it.
        load_then = endpoint.load_history[0] if endpoint.load_history else endpoint.load
        cost = value / (balancers * (self.loads.in_sessions(load_then) + pseudo))
        kept = 0.0
        if endpoint.reported_us:
            kept = (1 - REPORT_WEIGHT) * math.exp((endpoint.reported_us - now) / REPORT_MEMORY_US)
        endpoint.cost = kept * endpoint.cost + (1 - kept) * cost
        endpoint.reported_us, endpoint.placed_load = now, 0.0
        endpoint.predicted_load = endpoint.cost * balancers * (self.loads.in_sessions(endpoint.load) + pseudo)
        kind_cost = self.kind_cost.setdefault(endpoint.kind, cost)
        self.kind_cost[endpoint.kind] = kind_cost + KIND_REPORT_WEIGHT * (cost - kind_cost)

    def predict(self, endpoints: list[EndpointState], seconds: float) -> None:
        """Predict the load of some endpoints, after so much time; costs return to their kinds'."""
        pseudo, balancers = self.pseudo_load(), self.settings.balancers
        if self.settings.live_weights:
            self._replace_live_sizes(endpoints)
        mean_size = sum(endpoint.size for endpoint in endpoints) / max(1, len(endpoints))
        costs = self.kind_cost.values() or (UNREPORTED_LOAD / (balancers * pseudo),)
        self.mean_kind_cost = sum(costs) / len(costs)
        aged_share = min(1.0, seconds / COST_MEMORY_S)
        for endpoint in endpoints:
            endpoint.relative_size = endpoint.size / mean_size
            usual = self.kind_cost.get(endpoint.kind, self.mean_kind_cost * mean_size / endpoint.size)
            if endpoint.reported_us:
                endpoint.cost += aged_share * (usual - endpoint.cost)
            else:
                endpoint.cost = usual
            endpoint.predicted_load = (
                balancers
                * endpoint.cost
                * (self.loads.in_sessions(endpoint.load) + pseudo * endpoint.relative_size)
            )
            endpoint.placed_load = 0.0

    def record_load_history(self) -> None:
        """Keep the own loads of the last ticks, for the reports that come later."""
        for endpoint in self.endpoints.values():
            endpoint.load_history = [*endpoint.load_history[1 - REPORT_AGE_TICKS :], endpoint.load]

    def count_placed(self, endpoint: EndpointState, session_load: float) -> None:
        """Count a session that was just placed, as if every instance had placed one like it."""
        sessions = self.loads.in_sessions(session_load)
        endpoint.placed_load += self.settings.balancers * endpoint.cost * sessions

    def raise_prediction(self, endpoint: EndpointState, load: float) -> None:
        """Predict at least this load for an endpoint, until the next step or report."""
        endpoint.predicted_load = max(endpoint.predicted_load, load)

    def _replace_live_sizes(self, endpoints: list[EndpointState]) -> None:
        """Take the largest size of its kind for each: a live one falls with what the endpoint holds."""
        for endpoint in endpoints:
            self.kind_size[endpoint.kind] = max(self.kind_size.get(endpoint.kind, 0.0), endpoint.size)
        for endpoint in endpoints:
            endpoint.size = self.kind_size[endpoint.kind]
