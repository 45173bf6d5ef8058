"""Passes events to the policy one at a time, and carries out each event's actions before the next event."""

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
"""Called with the node's time in microseconds, an event and the resulting actions."""

ActionHandler = Callable[..., None]
"""Carries out an action of one type."""


class EventQueue:
    """Owns the queued events and the handlers of the policy's actions.

    Carrying out an action may post a further event. That event stays queued until all actions of the current
    event have been carried out, so the policy is never called re-entrantly.
    """

    def __init__(self, policy: Policy, clock: Clock, counters: Counters) -> None:
        self._policy, self._clock, self._counters = policy, clock, counters
        self._events: deque[Event] = deque()
        self._handlers: dict[type, ActionHandler] = {}
        self._is_handling = False
        self.recorder: EventRecorder | None = None

    def register(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Register the handler of each action type; every type needs a handler."""
        self._handlers.update(handlers)

    def post(self, event: Event) -> None:
        """Pass an event to the policy, now or once the actions of the current event have been carried out."""
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
            # An exception in the policy must not stop the node, and the request still needs an answer.
            self._counters.faults += 1
            log.exception("policy failed", on=repr(event))
            actions = _fail_request_of(event)
        if self.recorder is not None:
            self.recorder(now_us, event, actions)
        for action in actions:
            self._handlers[type(action)](action)


def _fail_request_of(event: Event) -> list[Action]:
    """Return the action that fails an event's request, or no action if the event has no request."""
    request_id = event.id if isinstance(event, Request) else getattr(event, "request_id", None)
    return [FailRequest(request_id)] if isinstance(request_id, int) else []
