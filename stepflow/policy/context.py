"""The state that all modules of the policy share, and the tokens of the policy's timers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stepflow.budgets.attempt_throttle import AttemptThrottle
from stepflow.estimates.arrivals import ArrivalEstimate
from stepflow.interface import Action, SetTimer, Settings
from stepflow.policy.load_model import LoadModel
from stepflow.policy.state import RequestState

TICK_TOKEN = 0
POLL_TOKEN = 1
FIRST_REQUEST_TOKEN = 16  # the timer of request N has the token FIRST_REQUEST_TOKEN + N


@dataclass
class PolicyContext:
    """Settings, time, random numbers, estimates and pending actions of one policy.

    `now_us` is the time of the event that is being handled; `actions` holds the actions that it has caused so
    far, in order.
    """

    settings: Settings
    rng: random.Random
    model: LoadModel
    arrivals: ArrivalEstimate = field(default_factory=ArrivalEstimate)
    throttle: AttemptThrottle = field(default_factory=AttemptThrottle)
    now_us: int = 0
    actions: list[Action] = field(default_factory=list)

    def emit(self, action: Action) -> None:
        """Append an action for the host to carry out."""
        self.actions.append(action)

    def set_request_timer(self, request: RequestState, delay_us: int) -> None:
        """Set the timer of a request to expire after `delay_us`, or after 1 us if that is not positive."""
        self.emit(SetTimer(max(1, delay_us), FIRST_REQUEST_TOKEN + request.request.id))
