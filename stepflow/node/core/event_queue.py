"""Feeds the policy: one event at a time, and the actions of each before the next."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from stepflow.interface import Action, Event, FailRequest, Request
from stepflow.logs import get_logger
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.counters import Counters
from stepflow.policy import Policy

log = get_logger()

EventRecorder = Callable[[int, Event, list[Action]], None]
"""Takes the time in microseconds of the node's clock, an event and the actions that it led to."""

ActionHandler = Callable[..., None]
"""Carries out an action of one type."""


class EventQueue:
    """Owns the policy's input: the events that wait, and the handlers of the actions that come out.

    Carrying out an action may bring about a further event. That one waits until all actions of the event at
    hand are done: the policy is never entered from within a decision.
    """

    def __init__(self, policy: Policy, clock: Clock, counters: Counters) -> None:
        self._policy, self._clock, self._counters = policy, clock, counters
        self._events: deque[Event] = deque()
        self._handlers: dict[type, ActionHandler] = {}
        self._is_handling = False
        self.recorder: EventRecorder | None = None

    def register(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Have actions of these types carried out by these handlers; each type needs one."""
        self._handlers.update(handlers)

    def post(self, event: Event) -> None:
        """Hand an event to the policy, now or once the actions of the event at hand are done."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        now_us = micros(self._clock.now())
        try:
            actions = self._policy.handle(now_us, event)
        except Exception:
            # The node survives a fault of the policy, and the request at hand still gets its answer.
            self._counters.faults += 1
            log.exception("the decision module failed", on=repr(event))
            actions = _fail_request_of(event)
        if self.recorder is not None:
            self.recorder(now_us, event, actions)
        for action in actions:
            self._handlers[type(action)](action)


def _fail_request_of(event: Event) -> list[Action]:
    """The action that fails the request which an event is about, if it is about one."""
    request_id = event.id if isinstance(event, Request) else getattr(event, "request_id", None)
    return [FailRequest(request_id)] if isinstance(request_id, int) else []
