"""Admission: which endpoints may serve a request, and which are too loaded for its class."""

from __future__ import annotations

from collections.abc import Callable

from stepflow.budgets import attempt_throttle
from stepflow.interface import Availability
from stepflow.policy.context import PolicyContext
from stepflow.policy.retry_safety import in_deduplication_scope
from stepflow.policy.slow_start import SlowStart
from stepflow.policy.state import EndpointState, RequestState

# The loads above which an endpoint gets no more requests: the first for the class with the lowest priority
# weight, the second for the class with the highest. The limits of the other classes are interpolated.
ADMISSION_LIMITS = (0.7, 0.9)
MIN_PRIORITY_RANGE = 1e-9  # avoids division by 0 if all classes have the same priority weight


class Admission:
    """Decides whether an endpoint may serve a request."""

    def __init__(self, context: PolicyContext, slow_start: SlowStart) -> None:
        self._context, self._slow_start = context, slow_start
        self.unreported_load = 0.0
        """Estimated load per endpoint that all instances have placed and no load report shows yet."""

    def eligibility(self, request: RequestState) -> Callable[[EndpointState], bool]:
        """Return the test that an endpoint must pass for the request's next attempt. The test ignores load.

        Raises ValueError for a class that the settings do not define.
        """
        scope = self._context.settings.class_of(request.request).deduplication_scope
        first, tried = request.possible_effect_endpoint, request.tried_endpoints
        cost = self._slow_start.attempt_cost(request)

        def is_eligible(endpoint: EndpointState) -> bool:
            if endpoint.availability != Availability.READY or endpoint.id in tried:
                return False
            if first is not None and not in_deduplication_scope(scope, first, endpoint):
                return False
            return self._slow_start.is_warm(endpoint) or endpoint.slow_start_budget >= min(1.0, cost)

        return is_eligible

    def eligible_warming(self, is_eligible: Callable[[EndpointState], bool]) -> list[EndpointState]:
        """Return the eligible endpoints among those that are warming up."""
        return [endpoint for endpoint in self._slow_start.warming if is_eligible(endpoint)]

    def is_overloaded(self, endpoint: EndpointState, request: RequestState) -> bool:
        """Return whether an endpoint is too loaded for the priority weight of the request's class."""
        model = self._context.model
        if not model.reports_utilization or not model.kind_costs:
            return False
        weights = [cls.priority_weight for cls in self._context.settings.classes]
        low, high = min(weights), max(weights)
        rank = (weights[request.request.class_index] - low) / max(high - low, MIN_PRIORITY_RANGE)
        # Placed and unreported load count as well: many sessions may be placed between two reports.
        load = endpoint.predicted_load + endpoint.placed_load + self.unreported_load
        return load > ADMISSION_LIMITS[0] + rank * (ADMISSION_LIMITS[1] - ADMISSION_LIMITS[0])

    def charge(self, endpoint: EndpointState, request: RequestState) -> None:
        """Charge an attempt that starts to the endpoint's slow-start budget."""
        self._slow_start.charge(endpoint, request)

    def update(self, seconds: float, mean_load: float) -> None:
        """Refill the slow-start budgets after `seconds`, and update the unreported load."""
        self._slow_start.refill(seconds, mean_load)
        # A placed session takes about a second to show in load reports: one second's attempts are unreported.
        settings, throttle, model = self._context.settings, self._context.throttle, self._context.model
        rate = settings.balancers * throttle.attempts / attempt_throttle.DECAY_S
        self.unreported_load = rate / max(1, len(model.endpoints)) * model.mean_kind_cost
