"""Migration: moves sessions off overloaded endpoints, lowest priority weight first.

An endpoint is watched if its messages are late or its predicted load shows an overload. Each instance
migrates the same share of its own sessions at the endpoint, enough to lower the load to `TARGET_LOAD`, if the
gain exceeds the price. Draining is no reason to migrate: when all instances migrated the sessions of a
draining endpoint at once, the other endpoints were full before its replacement had started. Owns the
endpoints' `message_delay_us` and `migrated_us`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stepflow.interface import EndpointId, MigrateSession, Settings
from stepflow.policy.context import PolicyContext
from stepflow.policy.health_checks import HealthChecks
from stepflow.policy.state import EndpointState

MIGRATIONS_PER_REQUEST = 4.0  # limits the rate, since every migrated client sets up a session again
MIN_BUDGET_CAP = 3.0  # lower bound of the number of migrations that can be saved up, for low request rates
# The load from which an endpoint is overloaded, and the load that migrations aim at.
OVERLOADED_LOAD, TARGET_LOAD = 0.9, 0.7
DELAY_REPORT_TTL_US = 2_500_000  # a report counts for this time; slow messages are reported once a second
# Load reports show migrations after this time; more migrations before it would empty the endpoint.
SETTLE_US = 2_000_000
MIGRATION_GAIN_S = 5.0  # seconds of good service that migrating is assumed to gain
MIN_REQUEST_RATE = 0.1  # lower bound of the requests a second from which the gain is calculated
# Time between checks of a watched endpoint; load reports change about once a second.
RECHECK_INTERVAL_US = 900_000


class Migration:
    """Watches overloaded endpoints and migrates sessions off them."""

    def __init__(self, context: PolicyContext, health_checks: HealthChecks) -> None:
        self._context, self._health_checks = context, health_checks
        self.watched: dict[EndpointId, EndpointState] = {}
        self._budget = 0.0
        self.update_settings(context.settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply settings, at the start or at a reload."""
        objectives_ms = [
            cls.message_latency_objective_us / 1000
            for cls in settings.classes
            if cls.message_latency_objective_us > 0
        ]
        # Delay reports begin well below the shortest objective, where migration is not needed.
        self._min_objective_ms = min(objectives_ms, default=math.inf)

    def record_delay(self, endpoint: EndpointState, delay_ms: float) -> None:
        """Watch an endpoint whose messages take `delay_ms`, if that is late for any class."""
        if delay_ms >= self._min_objective_ms:
            endpoint.message_delay_us = self._context.now_us
            self.watched[endpoint.id] = endpoint

    def watch_overloaded(self, endpoints: Iterable[EndpointState]) -> None:
        """Watch those of the endpoints that have own sessions and a predicted overload."""
        if self._context.model.reports_utilization:
            for endpoint in endpoints:
                if endpoint.predicted_load > OVERLOADED_LOAD and endpoint.requests:
                    self.watched[endpoint.id] = endpoint

    def run(self, seconds: float) -> None:
        """Migrate sessions off the watched endpoints or check them; runs at each tick."""
        arrivals, now_us = self._context.arrivals, self._context.now_us
        rate = arrivals.turnover() if arrivals.is_mostly_adopted() else arrivals.request_rate()
        max_budget = max(MIN_BUDGET_CAP, MIGRATIONS_PER_REQUEST * rate)
        self._budget = min(self._budget + MIGRATIONS_PER_REQUEST * rate * seconds, max_budget)
        is_worthwhile = self._is_worthwhile(rate)
        for endpoint in tuple(self.watched.values()):
            if self._is_relieved(endpoint):
                del self.watched[endpoint.id]
            elif is_worthwhile and self._has_settled_report(endpoint):
                endpoint.migrated_us = now_us
                self._migrate(endpoint, 1 - TARGET_LOAD / max(endpoint.predicted_load, TARGET_LOAD))
            elif max(endpoint.checked_us, endpoint.migrated_us) + RECHECK_INTERVAL_US < now_us:
                self._health_checks.start(endpoint)

    def _is_worthwhile(self, rate: float) -> bool:
        """Return whether the gain exceeds the price and the throttle lets migrated clients set up again."""
        gain = MIGRATION_GAIN_S * max(rate, MIN_REQUEST_RATE)
        price = self._context.settings.prices.moves * self._context.arrivals.open_sessions
        return price < gain and not self._context.throttle.is_limiting()

    def _is_relieved(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint needs no more migrations, or has no sessions to migrate."""
        has_late_messages = self._context.now_us - endpoint.message_delay_us <= DELAY_REPORT_TTL_US
        is_overloaded = endpoint.predicted_load >= OVERLOADED_LOAD
        return not (has_late_messages or is_overloaded) or not endpoint.requests

    def _has_settled_report(self, endpoint: EndpointState) -> bool:
        """Return whether the last load report is recent and shows the effect of the last migrations."""
        oldest_us = self._context.now_us - DELAY_REPORT_TTL_US
        return endpoint.migrated_us + SETTLE_US < endpoint.reported_us > oldest_us

    def _migrate(self, endpoint: EndpointState, share: float) -> None:
        """Migrate about `share` of the own load at an endpoint."""
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
