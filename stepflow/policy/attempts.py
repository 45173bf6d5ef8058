"""Attempts and retries: takes each request from its arrival to its one final answer.

A request has at most one active attempt. After a failed attempt the request is retried if its deadline, the
limit of attempts, the throttle and `retry_safety` permit it; otherwise it is rejected, or failed if its
effect is unknown. Late events and events of unknown requests are ignored. Owns `attempts`,
`is_attempt_active`, `is_established`, `established_us` and `tried_endpoints` of requests; `is_answered` is
also set by `migration`.
"""

from __future__ import annotations

from collections.abc import Iterable

from stepflow.estimates.arrivals import SECOND_US
from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    ClientDisconnected,
    FailRequest,
    RejectRequest,
    Request,
    SessionAdopted,
    SessionEstablished,
    StartAttempt,
)
from stepflow.policy.admission import Admission
from stepflow.policy.context import PolicyContext
from stepflow.policy.numeric import clamp
from stepflow.policy.outliers import OutlierDetector
from stepflow.policy.requests import RequestTable
from stepflow.policy.retry_safety import RetrySafety
from stepflow.policy.selection import Selector
from stepflow.policy.state import EndpointState, RequestState
from stepflow.policy.weights import SATURATED_LOAD

INITIAL_LATENCY_US = 150_000  # assumed latency of an attempt before the first is established
MAX_LATENCY_US = SECOND_US  # timeouts raise the smoothed latency to at most this
LATENCY_WEIGHT = 0.1  # weight of a new latency in the smoothed latency
# A timeout was too short, unless the endpoint is an outlier: it multiplies the smoothed latency by this.
LATENCY_BACKOFF = 1.25
TIMEOUT_FACTOR = 4.0  # a timeout as a multiple of the smoothed latency
TIMEOUT_RANGE = (0.15, 0.5)  # bounds of a timeout, as shares of the time left
RETRY_DELAY_US = (100_000, 400_000)  # range of the delay before a held or failed request is placed again
EARLY_RESET_US = 2_000_000  # a session that is reset within this time does not count as established
RETRY_AFTER_RANGE = (0.5, 1)  # advised retry delay, as shares of `max_retry_after_us`
# Results that concern one endpoint and indicate nothing about the others.
SINGLE_ENDPOINT_RESULTS = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED)


