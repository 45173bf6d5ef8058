"""Slow start: an endpoint whose process has just started has only a part of its capacity.

An endpoint is warming up until `rules.slow_start_us` after its start. Until then each attempt at the endpoint
spends from its slow-start budget, which is refilled at the rate that `budgets.slow_start` allows this
instance, assuming that all instances send the same amount. Owns the endpoints' `slow_start_budget`.
"""

from __future__ import annotations

from stepflow.budgets.slow_start import EndpointLoads, SlowStartBudget
from stepflow.interface import SafetyRules
from stepflow.policy.context import PolicyContext
from stepflow.policy.state import EndpointState, RequestState


def capacity_share(endpoint: EndpointState, rules: SafetyRules, now_us: int) -> float:
    """Return the minimum share of its full capacity that an endpoint has at its age."""
    age_us = max(0, now_us - endpoint.started_us)  # the start may lie slightly in the future
    if endpoint.started_us <= 0 or age_us >= rules.slow_start_us:
        return 1.0
    return rules.slow_start_share + (1 - rules.slow_start_share) * age_us / rules.slow_start_us


class SlowStart:
    """The slow-start budgets of the endpoints that are warming up."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._budget = SlowStartBudget()
        self.warming: list[EndpointState] = []
        """Endpoints that were warming up at the last refill."""

    def is_warm(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint has its full capacity."""
        return capacity_share(endpoint, self._context.settings.rules, self._context.now_us) >= 1

    def attempt_cost(self, request: RequestState) -> float:
        """Return the cost of an attempt in the budget: 1, or the load in mean sessions if that is more."""
        return max(1.0, self._context.model.loads.in_sessions(request.load))

    def charge(self, endpoint: EndpointState, request: RequestState) -> None:
        """Subtract the cost of an attempt from the endpoint's budget, if it is warming up."""
        if not self.is_warm(endpoint):
            endpoint.slow_start_budget -= self.attempt_cost(request)

    def refill(self, seconds: float, mean_load: float) -> None:
        """Refill the budgets after `seconds`; `mean_load` is the mean load of all endpoints."""
        context, endpoints = self._context, self._context.model.endpoints
        self.warming = [e for e in endpoints.values() if e.started_us > 0 and not self.is_warm(e)]
        loads = EndpointLoads(len(endpoints), len(endpoints) - len(self.warming), mean_load)
        self._budget.learn(context.arrivals, loads, seconds)
        if not self.warming:
            return
        typical_rate = self._budget.attempts_per_s(context.arrivals, loads, context.settings.rules)
        for endpoint in self.warming:
            capacity = capacity_share(endpoint, context.settings.rules, context.now_us)
            rate = typical_rate * capacity * endpoint.relative_size
            endpoint.slow_start_budget = min(max(1.0, rate), endpoint.slow_start_budget + rate * seconds)
