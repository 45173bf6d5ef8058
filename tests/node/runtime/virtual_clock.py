"""The node's clock, driven by Twisted's test clock."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.task import Clock as TwistedClock

from stepflow.node.runtime.clock import Clock


class ManualClock(Clock):
    """A clock whose time is that of Twisted's test clock."""

    def __init__(self, reactor: TwistedClock) -> None:
        self._reactor = reactor

    def now(self) -> timedelta:
        return timedelta(seconds=self._reactor.seconds())
