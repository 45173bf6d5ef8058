"""Outliers: endpoints whose attempts fail while attempts at other endpoints are established.

Failures at one endpoint lower its own health. Failures at many endpoints indicate a fault in a dependency
that all of them share, and count against the throttle instead. Owns the endpoints' `failed_count`.
"""

from __future__ import annotations

from stepflow.budgets.attempt_throttle import decay_factor
from stepflow.interface import AttemptResult
from stepflow.policy.context import PolicyContext
from stepflow.policy.state import EndpointState

FAILURES = (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
AMBIGUOUS_FAILURES = (AttemptResult.ERROR, AttemptResult.TIMEOUT)  # the fault may be the endpoint's or shared


class OutlierDetector:
    """Distinguishes failures of one endpoint from failures of a dependency that all endpoints share."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context

    def decay(self, seconds: float) -> None:
        """Decay the counts of all endpoints by `seconds`."""
        factor = decay_factor(seconds)
        for endpoint in self._context.model.endpoints.values():
            endpoint.established_count *= factor
            endpoint.failed_count *= factor

    def record_result(self, endpoint: EndpointState, result: int) -> bool:
        """Record the result of an attempt. Returns whether it is an ambiguous failure of an outlier.

        Without this distinction, an outlier that answers with errors at once would attract further requests
        and make the throttle limit attempts to all endpoints.
        """
        is_ambiguous = result in AMBIGUOUS_FAILURES
        if is_ambiguous:
            endpoint.failed_count += 1
            self._context.throttle.failed += 1
        is_outlier = is_ambiguous and self._is_outlier(endpoint)
        # While the throttle limits attempts, the fault counts as shared, unless other endpoints still serve.
        is_shared = is_ambiguous and not is_outlier and self._context.throttle.is_limiting()
        if result in FAILURES and not is_shared:
            endpoint.record_failure()
        return is_outlier

    def _is_outlier(self, endpoint: EndpointState) -> bool:
        """Return whether more attempts are established than fail at the other endpoints."""
        throttle = self._context.throttle
        established = throttle.established - endpoint.established_count
        failed = throttle.failed - endpoint.failed_count
        return established > 1 + failed