class Attempts:
    """Starts attempts, takes their results, and answers requests."""

    def __init__(
        self,
        context: PolicyContext,
        requests: RequestTable,
        selector: Selector,
        admission: Admission,
        retry_safety: RetrySafety,
        outliers: OutlierDetector,
    ) -> None:
        self._context, self._requests, self._selector = context, requests, selector
        self._admission, self._retry_safety, self._outliers = admission, retry_safety, outliers
        self._throttled: dict[int, None] = {}  # ids of requests that wait for the throttle, oldest first
        self.smoothed_latency_us = float(INITIAL_LATENCY_US)

    def open(self, event: Request) -> None:
        """Add a new request and start its first attempt."""
        context, settings = self._context, self._context.settings
        request = self._requests.add(event, settings.limits.max_attempts)
        is_returning = event.is_retry or event.is_migrated
        context.arrivals.new_requests += not is_returning
        self._selector.refill_check_budget(is_returning)
        # This timer ensures an answer in time: a host's timeout may come late, or no attempt may be active.
        context.set_request_timer(request, event.expires_us - context.now_us - 2 * settings.tick_us)
        self.place(request)

    def adopt(self, event: SessionAdopted) -> None:
        """Add a session that was established before this instance started."""
        request = self._requests.add(event.request)
        request.attempts, request.is_established, request.is_attempt_active = 1, True, True
        self._context.arrivals.open_sessions += 1
        self._context.arrivals.adopted_sessions += 1
        if endpoint := self._context.model.endpoints.get(event.endpoint):
            self._requests.assign(request, endpoint)

    def place(self, request: RequestState) -> None:
        """Start the next attempt, hold the request until an endpoint can take it, or give the request up."""
        context, settings = self._context, self._context.settings
        remaining_us = request.request.expires_us - context.now_us
        required_us = max(2 * settings.tick_us, self.smoothed_latency_us if request.attempts else 0)
        if remaining_us <= required_us or not self._retry_safety.may_start_attempt(request):
            self._give_up(request)
            return
        if context.throttle.is_limiting():
            self._throttled[request.request.id] = None
            self._retry_later(request)
            return
        self._throttled.pop(request.request.id, None)
        endpoint = self._selector.choose(request)
        if request.candidates:
            return  # the request waits for health checks
        is_overloaded = endpoint is not None and self._admission.is_overloaded(endpoint, request)
        if is_overloaded and request.possible_effect_endpoint is None:
            # A client that retries at once would find the endpoints as loaded as before.
            share = context.rng.uniform(*RETRY_AFTER_RANGE)
            self._give_up(request, int(share * settings.limits.max_retry_after_us))
        elif endpoint is None or is_overloaded:
            request.tried_endpoints.clear()  # no other endpoint can take it: allow these again
            self._retry_later(request)
        else:
            self._start(request, endpoint, remaining_us)

    def resume(self, requests: Iterable[RequestState]) -> None:
        """Place those of the requests that have the results of all their health checks."""
        for request in requests:
            if self._selector.has_fresh_candidates(request):
                self.place(request)

    def handle_timer(self, request_id: int) -> None:
        """Place a request whose timer has expired, or give it up at its deadline."""
        request = self._requests.by_id.get(request_id)
        if request is None or request.is_established or request.is_answered:
            return
        if request.request.expires_us - self._context.now_us <= 2 * self._context.settings.tick_us:
            self._give_up(request)
        elif not request.is_attempt_active:
            self.place(request)

    def establish(self, event: SessionEstablished) -> None:
        """Handle an established session."""
        request = self._active_request(event.request_id, event.attempt)
        if request is None or request.is_established:
            return
        throttle = self._context.throttle
        request.is_established, request.established_us = True, self._context.now_us
        self._context.arrivals.open_sessions += 1
        throttle.established += 1
        self.smoothed_latency_us += LATENCY_WEIGHT * (event.latency_us - self.smoothed_latency_us)
        if request.endpoint is not None:
            request.endpoint.record_success()
        # Place throttled requests without waiting for their timers, oldest first.
        while self._throttled and not throttle.is_limiting():
            first = self._requests.by_id[next(iter(self._throttled))]
            del self._throttled[first.request.id]
            self.place(first)

    def end(self, event: AttemptEnded) -> None:
        """Handle the result of an attempt, and retry the request if it needs a further attempt."""
        context = self._context
        endpoint = context.model.endpoints.get(event.endpoint)
        if endpoint is not None and event.load_report:
            context.model.learn(context.now_us, endpoint, event.load_report)
        request = self._active_request(event.request_id, event.attempt)
        if request is None:
            return
        request.is_attempt_active = False
        context.arrivals.open_sessions -= request.is_established
        self._requests.release(request)
        self._retry_safety.record_result(request, event.result)
        is_outlier = False
        if endpoint is not None:
            is_outlier = self._outliers.record_result(endpoint, event.result)
            self._handle_early_reset(request, endpoint, event.result)
        if is_outlier or event.result in SINGLE_ENDPOINT_RESULTS:
            context.throttle.subtract_attempt()
        elif event.result == AttemptResult.TIMEOUT:
            self.smoothed_latency_us = min(self.smoothed_latency_us * LATENCY_BACKOFF, float(MAX_LATENCY_US))
        if event.is_final or request.is_answered:
            self._remove(request)
        elif event.result == AttemptResult.ERROR and not is_outlier:
            self._retry_later(request)
        else:
            self.place(request)

    def disconnect(self, event: ClientDisconnected) -> None:
        """Handle a client that has disconnected."""
        if request := self._requests.by_id.get(event.request_id):
            request.is_answered = True
            if not request.is_attempt_active:
                self._remove(request)

    def _active_request(self, request_id: int, attempt: int) -> RequestState | None:
        """Return the request if this is its active attempt, else None."""
        request = self._requests.by_id.get(request_id)
        if request is None or not request.is_attempt_active or attempt != request.attempts - 1:
            return None
        return request

    def _start(self, request: RequestState, endpoint: EndpointState, remaining_us: int) -> None:
        """Start an attempt at an endpoint."""
        timeout_us = self._timeout_us(request, remaining_us)
        self._admission.charge(endpoint, request)
        self._context.throttle.attempts += 1
        request.attempts += 1
        request.is_attempt_active = True
        request.tried_endpoints.append(endpoint.id)
        self._retry_safety.record_attempt(request, endpoint)
        self._requests.assign(request, endpoint)
        # Clients of a lost endpoint arrive all at once, so each placement has to count before the next one.
        self._context.model.count_placed(endpoint, request.load)
        self._context.emit(StartAttempt(request.request.id, endpoint.id, timeout_us))

    def _timeout_us(self, request: RequestState, remaining_us: int) -> int:
        """Return the timeout of the next attempt: all the time left, unless another attempt may follow."""
        base_timeout_us = TIMEOUT_FACTOR * self.smoothed_latency_us
        if request.attempts + 1 >= request.max_attempts or remaining_us <= base_timeout_us:
            return remaining_us
        return int(clamp(base_timeout_us, TIMEOUT_RANGE[0] * remaining_us, TIMEOUT_RANGE[1] * remaining_us))

    def _retry_later(self, request: RequestState) -> None:
        self._context.set_request_timer(request, self._context.rng.randint(*RETRY_DELAY_US))

    def _handle_early_reset(self, request: RequestState, endpoint: EndpointState, result: int) -> None:
        """Treat an endpoint as saturated if it has reset a session just after it was established."""
        age_us = self._context.now_us - request.established_us
        if result == AttemptResult.RESET and request.is_established and age_us < EARLY_RESET_US:
            self._context.throttle.subtract_established()
            self._context.model.raise_prediction(endpoint, SATURATED_LOAD)

    def _give_up(self, request: RequestState, retry_after_us: int = 0) -> None:
        """Reject or fail a request that can't be served, and end its active attempt if there is one."""
        id, request.is_answered = request.request.id, True
        if self._retry_safety.is_safe_to_reject(request):
            self._context.emit(RejectRequest(id, retry_after_us))
        else:
            self._context.emit(FailRequest(id))
        if not request.is_attempt_active:
            self._remove(request)
        elif self._context.settings.limits.cancellation:
            self._context.emit(CancelAttempt(id, request.attempts - 1))

    def _remove(self, request: RequestState) -> None:
        self._throttled.pop(request.request.id, None)
        self._requests.remove(request)
