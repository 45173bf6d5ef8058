"""The state of endpoints and requests that the other modules of the policy read and write.

Units: times are microseconds on the host's clock. Session loads are work per second in the unit of the
client's hint; endpoint loads are shares of capacity where load reports give them as such (see `load_model`).
"""

from __future__ import annotations

import math

from stepflow.interface import Endpoint, EndpointId, Request
from stepflow.rendezvous import hash_key

MIN_HEALTH = 0.02  # lower bound of the health of a failing endpoint
FAILURE_HEALTH_FACTOR = 0.3  # a failure multiplies the health by this
SUCCESS_HEALTH_GAIN = 0.2  # an established session adds this to the health


class EndpointState:
    """The state of one endpoint as this instance knows it.

    The fields are grouped by the module that writes them. A snapshot restores `cost`, `health`, `weight`,
    `error_sum`, `last_error` and `reported_us`. The endpoint list (`endpoint_list`) gives `zone`, `kind`,
    `cell`, `availability`, `started_us` (0 if unknown) and `size`.
    """

    def __init__(self, entry: Endpoint, slow_start_budget: float) -> None:
        self.id = entry.id
        self.key = hash_key(entry.id)
        """The endpoint's key in rendezvous hashing."""
        self.update_entry(entry)

        # Own sessions and attempts (requests).
        self.requests: dict[int, RequestState] = {}
        self.affinity_groups: dict[int, int] = {}  # number of own sessions and attempts by group
        self.load = 0.0  # sum of the requests' loads

        # Load model (load_model).
        self.load_history: list[float] = []  # the load at the last ticks, oldest first
        self.cost = 0.0  # learned load for each unit of session load
        self.predicted_load = 0.0
        self.placed_load = 0.0  # predicted load of the attempts since the last prediction or load report
        self.relative_size = 1.0  # size divided by the mean size
        self.reported_us = 0  # time of the last load report, 0 if there was none

        # PID controller (weights).
        self.weight = 1.0
        self.error_sum = 0.0
        self.last_error = 0.0

        # Factor of the weight. Results change it (the methods below), and it recovers over time (weights).
        self.health = 1.0

        # Outliers (outliers): counts of own attempts, which decay as fast as the attempt throttle's counts.
        self.established_count = 0.0
        self.failed_count = 0.0

        # Slow start (slow_start).
        self.slow_start_budget = slow_start_budget  # attempts that may be started while it warms up

        # Health checks and migration.
        self.checked_us = 0  # start of the last health check
        self.waiting_requests: list[RequestState] = []  # requests that wait for its health check
        self.message_delay_us = 0  # time of the last report of late messages
        self.migrated_us = 0  # time of the last migration of sessions off it

    def update_entry(self, entry: Endpoint) -> None:
        """Copy the fields of an endpoint list entry; a size that is not positive and finite counts as 1."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.availability, self.started_us = entry.availability, entry.started_us
        self.size = entry.size if math.isfinite(entry.size) and entry.size > 0 else 1.0

    def restart(self, slow_start_budget: float) -> None:
        """Reset the state that belongs to the endpoint's previous process."""
        self.reported_us = 0
        self.health = 1.0
        self.slow_start_budget = slow_start_budget

    def scale_load(self, factor: float) -> None:
        """Convert the loads of all own sessions to another unit."""
        self.load *= factor
        self.load_history = [load * factor for load in self.load_history]
        for request in self.requests.values():
            request.load *= factor

    def record_failure(self) -> None:
        """Lower the health after a failure; established sessions and time restore it."""
        self.health = max(MIN_HEALTH, self.health * FAILURE_HEALTH_FACTOR)

    def record_success(self) -> None:
        """Count an established session and raise the health."""
        self.health = min(1.0, self.health + SUCCESS_HEALTH_GAIN)
        self.established_count += 1


class RequestState:
    """The state of one request from its arrival to the end of its last attempt.

    `possible_effect_endpoint` is the first endpoint at which a request that is not idempotent may have run;
    it restricts retries (see `retry_safety`).
    """

    def __init__(self, request: Request, load: float, max_attempts: int = 1) -> None:
        self.request = request
        self.load = load
        self.max_attempts = max_attempts  # the limit in the settings when the request arrived
        self.attempts = 0  # number of attempts started
        self.is_attempt_active = False  # an attempt has started and not ended; it may be established
        self.is_established = False
        self.established_us = 0
        self.is_answered = False  # no further answer is due to the client
        self.endpoint: EndpointState | None = None  # endpoint of the active attempt
        self.tried_endpoints: list[EndpointId] = []
        self.candidates: list[EndpointState] = []  # drawn endpoints whose health checks it awaits
        self.preferred_endpoint: EndpointState | None = None  # first choice of its affinity group
        self.possible_effect_endpoint: EndpointState | None = None
        self.possible_effect_us = 0
        self.possible_effect_attempt = 0  # number of the attempt there, counted from 1
