"""The periodic work, in this order: decay, budgets, weights, health checks, migrations."""

from __future__ import annotations

from stepflow.estimates.arrivals import SECOND_US
from stepflow.interface import SetTimer
from stepflow.policy.admission import Admission
from stepflow.policy.context import TICK_TOKEN, PolicyContext
from stepflow.policy.health_checks import HealthChecks
from stepflow.policy.migration import Migration
from stepflow.policy.numeric import clamp
from stepflow.policy.outliers import OutlierDetector
from stepflow.policy.weights import WeightController

TICK_US = 500_000  # time between ticks; load reports are at least this old
# A controller step does work for every endpoint, so few requests to many endpoints cause few steps.
STEP_US_PER_ENDPOINT = 8_000  # time between steps for each endpoint, at one request a second; half at two
MAX_STEP_US = 4_000_000
REQUEST_RATE_RANGE = (0.1, 2.0)  # range of the requests a second from which that time is calculated


class PeriodicTasks:
    """Runs the periodic work of all modules at each tick."""

    def __init__(
        self,
        context: PolicyContext,
        weights: WeightController,
        outliers: OutlierDetector,
        admission: Admission,
        health_checks: HealthChecks,
        migration: Migration,
    ) -> None:
        self._context, self._weights, self._outliers = context, weights, outliers
        self._admission, self._health_checks, self._migration = admission, health_checks, migration
        self._ticked_us = 0

    def start(self) -> None:
        """Set the first tick, at a random phase: instances that step at the same time oscillate together."""
        self._ticked_us = self._weights.stepped_us = self._context.now_us
        self._context.emit(SetTimer(self._context.rng.randrange(1, TICK_US), TICK_TOKEN))

    def run(self) -> None:
        """Do the work of a tick, and set the next tick."""
        context = self._context
        seconds = (context.now_us - self._ticked_us) / SECOND_US
        self._ticked_us = context.now_us
        context.emit(SetTimer(TICK_US, TICK_TOKEN))
        context.arrivals.decay(seconds)
        context.throttle.decay(seconds, context.arrivals.request_rate())
        self._outliers.decay(seconds)
        context.model.record_load_history()
        self._admission.update(seconds, self._weights.mean_load)
        self._step_weights()
        self._health_checks.run_rotation(seconds)
        self._migration.run(seconds)

    def _step_weights(self) -> None:
        """Run a step of the weight controller, if one is due."""
        context = self._context
        elapsed_us = context.now_us - self._weights.stepped_us
        rate = clamp(context.arrivals.request_rate(), *REQUEST_RATE_RANGE)
        if elapsed_us < min(STEP_US_PER_ENDPOINT * len(context.model.endpoints) / rate, MAX_STEP_US):
            return
        self._weights.step(context.now_us, elapsed_us / SECOND_US)
        if context.arrivals.is_mostly_adopted():
            # With few new requests, checks in rotation find an overload too late: watch these endpoints now.
            self._migration.watch_overloaded(self._weights.drawable)
