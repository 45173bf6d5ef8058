"""Making one outgoing connection, with retries where only this machine has failed."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from stepflow.address import Address
from stepflow.node.runtime.connection import connect
from stepflow.node.runtime.transports import Connector, DelayedCall, Reactor
from stepflow.os_errors import CONNECT_RETRY_DELAY, LOCAL_CONNECT_ERRORS, errno_of


def _ignore_failure() -> None:
    """Do nothing: a connection that is adopted can't fail to come up."""


class Dialer(ClientFactory):
    """Connects one protocol that exists already. For an adopted connection it is only the factory.

    While a transient error of this machine prevents the connection (`LOCAL_CONNECT_ERRORS`), it dials again
    after `CONNECT_RETRY_DELAY`. It has no deadline: the owner sets one, and calls `cancel` then.

    `failed` is called once: when the endpoint can't be reached, or `cancel` was called before the connection
    came up. The protocol and the connector are kept only until then: the protocol's transport holds the
    connector, and that its factory, which would be a reference cycle.
    """

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[], None] = _ignore_failure) -> None:
        self._protocol: Protocol | None = protocol
        self._failed: Callable[[], None] | None = failed
        self._connector: Connector | None = None
        self._retry_call: DelayedCall | None = None

    def dial(self, reactor: Reactor, address: Address) -> None:
        """Begin to connect. `failed` may be called before this returns."""
        self._reactor = reactor
        self._connector = connect(reactor, address, self)

    def cancel(self) -> None:
        """Give up a connection that has not come up; `failed` is called before this returns."""
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._fail()
        elif self._connector is not None:
            self._connector.stopConnecting()

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:
        """Hand out the protocol: the connection is up."""
        protocol, self._protocol, self._failed, self._connector = self._protocol, None, None, None
        return protocol

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        """Dial again after an error of this machine; else report the failure."""
        if self._connector is not None and errno_of(reason.value) in LOCAL_CONNECT_ERRORS:
            self._retry_call = self._reactor.callLater(CONNECT_RETRY_DELAY.total_seconds(), self._retry_dial)
        else:
            self._fail()

    def clientConnectionLost(self, connector: Connector, reason: Failure) -> None:
        """Break the reference cycle of Twisted's connector and its transport."""
        connector.transport = None

    def _retry_dial(self) -> None:
        self._retry_call = None
        if self._connector is not None:
            self._connector.connect()

    def _fail(self) -> None:
        failed, self._protocol, self._failed, self._connector = self._failed, None, None, None
        self._retry_call = None
        if failed is not None:
            failed()
