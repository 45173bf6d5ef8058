"""Opens one outgoing connection, and retries if a transient error of this machine prevents it."""

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
    """Do nothing: an adopted connection is already established and can't fail to connect."""


class Dialer(ClientFactory):
    """Connects one existing protocol. For an adopted connection the dialer is only Twisted's factory.

    If a transient error of this machine prevents the connection (`LOCAL_CONNECT_ERRORS`), the dialer retries
    after `CONNECT_RETRY_DELAY`. It has no deadline: the owner sets one and calls `cancel` when it expires.

    `failed` is called once: when the endpoint can't be reached, or when `cancel` is called before the
    connection is established. The dialer drops the protocol and the connector once the connect has succeeded
    or failed, to avoid a reference cycle: the protocol's transport holds the connector, which holds its
    factory.
    """

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[], None] = _ignore_failure) -> None:
        self._protocol: Protocol | None = protocol
        self._failed: Callable[[], None] | None = failed
        self._connector: Connector | None = None
        self._retry_call: DelayedCall | None = None

    def dial(self, reactor: Reactor, address: Address) -> None:
        """Start to connect. `failed` may be called before this returns."""
        self._reactor = reactor
        self._connector = connect(reactor, address, self)

    def cancel(self) -> None:
        """Cancel a connect that has not succeeded; `failed` is called before this returns."""
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._fail()
        elif self._connector is not None:
            self._connector.stopConnecting()

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:
        """Return the protocol: the connection is established."""
        protocol, self._protocol, self._failed, self._connector = self._protocol, None, None, None
        return protocol

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        """Retry after a transient error of this machine; report any other failure."""
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
