"""The pool of connections to endpoints."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from stepflow.address import Address
from stepflow.interface import AttemptResult
from stepflow.node.core import Core, RequestContext
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor, family
from stepflow.node.upstreams.attempt import UpstreamAttempt
from stepflow.node.upstreams.connection import adopt
from stepflow.node.upstreams.dialer import Dial
from stepflow.node.upstreams.health_check import HealthCheckConnection
from stepflow.settings import NodeSettings


def _nothing() -> None:
    """What follows a connection's failure where it has been made already."""


class AddressBook(Protocol):
    """Where the peers are."""

    def address_of(self, peer: str) -> Address | None: ...


class UpstreamConnections:
    """The node's uplink: makes attempts and keeps the probes' connections."""

    def __init__(
        self,
        reactor: Reactor,
        core: Core,
        clock: Clock,
        deadlines: Timers,
        counters: Counters,
        directory: AddressBook,
        settings: NodeSettings,
    ) -> None:
        self.reactor, self.core, self.clock, self.deadlines = reactor, core, clock, deadlines
        self.counters, self.directory, self.settings = counters, directory, settings
        self._links: dict[str, HealthCheckConnection] = {}
        self.attempts = 0  # sockets of attempts, from the first SYN until they are closed

    @property
    def health_check_connections(self) -> int:
        """Sockets of probes."""
        return len(self._links)

    def start_attempt(self, context: RequestContext, peer: str, wait: timedelta) -> UpstreamAttempt | None:
        endpoint = self.directory.address_of(peer)
        if endpoint is None:
            return None
        attempt = UpstreamAttempt(self, context, wait)
        attempt.dial(endpoint)
        return attempt

    def adopt_session(self, context: RequestContext, descriptor: int) -> UpstreamAttempt:
        """An attempt that came up in the process before this one."""
        attempt = UpstreamAttempt(self, context, timedelta(0))
        attempt.stand()
        adopt(self.reactor, descriptor, family(descriptor), Dial(attempt, _nothing))
        return attempt

    def start_health_check(self, peer: str) -> None:
        endpoint = self.directory.address_of(peer)
        if endpoint is None:
            self.core.health_check_ended(peer, AttemptResult.CONNECT_FAILED, timedelta(0))
            return
        link = self._links.get(peer)
        if link is None or link.endpoint != endpoint:
            if link is not None:
                link.close()
            link = self._links[peer] = HealthCheckConnection(self, peer, endpoint)
        if not link.busy:  # else the answer to the one that is out will do
            self.counters.probes += 1
            link.probe()

    def close_idle(self, peer: str) -> None:
        link = self._links.get(peer)
        if link is not None and not link.busy:
            link.close()

    def dropped(self, link: HealthCheckConnection) -> None:
        """A probes' connection is closed."""
        if self._links.get(link.peer) is link:
            del self._links[link.peer]

    def close(self) -> None:
        for link in tuple(self._links.values()):
            link.close()
