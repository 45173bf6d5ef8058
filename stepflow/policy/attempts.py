"""Attempts and retries: a request's way from its arrival to its one final answer.

Each request is sent to one endpoint at a time. What fails is retried while its deadline, the limit of
attempts, the throttle and `retry_safety` permit; else it is rejected, or failed where its effect is unknown.
Events that are late or unknown are ignored. Owns `attempts`, `is_attempt_active`, `is_established`,
`established_us` and `tried_endpoints` of requests; `is_answered` is also set by `migration`.
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

FIRST_LATENCY_US = 150_000  # guess of the time that an attempt takes, before any was established
MAX_LATENCY_US = SECOND_US  # to which timeouts may raise the usual one
LATENCY_WEIGHT = 0.1  # share of a new latency in the usual one
LATENCY_BACKOFF = 1.25  # a timeout that was met was too short, if others' were as well
TIMEOUT_FACTOR = 4.0  # a timeout in usual latencies
TIMEOUT_SPAN = (0.15, 0.5)  # a timeout's bounds as shares of the time left
RETRY_DELAY_US = (100_000, 400_000)  # a throttled or failed request waits this long for its next attempt
EARLY_RESET_US = 2_000_000  # a session reset sooner is held never to have been established
RETRY_AFTER_SPAN = (0.5, 1)  # the delay that rejected clients are told, as shares of the longest one
UNRELATED_TO_OTHERS = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED)  # speak of one endpoint alone


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
        self._throttled: dict[int, None] = {}  # ids of requests that wait for the throttle to open, in order
        self.usual_latency_us = float(FIRST_LATENCY_US)

    def open(self, event: Request) -> None:
        """Take in a new request and start its first attempt."""
        context, settings = self._context, self._context.settings
        request = self._requests.add(event, settings.limits.max_attempts)
        is_known = event.is_retry or event.is_migrated
        context.arrivals.new_requests += not is_known
        self._selector.add_request(is_known)
        # The host's timeout may come late, or no attempt be active at all: an own timer guards the answer.
        context.set_request_timer(request, event.expires_us - context.now_us - 2 * settings.tick_us)
        self.place(request)

    def adopt(self, event: SessionAdopted) -> None:
        """Take in a session that was established before this instance started."""
        request = self._requests.add(event.request)
        request.attempts, request.is_established, request.is_attempt_active = 1, True, True
        self._context.arrivals.open_sessions += 1
        self._context.arrivals.adopted_sessions += 1
        if endpoint := self._context.model.endpoints.get(event.endpoint):
            self._requests.assign(request, endpoint)

    def place(self, request: RequestState) -> None:
        """Start the next attempt, or hold the request until an endpoint can take it."""
        context, settings = self._context, self._context.settings
        left_us = request.request.expires_us - context.now_us
        least_us = max(2 * settings.tick_us, self.usual_latency_us if request.attempts else 0)
        if left_us <= least_us or not self._retry_safety.may_start_attempt(request):
            self._give_up(request)
            return
        if context.throttle.is_closed():
            self._throttled[request.request.id] = None
            self._retry_later(request)
            return
        self._throttled.pop(request.request.id, None)
        endpoint = self._selector.choose(request)
        if request.candidates:
            return  # it waits for health checks
        is_overloaded = endpoint is not None and self._admission.is_overloaded(endpoint, request)
        if is_overloaded and request.possible_effect_endpoint is None:
            # A client that comes again at once finds no more room.
            share = context.rng.uniform(*RETRY_AFTER_SPAN)
            self._give_up(request, int(share * settings.limits.max_retry_after_us))
        elif endpoint is None or is_overloaded:
            request.tried_endpoints.clear()  # all were tried: the next draw may take one again
            self._retry_later(request)
        else:
            self._start(request, endpoint, left_us)

    def resume(self, requests: Iterable[RequestState]) -> None:
        """Place those of the requests whose health checks have all come."""
        for request in requests:
            if self._selector.has_fresh_candidates(request):
                self.place(request)

    def handle_timer(self, request_id: int) -> None:
        """Go on with a request whose timer has expired, or give it up at its deadline."""
        request = self._requests.by_id.get(request_id)
        if request is None or request.is_established or request.is_answered:
            return
        if request.request.expires_us - self._context.now_us <= 2 * self._context.settings.tick_us:
            self._give_up(request)
        elif not request.is_attempt_active:
            self.place(request)

    def establish(self, event: SessionEstablished) -> None:
        """Take the news that an attempt's session is established."""
        request = self._current(event.request_id, event.attempt)
        if request is None or request.is_established:
            return
        throttle = self._context.throttle
        request.is_established, request.established_us = True, self._context.now_us
        self._context.arrivals.open_sessions += 1
        throttle.established += 1
        self.usual_latency_us += LATENCY_WEIGHT * (event.latency_us - self.usual_latency_us)
        if request.endpoint is not None:
            request.endpoint.record_success()
        while self._throttled and not throttle.is_closed():  # those that have waited longest go on at once
            first = self._requests.by_id[next(iter(self._throttled))]
            del self._throttled[first.request.id]
            self.place(first)

    def end(self, event: AttemptEnded) -> None:
        """Take an attempt's result; retry the request if it is not over."""
        context = self._context
        endpoint = context.model.endpoints.get(event.endpoint)
        if endpoint is not None and event.load_report:
            context.model.learn(context.now_us, endpoint, event.load_report)
        request = self._current(event.request_id, event.attempt)
        if request is None:
            return
        request.is_attempt_active = False
        context.arrivals.open_sessions -= request.is_established
        self._requests.release(request)
        self._retry_safety.record_result(request, event.result)
        is_outlier = False
        if endpoint is not None:
            is_outlier = self._outliers.record_result(endpoint, event.result)
            self._note_early_reset(request, endpoint, event.result)
        if is_outlier or event.result in UNRELATED_TO_OTHERS:
            context.throttle.forgive_attempt()
        elif event.result == AttemptResult.TIMEOUT:
            self.usual_latency_us = min(self.usual_latency_us * LATENCY_BACKOFF, float(MAX_LATENCY_US))
        if event.is_final or request.is_answered:
            self._remove(request)
        elif event.result == AttemptResult.ERROR and not is_outlier:
            self._retry_later(request)
        else:
            self.place(request)

    def disconnect(self, event: ClientDisconnected) -> None:
        """Take the news that a client has left."""
        if request := self._requests.by_id.get(event.request_id):
            request.is_answered = True
            if not request.is_attempt_active:
                self._remove(request)

    def _current(self, request_id: int, attempt: int) -> RequestState | None:
        """The request whose active attempt this is."""
        request = self._requests.by_id.get(request_id)
        if request is None or not request.is_attempt_active or attempt != request.attempts - 1:
            return None
        return request

    def _start(self, request: RequestState, endpoint: EndpointState, left_us: int) -> None:
        """Start an attempt at an endpoint."""
        timeout_us = self._timeout_us(request, left_us)
        self._admission.charge(endpoint, request)
        self._context.throttle.attempts += 1
        request.attempts += 1
        request.is_attempt_active = True
        request.tried_endpoints.append(endpoint.id)
        self._retry_safety.record_attempt(request, endpoint)
        self._requests.assign(request, endpoint)
        # Clients of a lost endpoint come all at once: those placed a moment ago must count for the next.
        self._context.model.count_placed(endpoint, request.load)
        self._context.emit(StartAttempt(request.request.id, endpoint.id, timeout_us))

    def _timeout_us(self, request: RequestState, left_us: int) -> int:
        """The next attempt's timeout: all the time left, unless there is room for another attempt."""
        usual_us = TIMEOUT_FACTOR * self.usual_latency_us
        if request.attempts + 1 >= request.max_attempts or left_us <= usual_us:
            return left_us
        return int(clamp(usual_us, TIMEOUT_SPAN[0] * left_us, TIMEOUT_SPAN[1] * left_us))

    def _retry_later(self, request: RequestState) -> None:
        self._context.set_request_timer(request, self._context.rng.randint(*RETRY_DELAY_US))

    def _note_early_reset(self, request: RequestState, endpoint: EndpointState, result: int) -> None:
        """Hold an endpoint that drops a session at once for saturated: establishing it was for nothing."""
        age_us = self._context.now_us - request.established_us
        if result == AttemptResult.RESET and request.is_established and age_us < EARLY_RESET_US:
            self._context.throttle.revoke_established()
            self._context.model.raise_prediction(endpoint, SATURATED_LOAD)

    def _give_up(self, request: RequestState, retry_after_us: int = 0) -> None:
        """Give the final answer of a request that can't be served."""
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
