"""What all modules of the policy share: settings, the time, randomness, estimates, and the actions to return.

Also the tokens of the policy's timers.
"""

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
FIRST_REQUEST_TOKEN = 16  # the timers of request N have the token N more than this


@dataclass
class PolicyContext:
    """The shared part of one policy's state.

    `now_us` is the time of the event that is being handled, `actions` what it has led to so far, in order.
    """

    settings: Settings
    rng: random.Random
    model: LoadModel
    arrivals: ArrivalEstimate = field(default_factory=ArrivalEstimate)
    throttle: AttemptThrottle = field(default_factory=AttemptThrottle)
    now_us: int = 0
    actions: list[Action] = field(default_factory=list)

    def emit(self, action: Action) -> None:
        """Add an action to those that the host is to carry out."""
        self.actions.append(action)

    def set_request_timer(self, request: RequestState, delay_us: int) -> None:
        """Come back to a request after a while."""
        self.emit(SetTimer(max(1, delay_us), FIRST_REQUEST_TOKEN + request.request.id))
