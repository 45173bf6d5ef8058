"""Timers on a virtual clock."""

from __future__ import annotations

from datetime import timedelta
from typing import cast

from twisted.internet.task import Clock as TwistedClock

from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import MIN_CANCELLED_TO_COMPACT, Timers
from stepflow.node.runtime.transports import Reactor
from tests.node.runtime.virtual_clock import ManualClock


def test_timers_fire_in_order_through_one_delayed_call_of_the_reactor() -> None:
    reactor = TwistedClock()
    timers = Timers(ManualClock(reactor), cast(Reactor, reactor), Counters())
    fired: list[int] = []

    def fail() -> None:
        fired.append(0)
        raise RuntimeError("the other timers fire nevertheless")

    for second in (3, 1, 2):
        timers.after(timedelta(seconds=second), lambda second=second: fired.append(second))  # type: ignore[misc]
    timers.after(timedelta(seconds=1), fail)
    cancelled = [timers.after(timedelta(seconds=1), fail) for _ in range(2 * MIN_CANCELLED_TO_COMPACT)]
    for timer in cancelled:
        timer.cancel()
        timer.cancel()
    assert len(reactor.getDelayedCalls()) == 1
    reactor.advance(1.5)
    assert fired == [1, 0]
    reactor.advance(10)
    assert fired == [1, 0, 2, 3] and not reactor.getDelayedCalls()
