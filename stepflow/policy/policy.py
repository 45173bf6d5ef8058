"""The policy of one instance: dispatches each event by its type to the object that handles it."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    Request,
    SessionAdopted,
    SessionEstablished,
    SessionReport,
    SessionReportKind,
    Settings,
    Started,
    TimerFired,
)
from stepflow.policy.admission import Admission
from stepflow.policy.attempts import Attempts
from stepflow.policy.context import FIRST_REQUEST_TOKEN, POLL_TOKEN, TICK_TOKEN, PolicyContext
from stepflow.policy.endpoint_list import EndpointList
from stepflow.policy.health_checks import HealthChecks
from stepflow.policy.load_model import LoadModel
from stepflow.policy.migration import Migration
from stepflow.policy.outliers import OutlierDetector
from stepflow.policy.periodic import PeriodicTasks
from stepflow.policy.requests import RequestTable
from stepflow.policy.retry_safety import RetrySafety
from stepflow.policy.selection import Selector
from stepflow.policy.slow_start import SlowStart
from stepflow.policy.state import RequestState
from stepflow.policy.weights import WeightController


class Policy:
    """The decisions of one instance: events in, actions out. It reads no clock and does no I/O.

    `seed` determines all random draws: the same events at the same times lead to the same actions. `model`,
    `weights` and `migration` are public for snapshots, metrics and tests, which read the learned state.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        rng, self.model = random.Random(seed), LoadModel(settings)
        self._context = context = PolicyContext(settings, rng, self.model)
        self.weights = WeightController(settings, self.model, rng)
        self._request_table = RequestTable(self.model)
        self._retry_safety, outliers = RetrySafety(context), OutlierDetector(context)
        admission = Admission(context, SlowStart(context))
        self._health_checks = HealthChecks(context, self.weights)
        selector = Selector(context, self.weights, admission, self._health_checks, self._request_table)
        self._attempts = Attempts(
            context, self._request_table, selector, admission, self._retry_safety, outliers
        )
        self.migration = Migration(context, self._health_checks)
        self._endpoint_list = EndpointList(context, self.weights)
        self._periodic = PeriodicTasks(
            context, self.weights, outliers, admission, self._health_checks, self.migration
        )
        self._handlers: dict[type, Callable[..., None]] = {
            Started: self._handle_started,
            EndpointListUpdate: self._endpoint_list.update,
            Request: self._attempts.open,
            SessionAdopted: self._attempts.adopt,
            SessionEstablished: self._attempts.establish,
            SessionReport: self._handle_session_report,
            AttemptEnded: self._attempts.end,
            ClientDisconnected: self._attempts.disconnect,
            TimerFired: self._handle_timer,
            HealthCheckEnded: self._handle_health_check,
            PeerMessageReceived: self._ignore_peer_message,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at the time `now` and return the resulting actions, in order.

        Raises TypeError if `event` is not an event, and ValueError for a request of a class that the settings
        do not define.
        """
        handler = self._handlers.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of stepflow.interface: {event!r}")
        self._context.now_us = max(now, self._context.now_us)
        self._context.actions = []
        handler(event)
        return self._context.actions

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings. Classes keep their numbers, and open requests keep their limit of attempts."""
        self._context.settings = self.weights.settings = settings
        self.model.update_settings(settings)
        self.migration.update_settings(settings)

    def may_send_attempt(self, now: int, id: int) -> bool:
        """Return whether an attempt may still be sent, now that connecting has taken some time."""
        request = self.requests.get(id)
        return request is not None and self._retry_safety.may_send_attempt(request, now)

    def is_safe_to_reject(self, id: int) -> bool:
        """Return whether a request may be rejected, that is, whether a retry can't cause its effect twice."""
        request = self.requests.get(id)
        return request is None or self._retry_safety.is_safe_to_reject(request)

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self._context.settings

    @property
    def now_us(self) -> int:
        """The time of the last event."""
        return self._context.now_us

    @property
    def requests(self) -> dict[int, RequestState]:
        """The open requests by id."""
        return self._request_table.by_id

    @property
    def attempt_latency_us(self) -> float:
        """The smoothed latency of attempts; part of a snapshot."""
        return self._attempts.smoothed_latency_us

    @attempt_latency_us.setter
    def attempt_latency_us(self, value: float) -> None:
        self._attempts.smoothed_latency_us = value

    @property
    def check_latency_us(self) -> float:
        """The smoothed latency of health checks; part of a snapshot."""
        return self._health_checks.smoothed_latency_us

    @check_latency_us.setter
    def check_latency_us(self, value: float) -> None:
        self._health_checks.smoothed_latency_us = value

    def _handle_started(self, event: Started) -> None:
        self._periodic.start()
        self._endpoint_list.start()

    def _handle_session_report(self, event: SessionReport) -> None:
        request, value = self.requests.get(event.request_id), event.value
        if request is None or not request.is_established or not math.isfinite(value) or value < 0:
            return
        if event.kind == SessionReportKind.LOAD:
            self._request_table.update_load(request, value)
        elif event.kind == SessionReportKind.DELAY and request.endpoint is not None:
            self.migration.record_delay(request.endpoint, value)

    def _handle_timer(self, event: TimerFired) -> None:
        if event.token == TICK_TOKEN:
            self._periodic.run()
        elif event.token == POLL_TOKEN:
            self._endpoint_list.poll()
        else:
            self._attempts.handle_timer(event.token - FIRST_REQUEST_TOKEN)

    def _handle_health_check(self, event: HealthCheckEnded) -> None:
        endpoint = self._health_checks.finish(event)
        if endpoint is None:
            return
        if event.result == AttemptResult.OK:
            self.migration.watch_overloaded([endpoint])
        waiting, endpoint.waiting_requests = endpoint.waiting_requests, []
        self._attempts.resume(waiting)

    def _ignore_peer_message(self, event: PeerMessageReceived) -> None:
        """Ignore the message: no balancer's policy sends peer messages yet."""
