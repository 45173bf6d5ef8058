"""Tells the two kinds of session reports apart. Pure: numbers and times in, kinds out.

Where the settings say that endpoints report both, both come as `LOAD X`: there is no other word
(docs/fleet-test.md). The one is the session's load, in microseconds of work a second, sent whenever it
changes; the other the latency of messages, in milliseconds, sent once a second while messages take long.
Taken for a load, a latency of 20 says that a session asks for next to nothing, at the very time when its
endpoint is overloaded.
"""

from __future__ import annotations

import math
from datetime import timedelta

from stepflow.interface import SessionReportKind
from stepflow.settings import NodeSettings

DELAY_INTERVAL = timedelta(seconds=1)  # between two reports of a delay by one endpoint
INTERVAL_TOLERANCE = timedelta(milliseconds=40)  # the network and this process bring them this late or early
DELAY_EXPIRY = timedelta(seconds=10)  # a report of a delay says nothing of the interval after so long
MAX_TRACKED_ENDPOINTS = 1024  # before those whose last delay has expired are dropped
# Shares of the typical load. No session was seen to ask for less than the first, but a delay mostly is less;
# in step with the interval, what is under the second is a delay too.
NEGLIGIBLE_LOAD_SHARE = 0.02
SMALL_LOAD_SHARE = 0.3
INITIAL_TYPICAL_LOAD = 1e4  # in microseconds a second: 100 sessions to a core
INITIAL_LOAD_WEIGHT = 8  # reports of a load that the initial one counts as
MIN_LEARNING_RATE = 0.01  # share of a reported load in the typical one, in the mean of logarithms


class SessionReportClassifier:
    """Classifies the reports of all endpoints by their size, and by the interval since the last delay.

    It owns the typical load, a geometric mean of the loads so far, and the time of each endpoint's last
    delay.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._log_typical_load, self._loads = math.log(INITIAL_TYPICAL_LOAD), 0
        self._last_delays: dict[str, timedelta] = {}
        self.update_settings(settings)

    def update_settings(self, settings: NodeSettings) -> None:
        """Take settings, at the start or later."""
        self._reports_load, self._reports_delay = settings.reports_load, settings.reports_delay

    def classify(self, endpoint_id: str, now: timedelta, value: float) -> SessionReportKind:
        """Decide what the value of a `LOAD X` from this endpoint is; any float may come."""
        if not self._reports_delay:
            return SessionReportKind.LOAD
        if not self._reports_load:
            return SessionReportKind.DELAY
        share = value / math.exp(self._log_typical_load)
        is_small = share < SMALL_LOAD_SHARE
        if share < NEGLIGIBLE_LOAD_SHARE or (is_small and self._in_step(endpoint_id, now)):
            self._note_delay(endpoint_id, now)
            return SessionReportKind.DELAY
        self._learn_load(value)
        return SessionReportKind.LOAD

    def _learn_load(self, value: float) -> None:
        self._loads += 1
        if math.isfinite(value):
            rate = max(MIN_LEARNING_RATE, 1 / (self._loads + INITIAL_LOAD_WEIGHT))
            self._log_typical_load += (math.log(value) - self._log_typical_load) * rate

    def _in_step(self, endpoint_id: str, now: timedelta) -> bool:
        """Whether a whole number of intervals has passed since the endpoint's last delay."""
        last = self._last_delays.get(endpoint_id)
        if last is None or now - last > DELAY_EXPIRY:
            return False
        elapsed = now - last
        offset = elapsed % DELAY_INTERVAL
        distance = min(offset, DELAY_INTERVAL - offset)
        return elapsed >= DELAY_INTERVAL - INTERVAL_TOLERANCE and distance <= INTERVAL_TOLERANCE

    def _note_delay(self, endpoint_id: str, now: timedelta) -> None:
        delays = self._last_delays
        if len(delays) >= MAX_TRACKED_ENDPOINTS and endpoint_id not in delays:
            delays = {name: at for name, at in delays.items() if now - at <= DELAY_EXPIRY}
            self._last_delays = delays
        if len(delays) < MAX_TRACKED_ENDPOINTS or endpoint_id in delays:
            delays[endpoint_id] = now
