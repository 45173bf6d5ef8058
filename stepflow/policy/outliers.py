"""Outliers: endpoints that fail while attempts at the others are established.

Failures of one endpoint lower its own health. Failures of many say that what all endpoints share has failed;
those count for the throttle instead. Owns the endpoints' `failed_count`.
"""

from __future__ import annotations

from stepflow.budgets.attempt_throttle import decay_factor
from stepflow.interface import AttemptResult
from stepflow.policy.context import PolicyContext
from stepflow.policy.state import EndpointState

FAILURES = (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
AMBIGUOUS_FAILURES = (AttemptResult.ERROR, AttemptResult.TIMEOUT)  # either the endpoint's or shared


class OutlierDetector:
    """Tells an endpoint's own failures from those of what all endpoints share."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context

    def decay(self, seconds: float) -> None:
        """Let time pass for the counts of all endpoints."""
        factor = decay_factor(seconds)
        for endpoint in self._context.model.endpoints.values():
            endpoint.established_count *= factor
            endpoint.failed_count *= factor

    def record_result(self, endpoint: EndpointState, result: int) -> bool:
        """Take an attempt's result; returns whether it is an ambiguous failure of an outlier.

        An outlier that answers errors at once would draw what it fails, and close the throttle for all.
        """
        is_ambiguous = result in AMBIGUOUS_FAILURES
        if is_ambiguous:
            endpoint.failed_count += 1
            self._context.throttle.failed += 1
        is_outlier = is_ambiguous and self._is_outlier(endpoint)
        # While the throttle is closed the fault is in what all endpoints share, unless others serve on.
        is_shared = is_ambiguous and not is_outlier and self._context.throttle.is_closed()
        if result in FAILURES and not is_shared:
            endpoint.record_failure()
        return is_outlier

    def _is_outlier(self, endpoint: EndpointState) -> bool:
        """Whether more attempts are established than fail at the other endpoints."""
        throttle = self._context.throttle
        established = throttle.established - endpoint.established_count
        failed = throttle.failed - endpoint.failed_count
        return established > 1 + failed
