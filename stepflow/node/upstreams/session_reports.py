"""Classifies session reports as loads or delays. This module does no I/O and reads no clock.

If the settings say that endpoints report both, both arrive as `LOAD X`, since the protocol has no other word
(docs/fleet-test.md). A load is the session's load in microseconds of work per second, sent whenever it
changes. A delay is the latency of messages in milliseconds, sent once a second while the latency is high. A
delay of 20 classified as a load would mean a session with almost no load, just when its endpoint is
overloaded.
"""

from __future__ import annotations

import math
from datetime import timedelta

from stepflow.interface import SessionReportKind
from stepflow.settings import NodeSettings

DELAY_INTERVAL = timedelta(seconds=1)  # time between two delay reports of one endpoint
# The network and this process deliver reports up to this late or early.
INTERVAL_TOLERANCE = timedelta(milliseconds=40)
DELAY_EXPIRY = timedelta(seconds=10)  # an older delay report no longer predicts the time of the next one
MAX_TRACKED_ENDPOINTS = 1024  # at this number, endpoints with an expired delay are dropped
# Shares of the typical load. No session was seen with a load below NEGLIGIBLE_LOAD_SHARE, but most delays are
# below it. A value below SMALL_LOAD_SHARE is a delay too if it arrives a whole number of intervals after the
# last delay.
NEGLIGIBLE_LOAD_SHARE = 0.02
SMALL_LOAD_SHARE = 0.3
INITIAL_TYPICAL_LOAD = 1e4  # microseconds of work per second: 100 such sessions use one core
INITIAL_LOAD_WEIGHT = 8  # number of load reports that the initial typical load counts as
MIN_LEARNING_RATE = 0.01  # weight of a load report in the typical load, a mean of logarithms


class SessionReportClassifier:
    """Classifies the reports of all endpoints by their value and by the time since the endpoint's last delay.

    It owns the typical load, a geometric mean of the reported loads, and the time of each endpoint's last
    delay.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._log_typical_load, self._loads = math.log(INITIAL_TYPICAL_LOAD), 0
        self._last_delays: dict[str, timedelta] = {}
        self.update_settings(settings)

    def update_settings(self, settings: NodeSettings) -> None:
        """Apply settings, at the start or at a reload."""
        self._reports_load, self._reports_delay = settings.reports_load, settings.reports_delay

    def classify(self, endpoint_id: str, now: timedelta, value: float) -> SessionReportKind:
        """Return the kind of the value of a `LOAD X` from this endpoint; any float is accepted."""
        if not self._reports_delay:
            return SessionReportKind.LOAD
        if not self._reports_load:
            return SessionReportKind.DELAY
        share = value / math.exp(self._log_typical_load)
        is_small = share < SMALL_LOAD_SHARE
        if share < NEGLIGIBLE_LOAD_SHARE or (is_small and self._matches_interval(endpoint_id, now)):
            self._record_delay(endpoint_id, now)
            return SessionReportKind.DELAY
        self._learn_load(value)
        return SessionReportKind.LOAD

    def _learn_load(self, value: float) -> None:
        self._loads += 1
        if math.isfinite(value):
            rate = max(MIN_LEARNING_RATE, 1 / (self._loads + INITIAL_LOAD_WEIGHT))
            self._log_typical_load += (math.log(value) - self._log_typical_load) * rate

    def _matches_interval(self, endpoint_id: str, now: timedelta) -> bool:
        """Return whether a whole number of intervals has passed since the endpoint's last delay."""
        last = self._last_delays.get(endpoint_id)
        if last is None or now - last > DELAY_EXPIRY:
            return False
        elapsed = now - last
        offset = elapsed % DELAY_INTERVAL
        distance = min(offset, DELAY_INTERVAL - offset)
        return elapsed >= DELAY_INTERVAL - INTERVAL_TOLERANCE and distance <= INTERVAL_TOLERANCE

    def _record_delay(self, endpoint_id: str, now: timedelta) -> None:
        delays = self._last_delays
        if len(delays) >= MAX_TRACKED_ENDPOINTS and endpoint_id not in delays:
            delays = {name: at for name, at in delays.items() if now - at <= DELAY_EXPIRY}
            self._last_delays = delays
        if len(delays) < MAX_TRACKED_ENDPOINTS or endpoint_id in delays:
            delays[endpoint_id] = now
