"""Selection: draws some endpoints by weight as candidates, and chooses the best of them.

An instance with few requests can't keep the load reports of many endpoints fresh, so candidates with old
reports get a health check first, and the request waits for the results. The candidates include endpoints that
the request's affinity group prefers.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from stepflow.policy.admission import Admission
from stepflow.policy.context import PolicyContext
from stepflow.policy.health_checks import HealthChecks
from stepflow.policy.requests import RequestTable
from stepflow.policy.state import MIN_HEALTH, EndpointState, RequestState
from stepflow.policy.weights import WeightController, service_loss
from stepflow.rendezvous import preferred_endpoints

MAX_CANDIDATES = 3
CHECK_PRICE_SHARE = 0.006  # points of the result that health checks of candidates may cost
MAX_CHECK_BUDGET = 20.0  # maximum number of unspent health checks of candidates that can be saved up
MIN_CHECK_WAIT_US = 10_000  # minimum time that a request waits for its health checks
# Each endpoint with sessions of an affinity group bears the group's shared work once. Therefore few
# candidates come from the group, and placing a session elsewhere is assumed to lose GROUP_SPREAD_LOSS of
# service. This lets 1.5 loads come in addition to the one that is served.
MAX_GROUP_CANDIDATES = 2
GROUP_SPREAD_LOSS = 0.3
LOAD_FACTOR = 0.1  # prefers the less loaded of two endpoints that lose no service


class Selector:
    """Chooses the endpoint of a request's next attempt."""

    def __init__(
        self,
        context: PolicyContext,
        weights: WeightController,
        admission: Admission,
        health_checks: HealthChecks,
        requests: RequestTable,
    ) -> None:
        self._context, self._weights, self._admission = context, weights, admission
        self._health_checks, self._requests = health_checks, requests
        self._check_budget = 0.0

    def refill_check_budget(self, is_returning: bool) -> None:
        """Add health checks to the budget for a new request; a returning client's request adds fewer."""
        checks = 1 if is_returning else MAX_CANDIDATES
        self._check_budget = min(self._check_budget + checks, MAX_CHECK_BUDGET)

    def choose(self, request: RequestState) -> EndpointState | None:
        """Return the best endpoint for a request, or None if there is none.

        Also returns None if the request has to wait for health checks; `request.candidates` is then set.
        """
        is_eligible, cost = self._admission.eligibility(request), partial(self._cost, request)
        if request.candidates:
            ready = [e for e in request.candidates if self._health_checks.is_fresh(e) and is_eligible(e)]
            request.candidates = []
            if ready:  # the others did not answer the health check in time
                return min(ready, key=cost)
        first, limits = self._weights.draw(is_eligible), self._context.settings.limits
        if first is None or not limits.health_checks or not self._context.model.reports_utilization:
            return first
        candidates = self._candidates(request, first, is_eligible)
        stale = [endpoint for endpoint in candidates if not self._health_checks.is_fresh(endpoint)]
        has_single_candidate = len(candidates) == 1
        if has_single_candidate or not stale or request.attempts or self._check_budget < len(stale):
            return min(candidates, key=cost)
        self._check(request, candidates, stale)
        return None

    def has_fresh_candidates(self, request: RequestState) -> bool:
        """Return whether a request waits for health checks, and all of their results have come."""
        return bool(request.candidates) and all(map(self._health_checks.is_fresh, request.candidates))

    def _candidates(
        self, request: RequestState, first: EndpointState, is_eligible: Callable[[EndpointState], bool]
    ) -> list[EndpointState]:
        """Return a warming endpoint, endpoints for the affinity group, `first`, and others drawn."""
        price = self._context.settings.prices.probe
        count = MAX_CANDIDATES if price <= 0 else min(MAX_CANDIDATES, int(CHECK_PRICE_SHARE / price))
        # With few requests, warming endpoints are seldom drawn and their budgets unspent: add one.
        warming = self._admission.eligible_warming(is_eligible)
        candidates = [self._context.rng.choice(warming)] if warming else []
        group = [e for e in self._group_candidates(request) if is_eligible(e) and e not in candidates]
        candidates += group[:MAX_GROUP_CANDIDATES]
        others = count - 1 - len(candidates)
        for other in (first, *(self._weights.draw(is_eligible) for _ in range(others))):
            if other is not None and other not in candidates:
                candidates.append(other)
        return candidates

    def _group_candidates(self, request: RequestState) -> list[EndpointState]:
        """Return the least loaded endpoint with sessions of the affinity group, then those it prefers."""
        group = request.request.affinity_group
        holders = self._requests.endpoints_of_group(group)
        held = sorted(holders, key=lambda endpoint: endpoint.predicted_load)[:1]
        preferred = []
        if group:
            preferred = preferred_endpoints(group, self._weights.drawable, MAX_GROUP_CANDIDATES)
        request.preferred_endpoint = preferred[0] if preferred else None
        return held + [endpoint for endpoint in preferred if endpoint not in held]

    def _check(
        self, request: RequestState, candidates: list[EndpointState], stale: list[EndpointState]
    ) -> None:
        """Check the candidates with old reports, and let the request wait for the results."""
        for endpoint in stale:
            endpoint.waiting_requests.append(request)
            self._check_budget -= self._health_checks.start(endpoint)
        request.candidates = candidates
        wait_us = MIN_CHECK_WAIT_US + int(2 * self._health_checks.smoothed_latency_us)
        self._context.set_request_timer(request, wait_us)

    def _cost(self, request: RequestState, endpoint: EndpointState) -> float:
        """Return the cost of placing a request: service lost, another zone, and spread of its affinity group.

        A random share of the unreported load keeps instances with the same old report from all choosing the
        endpoint that was the least loaded in that report.
        """
        settings = self._context.settings
        cross_zone_cost = settings.prices.cross_zone if endpoint.zone != settings.zone else 0.0
        unreported = MAX_CANDIDATES * self._admission.unreported_load * self._context.rng.random()
        load = endpoint.predicted_load + endpoint.placed_load + unreported
        load /= max(endpoint.health, MIN_HEALTH)
        group = request.request.affinity_group
        is_preferred = group in endpoint.affinity_groups or endpoint is request.preferred_endpoint
        spread_cost = GROUP_SPREAD_LOSS if group and not is_preferred else 0.0
        # An overloaded endpoint is the worst choice: the request would be rejected.
        rejection_cost = self._admission.is_overloaded(endpoint, request)
        return service_loss(load) + cross_zone_cost + LOAD_FACTOR * load + spread_cost + rejection_cost
