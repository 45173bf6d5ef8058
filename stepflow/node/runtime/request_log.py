"""The log of single requests, by the id that the client gave: what was begun, how it ended, and why.

At level debug each step of each request is told. At any level a request that is answered after its client's
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

OVERDUE = timedelta(milliseconds=100)  # after its client's time an answer is late enough to be told


class LoggedRequest(Protocol):
    """What the log tells of a request."""

    request: Request
    client_request_id: str
    endpoint: str
    attempts: int


class RequestLog:
    """Tells the steps of requests, and counts retries and late answers."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock, self._counters = clock, counters

    def accepted(self, context: LoggedRequest) -> None:
        """A request is owed an answer from now on."""
        if debugging():
            wait = millis(self._left(context))
            log.debug(
                "request taken",
                request=context.client_request_id,
                waits_ms=wait,
                retried=context.request.is_retry,
            )

    def not_accepted(self, name: str, why: str) -> None:
        """A request was refused without being taken."""
        if debugging():
            log.debug("request turned away", request=name, why=why)

    def attempt_started(self, context: LoggedRequest, wait: timedelta) -> None:
        """An attempt goes to a peer."""
        self._counters.retries += context.attempts > 1
        if debugging():
            told = {"peer": context.endpoint, "attempt": context.attempts, "waits_ms": millis(wait)}
            log.debug("attempt begun", request=context.client_request_id, **told)

    def attempt_ended(self, context: LoggedRequest, result: AttemptResult) -> None:
        """An attempt is over, before or after it came up."""
        if debugging():
            told = {"peer": context.endpoint, "attempt": context.attempts, "result": result.name.lower()}
            log.debug("attempt ended", request=context.client_request_id, **told)

    def answered(self, context: LoggedRequest, answer: str, why: str) -> None:
        """A request has its final answer, or its client has left; `why` names what decided it."""
        left = self._left(context)
        if left < -OVERDUE:
            self._counters.overdue += 1
            self._tell("warning", "request answered late", context, answer, why, left)
        elif debugging():
            self._tell("debug", "request answered", context, answer, why, left)

    def _left(self, context: LoggedRequest) -> timedelta:
        """The time that the client still waits."""
        return timedelta(microseconds=context.request.expires_us - micros(self._clock.now()))

    @staticmethod
    def _tell(level: str, event: str, context: LoggedRequest, answer: str, why: str, left: timedelta) -> None:
        told = {"answer": answer, "why": why, "peer": context.endpoint, "attempts": context.attempts}
        getattr(log, level)(event, request=context.client_request_id, left_ms=millis(left), **told)
