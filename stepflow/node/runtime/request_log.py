"""Logs the attempts of each request, its final answer and the reason, under the id that the client gave.

At level debug each step of each request is logged. A request answered over `OVERDUE_AFTER` after its client's
deadline is logged as a warning at any level; in normal operation there is none.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from stepflow.interface import AttemptResult, Request
from stepflow.logs import debugging, get_logger
from stepflow.node.runtime.clock import Clock, micros, millis
from stepflow.node.runtime.counters import Counters

log = get_logger()

OVERDUE_AFTER = timedelta(milliseconds=100)  # after the client's deadline; a later answer is logged


class LoggedRequest(Protocol):
    """The attributes of a request that are logged."""

    request: Request
    client_request_id: str
    endpoint: str
    attempts: int


class RequestLog:
    """Logs the steps of requests, and counts retries and late answers.

    The methods are called for every request, so fields that only level debug logs are computed only there.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock, self._counters = clock, counters

    def accepted(self, context: LoggedRequest) -> None:
        """Log that a request was accepted and is to be answered."""
        if debugging():
            log.debug(
                "request accepted",
                request=context.client_request_id,
                waits_ms=millis(self._time_left(context)),
                retried=context.request.is_retry,
            )

    def not_accepted(self, client_request_id: str, reason: str) -> None:
        """Log that a request was rejected before it was accepted."""
        if debugging():
            log.debug("request not accepted", request=client_request_id, why=reason)

    def attempt_started(self, context: LoggedRequest, timeout: timedelta) -> None:
        """Count a retry, and log that an attempt with this timeout was started."""
        self._counters.retries += context.attempts > 1
        if debugging():
            log.debug(
                "attempt started",
                request=context.client_request_id,
                peer=context.endpoint,
                attempt=context.attempts,
                waits_ms=millis(timeout),
            )

    def attempt_ended(self, context: LoggedRequest, result: AttemptResult) -> None:
        """Log the end of an attempt, before or after its session was established."""
        if debugging():
            log.debug(
                "attempt ended",
                request=context.client_request_id,
                peer=context.endpoint,
                attempt=context.attempts,
                result=result.name.lower(),
            )

    def answered(self, context: LoggedRequest, answer: str, reason: str) -> None:
        """Log the final answer of a request, or that its client left; `reason` names the cause."""
        time_left = self._time_left(context)
        if time_left < -OVERDUE_AFTER:
            self._counters.overdue += 1
            log.warning("request answered late", **_answer_fields(context, answer, reason, time_left))
        elif debugging():
            log.debug("request answered", **_answer_fields(context, answer, reason, time_left))

    def _time_left(self, context: LoggedRequest) -> timedelta:
        """The time until the client's deadline; negative after it."""
        return timedelta(microseconds=context.request.expires_us - micros(self._clock.now()))


def _answer_fields(
    context: LoggedRequest, answer: str, reason: str, time_left: timedelta
) -> dict[str, str | int]:
    """The logged fields of an answer."""
    return {
        "request": context.client_request_id,
        "left_ms": millis(time_left),
        "answer": answer,
        "why": reason,
        "peer": context.endpoint,
        "attempts": context.attempts,
    }
