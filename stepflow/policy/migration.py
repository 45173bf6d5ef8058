"""Migration: sessions are moved off overloaded endpoints, the least priority weight first.

An endpoint is watched when its messages are late or its load report shows an overload. All instances move
the same share of their own sessions there, as many as bring it down to `TARGET_LOAD`, if that is worth the
price. A draining endpoint keeps its sessions: moved by all instances at the news, they filled the rest
before its replacement came. Owns the endpoints' `message_delay_us` and `migrated_us`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stepflow.interface import EndpointId, MigrateSession, Settings
from stepflow.policy.context import PolicyContext
from stepflow.policy.health_checks import HealthChecks
from stepflow.policy.state import EndpointState

MIGRATIONS_PER_REQUEST = 4.0  # migrations for each new request: all migrated clients set up again
MIN_MAX_BUDGET = 3.0  # migrations that can be saved up, however few requests come
OVERLOADED_LOAD, TARGET_LOAD = (
    0.9,
    0.7,
)  # from which an endpoint is overloaded, and what it is brought down to
DELAY_REPORT_MEMORY_US = 2_500_000  # delays are reported once a second while messages take long
SETTLE_US = 2_000_000  # migrations show in reports after this; doing more before would empty the endpoint
GAIN_S = 5.0  # seconds of good service that a migration is held to win
MIN_REQUEST_RATE = 0.1  # a second, for the gain
RECHECK_US = 900_000  # between checks of a watched endpoint: reports are refreshed about once a second


class Migration:
    """Watches overloaded endpoints and moves sessions off them."""

    def __init__(self, context: PolicyContext, health_checks: HealthChecks) -> None:
        self._context, self._health_checks = context, health_checks
        self.watched: dict[EndpointId, EndpointState] = {}
        self._budget = 0.0
        self.update_settings(context.settings)

    def update_settings(self, settings: Settings) -> None:
        """Take settings, at the start or later."""
        objectives_ms = [
            cls.message_latency_objective_us / 1000
            for cls in settings.classes
            if cls.message_latency_objective_us > 0
        ]
        # Reports begin well below what any class feels.
        self._late_ms = min(objectives_ms, default=math.inf)

    def record_delay(self, endpoint: EndpointState, delay_ms: float) -> None:
        """Watch an endpoint at which messages take as long as this, if that is late for any class."""
        if delay_ms >= self._late_ms:
            endpoint.message_delay_us = self._context.now_us
            self.watched[endpoint.id] = endpoint

    def watch_overloaded(self, endpoints: Iterable[EndpointState]) -> None:
        """Watch those endpoints with own sessions that are held to be overloaded."""
        if self._context.model.reports_utilization:
            for endpoint in endpoints:
                if endpoint.predicted_load > OVERLOADED_LOAD and endpoint.requests:
                    self.watched[endpoint.id] = endpoint

    def run(self, seconds: float) -> None:
        """Migrate sessions off the watched endpoints, or check these, once for each tick."""
        arrivals, now_us = self._context.arrivals, self._context.now_us
        rate = arrivals.turnover() if arrivals.is_mostly_adopted() else arrivals.request_rate()
        max_budget = max(MIN_MAX_BUDGET, MIGRATIONS_PER_REQUEST * rate)
        self._budget = min(self._budget + MIGRATIONS_PER_REQUEST * rate * seconds, max_budget)
        is_worthwhile = self._is_worthwhile(rate)
        for endpoint in tuple(self.watched.values()):
            if self._is_relieved(endpoint):
                del self.watched[endpoint.id]
            elif is_worthwhile and self._has_settled_report(endpoint):
                endpoint.migrated_us = now_us
                self._migrate(endpoint, 1 - TARGET_LOAD / max(endpoint.predicted_load, TARGET_LOAD))
            elif max(endpoint.checked_us, endpoint.migrated_us) + RECHECK_US < now_us:
                self._health_checks.start(endpoint)

    def _is_worthwhile(self, rate: float) -> bool:
        """Whether the service won is worth the price, and migrated clients can set up again."""
        gain = GAIN_S * max(rate, MIN_REQUEST_RATE)
        price = self._context.settings.prices.moves * self._context.arrivals.open_sessions
        return price < gain and not self._context.throttle.is_closed()

    def _is_relieved(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint needs no more migrations, or has nothing to migrate."""
        has_late_messages = self._context.now_us - endpoint.message_delay_us <= DELAY_REPORT_MEMORY_US
        is_overloaded = endpoint.predicted_load >= OVERLOADED_LOAD
        return not (has_late_messages or is_overloaded) or not endpoint.requests

    def _has_settled_report(self, endpoint: EndpointState) -> bool:
        """Whether the last load report is recent, and shows the last migrations."""
        oldest_us = self._context.now_us - DELAY_REPORT_MEMORY_US
        return endpoint.migrated_us + SETTLE_US < endpoint.reported_us > oldest_us

    def _migrate(self, endpoint: EndpointState, share: float) -> None:
        """Migrate about this share of the own load at an endpoint."""
        settings = self._context.settings
        sessions = [r for r in endpoint.requests.values() if r.is_established and not r.is_answered]
        left = share * endpoint.load
        for session in sorted(
            sessions, key=lambda s: (settings.class_of(s.request).priority_weight, -s.load)
        ):
            if left <= 0 or self._budget < 1:
                return
            if self._context.rng.random() * session.load < left:
                self._budget -= 1
                session.is_answered = True
                self._context.emit(MigrateSession(session.request.id))
            left -= session.load
