"""Liveness over all sessions at one endpoint: slow echoes are reported, missing echoes end all sessions."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import cast

import pytest
from twisted.internet.task import Clock as TwistedClock

from stepflow.interface import Request, SessionReportKind
from stepflow.node.core import Core, Downstream, RequestContext
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.upstreams.liveness import EndpointLiveness, LivenessMonitor, LivenessServices
from stepflow.node.upstreams.session_reports import SessionReportClassifier
from stepflow.settings import parse_node_settings
from tests.node_kit import SETTINGS

THRESHOLD = timedelta(milliseconds=16)
SLOW, FAST = timedelta(milliseconds=40), timedelta(milliseconds=4)


class VirtualNodeClock(Clock):
    def __init__(self, reactor: TwistedClock) -> None:
        self._reactor = reactor

    def now(self) -> timedelta:
        return timedelta(seconds=self._reactor.seconds())


class FakeSession:
    """A session that counts how often it was ended."""

    def __init__(self, number: int) -> None:
        self.context = RequestContext(Request(number, 0, 0), cast(Downstream, None), endpoint="s-1")
        self.ended = 0

    def endpoint_stalled(self) -> None:
        self.ended += 1


class LivenessHarness:
    """A liveness monitor on a virtual clock, with two sessions at one endpoint."""

    def __init__(self) -> None:
        self.reactor = TwistedClock()
        self.clock = VirtualNodeClock(self.reactor)
        self.reports: list[tuple[SessionReportKind, float]] = []
        core = cast(Core, SimpleNamespace(session_report=self._session_report))
        timers = Timers(self.clock, cast(Reactor, self.reactor), Counters())
        classifier = SessionReportClassifier(parse_node_settings(SETTINGS))
        self.monitor = LivenessMonitor(LivenessServices(self.clock, core, timers, classifier), THRESHOLD)
        self.sessions = [FakeSession(1), FakeSession(2)]
        self.liveness: list[EndpointLiveness] = [self.monitor.add(session) for session in self.sessions]

    def _session_report(self, context: RequestContext, kind: SessionReportKind, value: float) -> None:
        self.reports.append((kind, value))

    def send_line(self) -> None:
        self.liveness[0].line_sent(self.sessions[0], self.clock.now())

    def echo(self, latency: timedelta) -> None:
        self.liveness[0].echo_received(self.sessions[0], latency)

    def receive_echoes(self, seconds: float, latency: timedelta) -> None:
        """Receive an echo of this latency every 100 ms for this many seconds."""
        for _ in range(round(seconds * 10)):
            self.reactor.advance(0.1)
            self.echo(latency)


def test_slow_echoes_are_reported_once_a_second_and_once_more_when_fast_again() -> None:
    harness = LivenessHarness()
    harness.receive_echoes(1.05, FAST)
    assert harness.reports == []
    harness.receive_echoes(2.05, SLOW)
    assert [kind for kind, _ in harness.reports] == [SessionReportKind.DELAY] * 2
    harness.receive_echoes(3.05, FAST)
    values = [value for _, value in harness.reports]
    # The last report shows that the echoes are fast again.
    assert len(values) == 3 and values[0] > 16 and values[1] > 16 > values[2]


def test_a_raised_threshold_applies_to_existing_sessions() -> None:
    harness = LivenessHarness()
    harness.monitor.update_latency_threshold(2 * SLOW)
    harness.receive_echoes(3, SLOW)
    assert harness.reports == []


@pytest.mark.parametrize(("first_echo_s", "reported", "ended"), [(0.5, 0, 0), (1.5, 1, 0), (9.0, 1, 1)])
def test_a_line_without_an_echo_is_reported_after_1_s_and_ends_all_sessions_after_2_s(
    first_echo_s: float, reported: int, ended: int
) -> None:
    harness = LivenessHarness()
    harness.send_line()
    for _ in range(round(first_echo_s * 10)):
        harness.reactor.advance(0.1)
    harness.echo(FAST)
    harness.reactor.advance(5)
    waits = [value for kind, value in harness.reports if kind is SessionReportKind.DELAY and value >= 1000]
    assert len(waits) == reported
    assert [session.ended for session in harness.sessions] == [ended, ended]


def test_removing_the_last_session_drops_the_endpoint_and_cancels_its_timer() -> None:
    harness = LivenessHarness()
    harness.send_line()
    for session, liveness in zip(harness.sessions, harness.liveness, strict=True):
        liveness.remove(session)
    harness.reactor.advance(5)
    assert harness.reports == [] and [session.ended for session in harness.sessions] == [0, 0]
    assert harness.monitor.add(FakeSession(3)) is not harness.liveness[0]
