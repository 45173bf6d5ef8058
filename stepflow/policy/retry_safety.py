"""Decides whether a request may be retried or rejected without the risk that it takes effect twice.

A request that is not idempotent is assumed to have run at the first endpoint to which an attempt was sent,
until that attempt is known not to have run. Meanwhile it may only be retried if endpoints drop repeats of its
idempotency key, within the deduplication scope and window of its class. Owns the fields `possible_effect_*`
of requests.
"""

from __future__ import annotations

from stepflow.interface import AttemptResult, Availability, DeduplicationScope, Idempotency
from stepflow.policy.context import PolicyContext
from stepflow.policy.state import EndpointState, RequestState

NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


def in_deduplication_scope(scope: DeduplicationScope, first: EndpointState, other: EndpointState) -> bool:
    """Return whether `other` drops repeats of a request that may have run at `first`."""
    if scope == DeduplicationScope.ZONE:
        return other.zone == first.zone
    if scope == DeduplicationScope.CELL:
        return other.cell == first.cell
    return True


class RetrySafety:
    """Prevents requests from taking effect twice."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context

    def may_start_attempt(self, request: RequestState) -> bool:
        """Return whether another attempt is permitted and can't take effect a second time."""
        if request.is_attempt_active or request.attempts >= request.max_attempts:
            return False
        if request.possible_effect_endpoint is None:
            return True
        return self._is_within_window(request, self._context.now_us)

    def may_send_attempt(self, request: RequestState, now_us: int) -> bool:
        """Return whether a started attempt may still be sent, now that its connection is established."""
        endpoint = request.endpoint
        if request.is_answered or endpoint is None or endpoint.availability != Availability.READY:
            return False
        is_first = (
            request.possible_effect_endpoint is None or request.possible_effect_attempt == request.attempts
        )
        return is_first or self._is_within_window(request, now_us)

    def is_safe_to_reject(self, request: RequestState) -> bool:
        """Return whether the client may retry the request, at any endpoint, without a second effect."""
        if request.possible_effect_endpoint is None:
            return True
        cls = self._context.settings.class_of(request.request)
        return cls.idempotency == Idempotency.BY_KEY and cls.deduplication_scope == DeduplicationScope.ALL

    def record_attempt(self, request: RequestState, endpoint: EndpointState) -> None:
        """Record that an attempt, already included in `request.attempts`, may take effect at an endpoint."""
        idempotency = self._context.settings.class_of(request.request).idempotency
        if request.possible_effect_endpoint is None and idempotency != Idempotency.IDEMPOTENT:
            request.possible_effect_endpoint = endpoint
            request.possible_effect_us = self._context.now_us
            request.possible_effect_attempt = request.attempts

    def record_result(self, request: RequestState, result: int) -> None:
        """Record the end of an attempt.

        An attempt that never ran has no effect; the possible effect of an earlier attempt remains.
        """
        if result in NEVER_RAN and request.possible_effect_attempt == request.attempts:
            request.possible_effect_endpoint = None
            request.possible_effect_attempt = 0

    def _is_within_window(self, request: RequestState, now_us: int) -> bool:
        """Return whether endpoints still drop a repeat of the request."""
        cls = self._context.settings.class_of(request.request)
        age_us = now_us - request.possible_effect_us
        return cls.idempotency == Idempotency.BY_KEY and age_us < cls.deduplication_window_us
