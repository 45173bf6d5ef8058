"""The load model: session loads, reported or estimated, times a cost learned for each endpoint.

The predicted load of an endpoint is `balancers * cost * (own session load + pseudo load)`, which assumes that
all instances have the same load at the endpoint. Costs are learned from load reports and return to the mean
of the endpoint's machine kind as the last report ages. Session loads are counted in mean sessions, so that a
cost does not depend on the unit of the hints.

Source: "EdgeBalance", as docs/design.md describes it. Units: predicted loads are in the unit of the load
report's field; with `x0` and `util` they are shares of capacity.
"""

from __future__ import annotations

import math

from stepflow.estimates.loads import LoadEstimate
from stepflow.interface import EndpointId, Settings
from stepflow.policy.state import EndpointState

REPORT_WEIGHT = 0.4  # minimum weight of a new report in the learned cost
REPORT_DECAY_US = 2_000_000  # after a gap of this length, older reports count about two thirds less
KIND_REPORT_WEIGHT = 0.15  # weight of a new report in the cost of the machine kind
REPORT_AGE_TICKS = 2  # a load report shows the load of this many ticks ago
COST_DECAY_S = 10.0  # time constant of a cost's return to the cost of its kind
MIN_PSEUDO_SESSIONS = 4.0  # lower bound of the pseudo load of an endpoint
UNREPORTED_LOAD = 0.5  # assumed load of an endpoint before any load report
REPORT_FIELDS = ("x0", "util", "inflight", "queue")  # the fields that give the load, in order of preference
UTILIZATION_FIELDS = ("x0", "util")  # those of REPORT_FIELDS that give the load as a share of capacity


class LoadModel:
    """The predicted load and learned cost of every endpoint. Owns the states of the endpoints."""

    def __init__(self, settings: Settings) -> None:
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.kind_costs: dict[int, float] = {}
        self.kind_size: dict[int, float] = {}  # largest size seen, by machine kind; only with live weights
        self.loads = LoadEstimate()
        self.own_load = 0.0  # sum of the loads of all own sessions
        self.mean_kind_cost = 0.0
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply settings, at the start or at a reload."""
        self.settings, fields = settings, settings.load_report_fields
        indexes = [fields.index(name) for name in REPORT_FIELDS if name in fields]
        self.report_index = indexes[0] if indexes else -1
        self.reports_utilization = any(name in fields for name in UTILIZATION_FIELDS)

    def resolve_load(self, load: float | None, class_index: int) -> float:
        """Return the load of a session; the first reported load rescales the loads counted before it."""
        load, scale = self.loads.resolve(load, class_index)
        if scale != 1.0:
            self.own_load *= scale
            for endpoint in self.endpoints.values():
                endpoint.scale_load(scale)
        return load

    def pseudo_load(self) -> float:
        """Return the load added to each own load, since a cost learned from almost no load would explode."""
        return max(self.loads.in_sessions(self.own_load) / max(1, len(self.endpoints)), MIN_PSEUDO_SESSIONS)

    def learn(self, now: int, endpoint: EndpointState, report: tuple[float, ...]) -> None:
        """Learn the cost of an endpoint from one load report.

        The first report replaces the cost; a later one counts more the longer the gap before it. Values that
        are missing, negative or not finite are ignored.
        """
        value = report[self.report_index] if 0 <= self.report_index < len(report) else -1.0
        if not math.isfinite(value) or value < 0:
            return
        pseudo, balancers = self.pseudo_load() * endpoint.relative_size, self.settings.balancers
        # The report was measured a moment ago and does not include later sessions.
        load_at_report = endpoint.load_history[0] if endpoint.load_history else endpoint.load
        cost = value / (balancers * (self.loads.in_sessions(load_at_report) + pseudo))
        old_weight = 0.0
        if endpoint.reported_us:
            old_weight = (1 - REPORT_WEIGHT) * math.exp((endpoint.reported_us - now) / REPORT_DECAY_US)
        endpoint.cost = old_weight * endpoint.cost + (1 - old_weight) * cost
        endpoint.reported_us, endpoint.placed_load = now, 0.0
        endpoint.predicted_load = endpoint.cost * balancers * (self.loads.in_sessions(endpoint.load) + pseudo)
        kind_cost = self.kind_costs.setdefault(endpoint.kind, cost)
        self.kind_costs[endpoint.kind] = kind_cost + KIND_REPORT_WEIGHT * (cost - kind_cost)

    def predict(self, endpoints: list[EndpointState], seconds: float) -> None:
        """Move the costs of endpoints toward those of their kinds for `seconds`, then predict the loads."""
        pseudo, balancers = self.pseudo_load(), self.settings.balancers
        if self.settings.live_weights:
            self._replace_live_sizes(endpoints)
        mean_size = sum(endpoint.size for endpoint in endpoints) / max(1, len(endpoints))
        costs = self.kind_costs.values() or (UNREPORTED_LOAD / (balancers * pseudo),)
        self.mean_kind_cost = sum(costs) / len(costs)
        aged_share = min(1.0, seconds / COST_DECAY_S)
        for endpoint in endpoints:
            endpoint.relative_size = endpoint.size / mean_size
            typical_cost = self.kind_costs.get(endpoint.kind, self.mean_kind_cost * mean_size / endpoint.size)
            if endpoint.reported_us:
                endpoint.cost += aged_share * (typical_cost - endpoint.cost)
            else:
                endpoint.cost = typical_cost
            endpoint.predicted_load = (
                balancers
                * endpoint.cost
                * (self.loads.in_sessions(endpoint.load) + pseudo * endpoint.relative_size)
            )
            endpoint.placed_load = 0.0

    def record_load_history(self) -> None:
        """Record the own load at this tick, to compare later load reports with."""
        for endpoint in self.endpoints.values():
            endpoint.load_history = [*endpoint.load_history[1 - REPORT_AGE_TICKS :], endpoint.load]

    def count_placed(self, endpoint: EndpointState, session_load: float) -> None:
        """Count a session that was just placed, assuming that every instance placed one like it."""
        sessions = self.loads.in_sessions(session_load)
        endpoint.placed_load += self.settings.balancers * endpoint.cost * sessions

    def raise_prediction(self, endpoint: EndpointState, load: float) -> None:
        """Raise the predicted load of an endpoint to at least `load`, until the next prediction or report."""
        endpoint.predicted_load = max(endpoint.predicted_load, load)

    def _replace_live_sizes(self, endpoints: list[EndpointState]) -> None:
        """Replace each size by the largest of its kind, since a live size falls as the endpoint fills."""
        for endpoint in endpoints:
            self.kind_size[endpoint.kind] = max(self.kind_size.get(endpoint.kind, 0.0), endpoint.size)
        for endpoint in endpoints:
            endpoint.size = self.kind_size[endpoint.kind]
