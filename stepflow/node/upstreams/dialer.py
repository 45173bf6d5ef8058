"""One connection being made, for a protocol that is there already."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.runtime.transports import Connector, DelayedCall, Reactor
from stepflow.node.upstreams.connection import connect
from stepflow.os_errors import CONNECT_RETRY_DELAY, LOCAL_CONNECT_ERRORS, errno_of


class Dial(ClientFactory):
    """Makes one connection; tries again while this machine alone keeps it from being made.

    `failed` is told once: when the other side can't be reached, or `stop` was called before the connection
    came up. It knows the protocol and the connector only until then, since the protocol's transport holds
    the connector, and that its factory: a ring that no count would free.
    """

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[], None]) -> None:
        self._protocol: Protocol | None = protocol
        self._failed: Callable[[], None] | None = failed
        self._connector: Connector | None = None
        self._again: DelayedCall | None = None

    def begin(self, reactor: Reactor, endpoint: Address) -> None:
        """Begin the connection; whoever owns it sets its deadline, and calls `stop` then."""
        self._reactor = reactor
        self._connector = connect(reactor, endpoint, self)

    def stop(self) -> None:
        """Give up a connection that has not come up; `failed` follows before this returns."""
        if self._again is not None:
            self._again.cancel()
            self._end()
        elif self._connector is not None:
            self._connector.stopConnecting()

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:
        protocol, self._protocol, self._failed, self._connector = self._protocol, None, None, None
        return protocol

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        if self._connector is not None and errno_of(reason.value) in LOCAL_CONNECT_ERRORS:
            self._again = self._reactor.callLater(CONNECT_RETRY_DELAY.total_seconds(), self._dial_again)
        else:
            self._end()

    def _dial_again(self) -> None:
        self._again = None
        if self._connector is not None:
            self._connector.connect()

    def _end(self) -> None:
        failed, self._protocol, self._failed, self._connector = self._failed, None, None, None
        self._again = None
        if failed is not None:
            failed()

    def clientConnectionLost(self, connector: Connector, reason: Failure) -> None:
        """Twisted's connector and its transport hold each other as well."""
        connector.transport = None
