"""The state of endpoints and requests, which the other modules of the policy read and write.

Units: times are microseconds on the host's clock. Loads of sessions are work per second in the unit of the
client's hint; loads of endpoints are shares of capacity where load reports tell them so (see `load_model`).
"""

from __future__ import annotations

import math

from stepflow.interface import Endpoint, EndpointId, Request
from stepflow.rendezvous import hash_key

HEALTH_FLOOR = 0.02  # share of its weight that a failing endpoint keeps
HEALTH_AFTER_FAILURE = 0.3  # a failure leaves this share of it
HEALTH_PER_SUCCESS = 0.2  # an established session gives this back


class EndpointState:
    """What this instance knows of one endpoint.

    The fields stand in groups by the module that writes them; a snapshot restores `cost`, `health`, `weight`,
    `error_sum`, `last_error` and `seen_us`. Entry of the endpoint list (`endpoint_list`): `zone`, `kind`,
    `cell`, `availability`, `started_us` (0 where unknown) and `size`.
    """

    def __init__(self, entry: Endpoint, slow_start_budget: float) -> None:
        self.id = entry.id
        self.key = hash_key(entry.id)
        """Its number in rendezvous hashing."""
        self.update_entry(entry)

        # Own sessions and attempts (requests).
        self.requests: dict[int, RequestState] = {}
        self.affinity_groups: dict[int, int] = {}  # own sessions of each group
        self.load = 0.0  # sum of the requests' loads

        # Load model (load_model).
        self.load_history: list[float] = []  # the load at the last ticks, the oldest first
        self.cost = 0.0  # learned load for each unit of session load
        self.predicted_load = 0.0
        self.placed_load = 0.0  # predicted load of the attempts started since the prediction
        self.relative_size = 1.0  # size over the mean size
        self.reported_us = 0  # when the last load report came, 0 for never

        # PID controller (weights).
        self.weight = 1.0
        self.error_sum = 0.0
        self.last_error = 0.0

        # The share of its weight that it gets, by its results (the methods below) and by time (weights).
        self.health = 1.0

        # Outliers (outliers): results of own attempts, decaying as the throttle's.
        self.established_count = 0.0
        self.failed_count = 0.0

        # Slow start (slow_start).
        self.slow_start_budget = slow_start_budget  # attempts that may be sent to it while it warms up

        # Health checks and migration.
        self.checked_us = 0  # when the last health check began
        self.waiting_requests: list[RequestState] = []  # those that wait for a health check of it
        self.message_delay_us = 0  # when messages were last reported late
        self.migrated_us = 0  # when sessions were last migrated off it

    def update_entry(self, entry: Endpoint) -> None:
        """Take over its entry in the endpoint list; a size that makes no sense counts as 1."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.availability, self.started_us = entry.availability, entry.started_us
        self.size = entry.size if math.isfinite(entry.size) and entry.size > 0 else 1.0

    def restart(self, slow_start_budget: float) -> None:
        """Forget what was learned of the process that it ran before."""
        self.reported_us = 0
        self.health = 1.0
        self.slow_start_budget = slow_start_budget

    def scale_load(self, factor: float) -> None:
        """Bring all loads of own sessions into another unit."""
        self.load *= factor
        self.load_history = [load * factor for load in self.load_history]
        for request in self.requests.values():
            request.load *= factor

    def record_failure(self) -> None:
        """Take most of its weight; established sessions and time give it back."""
        self.health = max(HEALTH_FLOOR, self.health * HEALTH_AFTER_FAILURE)

    def record_success(self) -> None:
        """Count an established session."""
        self.health = min(1.0, self.health + HEALTH_PER_SUCCESS)
        self.established_count += 1


class RequestState:
    """One request from its arrival to the end of its last attempt.

    `possible_effect_endpoint` is where a request that is not idempotent may have run first; it restricts
    retries (see `retry_safety`).
    """

    def __init__(self, request: Request, load: float, max_attempts: int = 1) -> None:
        self.request = request
        self.load = load
        self.max_attempts = max_attempts  # the settings' when it came
        self.attempts = 0  # started so far
        self.is_attempt_active = False  # an attempt has not ended, whether established or not
        self.is_established = False
        self.established_us = 0
        self.is_answered = False  # the client is owed nothing more
        self.endpoint: EndpointState | None = None  # that of the active attempt
        self.tried_endpoints: list[EndpointId] = []
        self.candidates: list[EndpointState] = []  # drawn, and waiting for their health checks
        self.preferred_endpoint: EndpointState | None = None  # first choice of its affinity group
        self.possible_effect_endpoint: EndpointState | None = None
        self.possible_effect_us = 0
        self.possible_effect_attempt = 0  # the number of that attempt, from 1
