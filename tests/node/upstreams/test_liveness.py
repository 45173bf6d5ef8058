"""Stall detection at an endpoint that closes one of its sessions."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import cast

import pytest
from twisted.internet.task import Clock as TwistedClock

from stepflow.interface import Request
from stepflow.node.core import Core, Downstream, RequestContext
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.upstreams.liveness import LivenessMonitor, LivenessServices
from tests.node.runtime.virtual_clock import ManualClock
from tests.node.upstreams.test_session_reports import make_classifier


class FakeSession:
    """A session that counts how often it was ended as stalled."""

    def __init__(self) -> None:
        self.context = RequestContext(Request(1, 0, 0), cast(Downstream, None), endpoint="s-1")
        self.stalls = 0

    def endpoint_stalled(self) -> None:
        self.stalls += 1


@pytest.mark.parametrize("closed", [False, True])
def test_no_echo_is_expected_for_a_line_of_a_closed_session(closed: bool) -> None:
    """An endpoint may close a session on a bad line without an echo.

    That line was taken for a stall of the endpoint, and the endpoint's other, idle sessions were ended.
    """
    reactor = TwistedClock()
    clock = ManualClock(reactor)
    reports: list[object] = []
    core = cast(Core, SimpleNamespace(session_report=lambda *report: reports.append(report)))
    timers = Timers(clock, cast(Reactor, reactor), Counters())
    services = LivenessServices(clock, core, timers, make_classifier())
    monitor = LivenessMonitor(services, timedelta(milliseconds=16))
    bad, idle = FakeSession(), FakeSession()
    liveness = monitor.add(bad)
    assert monitor.add(idle) is liveness
    liveness.line_sent(bad, clock.now())
    if closed:
        liveness.remove(bad)
    reactor.advance(1.1)
    reactor.advance(1.1)
    assert idle.stalls == len(reports) == (0 if closed else 1)
