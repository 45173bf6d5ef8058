"""Admission: which endpoints a request may go to, and which are too loaded for its class."""

from __future__ import annotations

from collections.abc import Callable

from stepflow.budgets import attempt_throttle
from stepflow.interface import Availability
from stepflow.policy.context import PolicyContext
from stepflow.policy.retry_safety import shares_keys
from stepflow.policy.slow_start import SlowStart
from stepflow.policy.state import EndpointState, RequestState

# An endpoint loaded this much takes no more of the class with the least priority weight, and of the one with
# the most.
ADMISSION_LIMITS = (0.7, 0.9)
MIN_WEIGHT_SPAN = 1e-9  # where all classes have the same priority weight


class Admission:
    """Tests of single endpoints for single requests."""

    def __init__(self, context: PolicyContext, slow_start: SlowStart) -> None:
        self._context, self._slow_start = context, slow_start
        self.unreported_load = 0.0
        """Load that all instances put on a mean endpoint before its reports show it."""

    def eligibility(self, request: RequestState) -> Callable[[EndpointState], bool]:
        """The test that an endpoint must pass for this request's next attempt, whatever its load.

        Raises ValueError for a class that the settings lack.
        """
        scope = self._context.settings.class_of(request.request).deduplication_scope
        first, tried = request.possible_effect_endpoint, request.tried_endpoints
        cost = self._slow_start.attempt_cost(request)

        def is_eligible(endpoint: EndpointState) -> bool:
            if endpoint.availability != Availability.READY or endpoint.id in tried:
                return False
            if first is not None and not shares_keys(scope, first, endpoint):
                return False
            return self._slow_start.is_warm(endpoint) or endpoint.slow_start_budget >= min(1.0, cost)

        return is_eligible

    def eligible_warming(self, is_eligible: Callable[[EndpointState], bool]) -> list[EndpointState]:
        """The endpoints that are warming up and have a budget for the request."""
        return [endpoint for endpoint in self._slow_start.warming if is_eligible(endpoint)]

    def is_overloaded(self, endpoint: EndpointState, request: RequestState) -> bool:
        """Whether an endpoint is too loaded for the priority weight of the request's class."""
        model = self._context.model
        if not model.reports_utilization or not model.kind_cost:
            return False
        weights = [cls.priority_weight for cls in self._context.settings.classes]
        low, high = min(weights), max(weights)
        rank = (weights[request.request.class_index] - low) / max(high - low, MIN_WEIGHT_SPAN)
        # Many sessions may come between two reports.
        load = endpoint.predicted_load + endpoint.placed_load + self.unreported_load
        return load > ADMISSION_LIMITS[0] + rank * (ADMISSION_LIMITS[1] - ADMISSION_LIMITS[0])

    def charge(self, endpoint: EndpointState, request: RequestState) -> None:
        """Count an attempt that starts against the endpoint's slow start."""
        self._slow_start.charge(endpoint, request)

    def update(self, seconds: float, mean_load: float) -> None:
        """Refill the slow start's budgets, and estimate the unreported load anew."""
        self._slow_start.refill(seconds, mean_load)
        # What was placed takes about a second to show in reports.
        settings, throttle, model = self._context.settings, self._context.throttle, self._context.model
        rate = settings.balancers * throttle.attempts / attempt_throttle.MEMORY_S
        self.unreported_load = rate / max(1, len(model.endpoints)) * model.mean_kind_cost
