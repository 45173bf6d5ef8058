"""Whether a request may be sent or rejected again without taking effect twice.

A request that is not idempotent is held to have run at the first endpoint that an attempt of it was sent to,
until that attempt is known not to have run. From then on it may only be retried if endpoints drop repeats of
its key, within the class's scope and window. Owns the requests' `possible_effect_*` fields.
"""

from __future__ import annotations

from stepflow.interface import AttemptResult, Availability, DeduplicationScope, Idempotency
from stepflow.policy.context import PolicyContext
from stepflow.policy.state import EndpointState, RequestState

NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


def shares_keys(scope: DeduplicationScope, first: EndpointState, other: EndpointState) -> bool:
    """Whether an endpoint drops repeats of what may have run at the first one."""
    if scope == DeduplicationScope.ZONE:
        return other.zone == first.zone
    if scope == DeduplicationScope.CELL:
        return other.cell == first.cell
    return True


class RetrySafety:
    """Guards against effects that occur twice."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context

    def may_start_attempt(self, request: RequestState) -> bool:
        """Whether another attempt is permitted and can't cause an effect twice."""
        if request.is_attempt_active or request.attempts >= request.max_attempts:
            return False
        if request.possible_effect_endpoint is None:
            return True
        return self._is_within_window(request, self._context.now_us)

    def may_send_attempt(self, request: RequestState, now_us: int) -> bool:
        """Whether an attempt that was started may still be sent now that its connection is up."""
        endpoint = request.endpoint
        if request.is_answered or endpoint is None or endpoint.availability != Availability.READY:
            return False
        is_first = (
            request.possible_effect_endpoint is None or request.possible_effect_attempt == request.attempts
        )
        return is_first or self._is_within_window(request, now_us)

    def is_safe_to_reject(self, request: RequestState) -> bool:
        """Whether the client may retry a rejected request, at any endpoint, without a second effect."""
        if request.possible_effect_endpoint is None:
            return True
        cls = self._context.settings.class_of(request.request)
        return cls.idempotency == Idempotency.BY_KEY and cls.deduplication_scope == DeduplicationScope.ALL

    def record_attempt(self, request: RequestState, endpoint: EndpointState) -> None:
        """Note that the attempt which was just counted may take effect at an endpoint."""
        idempotency = self._context.settings.class_of(request.request).idempotency
        if request.possible_effect_endpoint is None and idempotency != Idempotency.IDEMPOTENT:
            request.possible_effect_endpoint = endpoint
            request.possible_effect_us = self._context.now_us
            request.possible_effect_attempt = request.attempts

    def record_result(self, request: RequestState, result: int) -> None:
        """Note an attempt's end; one that never ran has no effect, unless an earlier one may have."""
        if result in NEVER_RAN and request.possible_effect_attempt == request.attempts:
            request.possible_effect_endpoint = None
            request.possible_effect_attempt = 0

    def _is_within_window(self, request: RequestState, now_us: int) -> bool:
        """Whether endpoints still drop a repeat."""
        cls = self._context.settings.class_of(request.request)
        age_us = now_us - request.possible_effect_us
        return cls.idempotency == Idempotency.BY_KEY and age_us < cls.deduplication_window_us
