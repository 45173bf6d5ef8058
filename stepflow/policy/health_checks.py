"""Health checks: which endpoints are checked, and when.

Some checks go to the endpoints in rotation, as many as the price of a check and the own traffic allow. Others
check the candidates of a request (`selection`) and endpoints that may be overloaded (`migration`). Owns the
endpoints' `checked_us`.
"""

from __future__ import annotations

from stepflow.interface import AttemptResult, EndpointId, HealthCheckEnded, StartHealthCheck
from stepflow.policy.context import PolicyContext
from stepflow.policy.numeric import clamp
from stepflow.policy.state import EndpointState
from stepflow.policy.weights import WeightController

ROTATION_PRICE_SHARE = 0.002  # points of the result that health checks in rotation may cost
MIN_ROTATION_INTERVAL_S = 1.0  # lower bound of the mean time between two checks of an endpoint in rotation
MIN_PRICE = 1e-9  # assumed price of a free check, to avoid division by 0
FRESH_REPORT_US = 700_000  # a load report older than this is stale
LATENCY_WEIGHT = 0.1  # weight of a new latency in the smoothed latency
# Results that don't indicate a failure of the endpoint: it has no room for checks, or was never asked.
NEUTRAL_RESULTS = (AttemptResult.FULL, AttemptResult.NOT_SENT)


class HealthChecks:
    """The health checks of one instance, at most one at a time for each endpoint."""

    def __init__(self, context: PolicyContext, weights: WeightController) -> None:
        self._context, self._weights = context, weights
        self._running: dict[EndpointId, None] = {}
        self._rotation_budget = 0.0
        self.smoothed_latency_us = 0.0

    def start(self, endpoint: EndpointState) -> bool:
        """Check an endpoint, unless a check is running or none is permitted. Returns whether one started."""
        if endpoint.id in self._running or not self._context.settings.limits.health_checks:
            return False
        self._running[endpoint.id], endpoint.checked_us = None, self._context.now_us
        self._context.emit(StartHealthCheck(endpoint.id))
        return True

    def run_rotation(self, seconds: float) -> None:
        """Check as many endpoints as the price and the own traffic allow for the last `seconds`."""
        context = self._context
        if not context.settings.load_report_fields:
            return
        price = max(context.settings.prices.probe, MIN_PRICE)
        affordable = ROTATION_PRICE_SHARE / price * context.arrivals.turnover()
        rate = min(len(context.model.endpoints) / MIN_ROTATION_INTERVAL_S, affordable)
        self._rotation_budget = clamp(self._rotation_budget + rate * seconds, -rate, 1.0 + rate)
        while self._rotation_budget >= 1 and self._weights.drawable:
            self._rotation_budget -= 1
            # The endpoint checked longest ago is next: with a random choice, some would wait long.
            self.start(min(self._weights.drawable, key=lambda endpoint: endpoint.checked_us))

    def finish(self, event: HealthCheckEnded) -> EndpointState | None:
        """Handle the result of a check. Returns its endpoint, or None if it is no longer listed."""
        self._running.pop(event.endpoint, None)
        context = self._context
        endpoint = context.model.endpoints.get(event.endpoint)
        if endpoint is None:
            return None
        if event.result == AttemptResult.OK:
            context.model.learn(context.now_us, endpoint, event.load_report)
            self.smoothed_latency_us += LATENCY_WEIGHT * (event.latency_us - self.smoothed_latency_us)
        elif event.result not in NEUTRAL_RESULTS:
            endpoint.record_failure()
        return endpoint

    def is_fresh(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint's last load report is recent enough for selection."""
        return self._context.now_us - endpoint.reported_us <= FRESH_REPORT_US
