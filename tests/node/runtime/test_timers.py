"""Timers on a virtual clock."""

from __future__ import annotations

import time
from datetime import timedelta
from functools import partial
from typing import cast

from twisted.internet.task import Clock as TwistedClock

from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import MIN_CANCELLED_TO_COMPACT, Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.runtime.turn_budget import MAX_WORK_PER_TURN
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


def test_timers_that_are_due_together_fire_over_several_turns_in_order() -> None:
    """Guards against a crowd whose timers, due at once, hold up all sockets until the last one."""
    reactor = TwistedClock()
    timers = Timers(ManualClock(reactor), cast(Reactor, reactor), Counters())
    fired: list[int] = []

    def fire(number: int) -> None:
        fired.append(number)
        time.sleep(MAX_WORK_PER_TURN.total_seconds() / 4)

    for number in range(12):
        timers.after(timedelta(seconds=1), partial(fire, number))
    reactor.advance(1)
    most, before = 0, 0
    while len(fired) < 12:
        reactor.advance(0)
        most, before = max(most, len(fired) - before), len(fired)
    assert fired == list(range(12)) and most <= 4
    reactor.advance(10)
    assert not reactor.getDelayedCalls()
