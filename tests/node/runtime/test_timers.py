"""Timers on a virtual clock."""

from __future__ import annotations

from datetime import timedelta
from typing import cast

from twisted.internet.task import Clock as TwistedClock

from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import COMPACT_FROM, Timers
from stepflow.node.runtime.transports import Reactor
from tests.node.runtime.virtual_clock import HandClock


def test_deadlines_come_in_order_through_one_call_of_the_reactor() -> None:
    reactor = TwistedClock()
    deadlines = Timers(HandClock(reactor), cast(Reactor, reactor), Counters())
    came: list[int] = []

    def fail() -> None:
        came.append(0)
        raise RuntimeError("a fault must not hold up the others")

    for second in (3, 1, 2):
        deadlines.after(timedelta(seconds=second), lambda second=second: came.append(second))  # type: ignore[misc]
    deadlines.after(timedelta(seconds=1), fail)
    off = [deadlines.after(timedelta(seconds=1), fail) for _ in range(2 * COMPACT_FROM)]
    for deadline in off:
        deadline.cancel()
        deadline.cancel()
    assert len(reactor.getDelayedCalls()) == 1
    reactor.advance(1.5)
    assert came == [1, 0]
    reactor.advance(10)
    assert came == [1, 0, 2, 3] and not reactor.getDelayedCalls()
