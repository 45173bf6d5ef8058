"""Selection: some endpoints are drawn by weight as candidates, and the best of them is chosen.

Few requests can't keep the reports of a large group fresh, so candidates with old reports are checked first;
the request waits for these health checks. Endpoints that its affinity group prefers are among the candidates.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from stepflow.policy.admission import Admission
from stepflow.policy.context import PolicyContext
from stepflow.policy.health_checks import HealthChecks
from stepflow.policy.requests import RequestTable
from stepflow.policy.state import HEALTH_FLOOR, EndpointState, RequestState
from stepflow.policy.weights import WeightController, service_loss
from stepflow.rendezvous import preferred_endpoints

MAX_CANDIDATES = 3
CHECK_PRICE_SHARE = 0.006  # points of the result that checks of candidates may cost
MAX_SAVED_CHECKS = 20.0  # unspent checks of candidates that are kept
MIN_CHECK_WAIT_US = 10_000  # a request waits for its checks this long at the least
# Every endpoint that holds any of an affinity group pays for it once: few candidates come from the group, and
# going elsewhere is held to lose this much service. That lets 1.5 loads come beside the one that is served.
MAX_GROUP_CANDIDATES = 2
GROUP_SPREAD_LOSS = 0.3
LOAD_FACTOR = 0.1  # of two endpoints that lose no service, the less loaded one is better


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

    def add_request(self, is_known: bool) -> None:
        """Let a request that has arrived pay for checks: fewer if the client was here a moment ago."""
        checks = 1 if is_known else MAX_CANDIDATES
        self._check_budget = min(self._check_budget + checks, MAX_SAVED_CHECKS)

    def choose(self, request: RequestState) -> EndpointState | None:
        """The endpoint that is best for a request, or None if there is none.

        Also None if the request has to wait for health checks: then it has candidates.
        """
        is_eligible, cost = self._admission.eligibility(request), partial(self._cost, request)
        if request.candidates:
            ready = [e for e in request.candidates if self._health_checks.is_fresh(e) and is_eligible(e)]
            request.candidates = []
            if ready:  # the others didn't answer in time
                return min(ready, key=cost)
        first, limits = self._weights.draw(is_eligible), self._context.settings.limits
        if first is None or not limits.health_checks or not self._context.model.reports_utilization:
            return first
        candidates = self._candidates(request, first, is_eligible)
        stale = [endpoint for endpoint in candidates if not self._health_checks.is_fresh(endpoint)]
        is_only = len(candidates) == 1
        if is_only or not stale or request.attempts or self._check_budget < len(stale):
            return min(candidates, key=cost)
        self._check(request, candidates, stale)
        return None

    def has_fresh_candidates(self, request: RequestState) -> bool:
        """Whether a request waits for health checks, and all of them have come."""
        return bool(request.candidates) and all(map(self._health_checks.is_fresh, request.candidates))

    def _candidates(
        self, request: RequestState, first: EndpointState, is_eligible: Callable[[EndpointState], bool]
    ) -> list[EndpointState]:
        """The candidates of a request, in the order drawn; `first` is one of them."""
        price = self._context.settings.prices.probe
        count = MAX_CANDIDATES if price <= 0 else min(MAX_CANDIDATES, int(CHECK_PRICE_SHARE / price))
        # Few requests would seldom draw a warming endpoint, and never spend its budget: one is added.
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
        """The least loaded endpoint with own sessions of the affinity group, then those that all prefer."""
        group = request.request.affinity_group
        holders = self._requests.endpoints_of_group(group)
        held = sorted(holders, key=lambda endpoint: endpoint.predicted_load)[:1]
        preferred = []
        if group:
            preferred = preferred_endpoints(group, self._weights.listed, MAX_GROUP_CANDIDATES)
        request.preferred_endpoint = preferred[0] if preferred else None
        return held + [endpoint for endpoint in preferred if endpoint not in held]

    def _check(
        self, request: RequestState, candidates: list[EndpointState], stale: list[EndpointState]
    ) -> None:
        """Let the request wait for health checks of the candidates with old reports."""
        for endpoint in stale:
            endpoint.waiting_requests.append(request)
            self._check_budget -= self._health_checks.start(endpoint)
        request.candidates = candidates
        wait_us = MIN_CHECK_WAIT_US + int(2 * self._health_checks.usual_latency_us)
        self._context.set_request_timer(request, wait_us)

    def _cost(self, request: RequestState, endpoint: EndpointState) -> float:
        """What placing there is held to cost: service lost, the affinity group's spread, and the crossing.

        Randomness keeps instances that read one old report from all filling the endpoint that was empty then.
        """
        settings = self._context.settings
        crossing = settings.prices.cross_zone if endpoint.zone != settings.zone else 0.0
        unreported = MAX_CANDIDATES * self._admission.unreported_load * self._context.rng.random()
        load = endpoint.predicted_load + endpoint.placed_load + unreported
        load /= max(endpoint.health, HEALTH_FLOOR)
        group = request.request.affinity_group
        is_preferred = group in endpoint.affinity_groups or endpoint is request.preferred_endpoint
        spread = GROUP_SPREAD_LOSS if group and not is_preferred else 0.0
        refusal = self._admission.is_overloaded(endpoint, request)  # it would be rejected: the worst choice
        return service_loss(load) + crossing + LOAD_FACTOR * load + spread + refusal
