"""Liveness of each endpoint: the latency of its echoes, and whether it sends echoes at all.

An endpoint that hangs sends no FIN, and a single session shows the hang late, since a client sends a line
only every 2 s. All sessions at the endpoint together show within a second that no echoes arrive. Only echoes
count: an endpoint that hangs may still report loads.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stepflow.interface import SessionReportKind
from stepflow.logs import get_logger
from stepflow.node.core import Core, RequestContext
from stepflow.node.runtime.clock import ZERO, Clock
from stepflow.node.runtime.timers import Timer, Timers
from stepflow.node.upstreams.session_reports import SessionReportClassifier

log = get_logger()

DELAY_REPORT_INTERVAL = timedelta(seconds=1)  # time between two delay reports for one endpoint
STALL_TIMEOUT = timedelta(seconds=2)  # an endpoint without an echo on any session for this time has stalled
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class LivenessServices:
    """The parts of the node that the liveness monitor uses and does not own."""

    clock: Clock
    core: Core
    timers: Timers
    classifier: SessionReportClassifier


class MonitoredSession(Protocol):
    """The part of a session that its endpoint's liveness uses."""

    @property
    def context(self) -> RequestContext:
        """The request that established the session."""

    def endpoint_stalled(self) -> None:
        """End this session: its endpoint has stalled."""


class EndpointLiveness:
    """Echo latency and stall detection over all sessions at one endpoint.

    An instance exists while the endpoint has sessions; `on_empty` is called when the last one is removed.
    """

    def __init__(
        self,
        services: LivenessServices,
        endpoint_id: str,
        latency_threshold: timedelta,
        on_empty: Callable[[], None],
    ) -> None:
        self._endpoint_id, self._on_empty = endpoint_id, on_empty
        self._clock, self._core, self._timers = services.clock, services.core, services.timers
        self._classifier = services.classifier
        self.latency_threshold = latency_threshold  # a mean echo latency above this is reported
        self._sessions: dict[MonitoredSession, None] = {}
        # The start of the current interval, the echoes in it, and whether the interval before was too slow.
        self._interval_began = services.clock.now()
        self._latency_sum, self._echoes, self._was_slow = ZERO, 0, False
        # The first line sent since the last echo, which has no echo yet: its time and its session.
        self._waiting_since: timedelta | None = None
        self._waiting_session: MonitoredSession | None = None
        self._timer: Timer | None = None

    def add(self, session: MonitoredSession) -> None:
        """Add a session."""
        self._sessions[session] = None

    def remove(self, session: MonitoredSession) -> None:
        """Remove a session that has ended; a second call for the same session is allowed."""
        self._sessions.pop(session, None)
        if session is self._waiting_session:  # its line gets no echo, whichever side closed the session
            self._waiting_since = self._waiting_session = None
        if not self._sessions:
            if self._timer is not None:
                self._timer.cancel()
            self._on_empty()

    def load_received(self, session: MonitoredSession, value: float) -> None:
        """Report the value that the endpoint sent to a session as `LOAD X`."""
        kind = self._classifier.classify(self._endpoint_id, self._clock.now(), value)
        self._core.session_report(session.context, kind, value)

    def line_sent(self, session: MonitoredSession, now: timedelta) -> None:
        """Record that a client's line was sent to the endpoint."""
        if self._waiting_since is None:
            self._waiting_since, self._waiting_session = now, session
            if self._timer is None:
                self._timer = self._timers.at(now + DELAY_REPORT_INTERVAL, self._check_stall)

    def echo_received(self, session: MonitoredSession, latency_sum: timedelta, count: int = 1) -> None:
        """Record the latency of an echo, or the sum of the latencies of `count` echoes that came together.

        As in the simulator, one session reports the mean latency once a second while the mean is above the
        threshold, and once more when the mean has fallen below it.
        """
        self._waiting_since = self._waiting_session = None
        now = self._clock.now()
        self._latency_sum, self._echoes = self._latency_sum + latency_sum, self._echoes + count
        if now - self._interval_began >= DELAY_REPORT_INTERVAL:
            mean = self._latency_sum / self._echoes
            is_slow = mean > self.latency_threshold
            if is_slow or self._was_slow:
                self._report_delay(session, mean)
            self._interval_began, self._was_slow = now, is_slow
            self._latency_sum, self._echoes = ZERO, 0

    def _report_delay(self, session: MonitoredSession, latency: timedelta) -> None:
        self._core.session_report(session.context, SessionReportKind.DELAY, latency / _MILLISECOND)

    def _check_stall(self) -> None:
        """Report a line without an echo after `DELAY_REPORT_INTERVAL`; end all sessions at the timeout."""
        self._timer = None
        if self._waiting_since is None:
            return
        waited = self._clock.now() - self._waiting_since
        if waited >= STALL_TIMEOUT:
            self._end_sessions()
            return
        next_check = DELAY_REPORT_INTERVAL
        # Reported before the stall timeout: the policy then checks the endpoint and sends it fewer requests.
        if waited >= DELAY_REPORT_INTERVAL:
            self._was_slow = True
            self._report_delay(next(iter(self._sessions)), waited)
            next_check = STALL_TIMEOUT
        self._timer = self._timers.at(self._waiting_since + next_check, self._check_stall)

    def _end_sessions(self) -> None:
        log.info("endpoint stalled", connections=len(self._sessions))
        self._waiting_since = self._waiting_session = None
        for session in tuple(self._sessions):
            session.endpoint_stalled()


class LivenessMonitor:
    """The liveness of all endpoints that have sessions, by endpoint id."""

    def __init__(self, services: LivenessServices, latency_threshold: timedelta) -> None:
        self._services, self._latency_threshold = services, latency_threshold
        self._endpoints: dict[str, EndpointLiveness] = {}

    def update_latency_threshold(self, latency_threshold: timedelta) -> None:
        """Use this threshold for the echo latency of all endpoints from now on."""
        self._latency_threshold = latency_threshold
        for liveness in self._endpoints.values():
            liveness.latency_threshold = latency_threshold

    def add(self, session: MonitoredSession) -> EndpointLiveness:
        """Add a session; return the liveness of its endpoint, shared by all its sessions."""
        endpoint_id = session.context.endpoint
        liveness = self._endpoints.get(endpoint_id)
        if liveness is None:

            def on_empty() -> None:
                self._endpoints.pop(endpoint_id, None)

            liveness = EndpointLiveness(self._services, endpoint_id, self._latency_threshold, on_empty)
            self._endpoints[endpoint_id] = liveness
        liveness.add(session)
        return liveness
