"""The latency of echoes, over all sessions of an endpoint."""

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
from tests.node.runtime.virtual_clock import HandClock
from tests.node.upstreams.test_session_reports import reader


class Session:
    """A standing connection, as its endpoint's liveness sees it."""

    def __init__(self) -> None:
        self.context = RequestContext(Request(1, 0, 0), cast(Downstream, None), endpoint="s-1")
        self.hung = 0

    def upstream_stalled(self) -> None:
        self.hung += 1


@pytest.mark.parametrize("closed", [False, True])
def test_a_line_whose_connection_is_closed_waits_for_no_echo(closed: bool) -> None:
    """A peer closes on a bad client's line; its other, quiet clients were sent away as from a hung one."""
    reactor = TwistedClock()
    clock = HandClock(reactor)
    notes: list[object] = []
    core = cast(Core, SimpleNamespace(session_report=lambda *told: notes.append(told)))
    timers = Timers(clock, cast(Reactor, reactor), Counters())
    services = LivenessServices(clock, core, timers, reader())
    monitor = LivenessMonitor(services, timedelta(milliseconds=16))
    bad, quiet = Session(), Session()
    liveness = monitor.add(bad)
    assert monitor.add(quiet) is liveness
    liveness.line_sent(bad, clock.now())
    if closed:
        liveness.remove(bad)
    reactor.advance(1.1)
    reactor.advance(1.1)
    assert quiet.hung == len(notes) == (0 if closed else 1)
