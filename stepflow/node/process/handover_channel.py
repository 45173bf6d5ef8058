"""One end of the channel between the two processes of a node: a Unix socket with lines and descriptors.

Responsible for framing: it reads and writes lines, and passes descriptors in the order in which they come,
each before the line that speaks of it. Owns its transport; what the lines mean is the matter of `Handover`. A
line that is no JSON object ends the channel. Lengths are in bytes.
"""

from __future__ import annotations

from typing import Any, Protocol, cast

from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from stepflow.node.process.handover_messages import (
    HandoverMessageError,
    HandoverState,
    Message,
    decode_line,
    encode_message,
)
from stepflow.node.runtime.transports import UnixTransport

MAX_LINE_BYTES = 1 << 22  # the endpoint list of a large fleet is in one line


class ChannelOwner(Protocol):
    """Who hears of the channel's events."""

    def channel_connected(self, channel: HandoverChannel) -> None:
        """The channel is up."""

    def channel_failed(self) -> None:
        """No process listens on the path any more."""

    def descriptor_received(self, descriptor: int) -> None:
        """A descriptor has come, to be closed by the owner."""

    def line_received(self, channel: HandoverChannel, fields: dict[str, Any]) -> None:
        """A message has come, as a JSON object."""

    def channel_lost(self, channel: HandoverChannel) -> None:
        """The channel has ended."""


@implementer(IFileDescriptorReceiver)
class HandoverChannel(LineReceiver):
    """One end of the channel."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, owner: ChannelOwner) -> None:
        self._owner = owner

    @property
    def _wire(self) -> UnixTransport:
        return cast(UnixTransport, self.transport)

    def send(self, message: HandoverState | Message) -> None:
        """Write a message; descriptors that belong to it are sent before."""
        self._wire.write(encode_message(message) + self.delimiter)

    def send_descriptor(self, descriptor: int) -> None:
        """Pass a descriptor with the next bytes written."""
        self._wire.sendFileDescriptor(descriptor)

    def close(self) -> None:
        """End the channel once all is written."""
        self._wire.loseConnection()

    def connectionMade(self) -> None:
        """Tell the owner."""
        self._owner.channel_connected(self)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Hand the descriptor to the owner."""
        self._owner.descriptor_received(descriptor)

    def lineReceived(self, line: bytes) -> None:
        """Hand the message to the owner."""
        try:
            fields = decode_line(line)
        except HandoverMessageError:
            self.close()
            return
        self._owner.line_received(self, fields)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the owner."""
        self._owner.channel_lost(self)


class HandoverChannelFactory(ClientFactory):
    """Makes the channel's end, of the process that listens as of the one that connects."""

    noisy = False

    def __init__(self, owner: ChannelOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: object) -> HandoverChannel:
        """One end."""
        return HandoverChannel(self._owner)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Tell the owner that there is no predecessor."""
        self._owner.channel_failed()
