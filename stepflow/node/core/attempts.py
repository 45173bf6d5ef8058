"""Starts attempts and handles their results.

The policy decides on each attempt, with one exception: a client that returns to the endpoint of its previous
session has chosen the endpoint itself. The policy receives such a request only once its session is
established; until then, this module retries the failed attempts.
"""

from __future__ import annotations

from datetime import timedelta

from stepflow.interface import AttemptEnded, AttemptResult, SessionAdopted, SessionEstablished
from stepflow.logs import get_logger
from stepflow.node.core.event_queue import EventQueue
from stepflow.node.core.interfaces import Attempt, RequestContext, Upstream
from stepflow.node.core.requests import RequestTable
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.timers import Timers

log = get_logger()

RETRY_PREVIOUS_AFTER = timedelta(milliseconds=250)  # delay of a retry at the endpoint of a previous session
RETRIED_RESULTS = frozenset({AttemptResult.CONNECT_FAILED, AttemptResult.FULL})


class AttemptRunner:
    """Runs the attempts of all requests, at most one at a time for each request."""

    def __init__(self, clock: Clock, timers: Timers, requests: RequestTable, events: EventQueue) -> None:
        self._clock, self._timers = clock, timers
        self._requests, self._events = requests, events
        self._upstream: Upstream

    def connect(self, upstream: Upstream) -> None:
        """Set the upstream that starts attempts. Call once, before the first attempt."""
        self._upstream = upstream

    def start(self, context: RequestContext, endpoint: str, timeout_us: int = 0) -> None:
        """Start an attempt.

        Its timeout is `timeout_us` (0: none), and at most the time until the request's deadline.
        """
        if context.attempt is not None:
            log.error("attempt refused, another attempt is active", request=context.id)
            return
        context.downstream.check_disconnected()
        now = self._clock.now()
        time_left_us = context.request.expires_us - micros(now)
        timeout_us = min(timeout_us, time_left_us) if timeout_us else time_left_us
        context.attempts += 1
        context.endpoint, context.attempt_started = endpoint, now
        if context.attempts > context.max_attempts or timeout_us <= 0 or context.answered:
            self.ended(context, AttemptResult.NOT_SENT)
            return
        timeout = timedelta(microseconds=timeout_us)
        self._requests.log.attempt_started(context, timeout)
        context.attempt = self._upstream.start_attempt(context, endpoint, timeout)
        if context.attempt is None:
            self.ended(context, AttemptResult.CONNECT_FAILED)

    def established(self, context: RequestContext, attempt: Attempt) -> None:
        """Handle an attempt whose endpoint accepted the session; abandon it if it is obsolete.

        An attempt is obsolete if the request has been answered or has another attempt.
        """
        if context.attempt is not attempt or context.answered:
            attempt.abandon()
            return
        self._requests.mark_established(context)
        if context.previous_endpoint:
            self._events.post(SessionAdopted(context.request, context.endpoint))
        else:
            latency_us = self._elapsed_us(context)
            self._events.post(
                SessionEstablished(context.id, context.attempts - 1, context.endpoint, latency_us)
            )
        context.downstream.session_established(attempt)

    def ended(
        self,
        context: RequestContext,
        result: AttemptResult,
        report: tuple[float, ...] = (),
        answer: bytes = b"",
    ) -> None:
        """Handle the end of an attempt, before or after its session was established; its socket is closed."""
        context.attempt = None
        if result == AttemptResult.FULL:  # the endpoint has turned it away
            context.possible_runs -= 1
        self._requests.log.attempt_ended(context, result)
        if result == AttemptResult.OK and not context.answered:
            self._requests.complete(context, answer)
        if context.previous_endpoint and not context.established:  # the policy doesn't know the request
            if not context.answered and not self._retry_previous(context, result):
                self._requests.fail(context)
        else:
            self._post_ended(context, result, report)
        self._requests.release(context)

    def _post_ended(self, context: RequestContext, result: AttemptResult, report: tuple[float, ...]) -> None:
        self._events.post(
            AttemptEnded(
                context.id,
                context.attempts - 1,
                context.endpoint,
                result,
                context.answered,
                self._elapsed_us(context),
                report,
            )
        )

    def _elapsed_us(self, context: RequestContext) -> int:
        """Return the microseconds since the latest attempt was started."""
        return micros(self._clock.now() - context.attempt_started)

    def _retry_previous(self, context: RequestContext, result: AttemptResult) -> bool:
        """Schedule a retry at the endpoint of the previous session; return False if no retry is allowed.

        After a node's start, all its clients return at once, and an endpoint may fail to serve some in time.
        """
        if result not in RETRIED_RESULTS or self._requests.shutting_down:
            return False
        retry_at = self._clock.now() + RETRY_PREVIOUS_AFTER
        if context.request.expires_us <= micros(retry_at) or context.attempts >= context.max_attempts:
            return False

        def retry() -> None:
            if not context.answered:
                self.start(context, context.previous_endpoint)

        self._timers.at(retry_at, retry)
        return True
