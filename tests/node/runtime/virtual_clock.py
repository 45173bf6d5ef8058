"""The node's clock on Twisted's clock for tests."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.task import Clock as TwistedClock

from stepflow.node.runtime.clock import Clock


class HandClock(Clock):
    """Tells the time of Twisted's clock for tests."""

    def __init__(self, reactor: TwistedClock) -> None:
        self._reactor = reactor

    def now(self) -> timedelta:
        return timedelta(seconds=self._reactor.seconds())
