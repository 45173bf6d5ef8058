"""The log of single requests, by the id that the client gave: its attempts, how it ended, and why.

At level debug each step of each request is logged. At any level a request that is answered after its client's
time is a warning: in good order there is none.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from stepflow.interface import AttemptResult, Request
from stepflow.logs import debugging, get_logger
from stepflow.node.runtime.clock import Clock, micros, millis
from stepflow.node.runtime.counters import Counters

log = get_logger()

OVERDUE_AFTER = timedelta(milliseconds=100)  # how long after its client's time an answer is logged as late


class LoggedRequest(Protocol):
    """What the log shows of a request."""

    request: Request
    client_request_id: str
    endpoint: str
    attempts: int


class RequestLog:
    """Logs the steps of requests, and counts retries and late answers.

    Each method is called for each request: what only the level debug shows must cost nothing at other levels.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock, self._counters = clock, counters

    def accepted(self, context: LoggedRequest) -> None:
        """A request is owed an answer from now on."""
        if debugging():
            log.debug(
                "request taken",
                request=context.client_request_id,
                waits_ms=millis(self._time_left(context)),
                retried=context.request.is_retry,
            )

    def not_accepted(self, client_request_id: str, reason: str) -> None:
        """A request was rejected without being accepted."""
        if debugging():
            log.debug("request turned away", request=client_request_id, why=reason)

    def attempt_started(self, context: LoggedRequest, wait: timedelta) -> None:
        """An attempt was started, which may take `wait`."""
        self._counters.retries += context.attempts > 1
        if debugging():
            log.debug(
                "attempt begun",
                request=context.client_request_id,
                peer=context.endpoint,
                attempt=context.attempts,
                waits_ms=millis(wait),
            )

    def attempt_ended(self, context: LoggedRequest, result: AttemptResult) -> None:
        """An attempt ended, before its session was established or after."""
        if debugging():
            log.debug(
                "attempt ended",
                request=context.client_request_id,
                peer=context.endpoint,
                attempt=context.attempts,
                result=result.name.lower(),
            )

    def answered(self, context: LoggedRequest, answer: str, reason: str) -> None:
        """A request has its final answer, or its client has left; `reason` names what decided it."""
        time_left = self._time_left(context)
        if time_left < -OVERDUE_AFTER:
            self._counters.overdue += 1
            log.warning("request answered late", **_answer_fields(context, answer, reason, time_left))
        elif debugging():
            log.debug("request answered", **_answer_fields(context, answer, reason, time_left))

    def _time_left(self, context: LoggedRequest) -> timedelta:
        """The time that the client still waits; negative once it is over."""
        return timedelta(microseconds=context.request.expires_us - micros(self._clock.now()))


def _answer_fields(
    context: LoggedRequest, answer: str, reason: str, time_left: timedelta
) -> dict[str, str | int]:
    """What is logged of an answer."""
    return {
        "request": context.client_request_id,
        "left_ms": millis(time_left),
        "answer": answer,
        "why": reason,
        "peer": context.endpoint,
        "attempts": context.attempts,
    }
