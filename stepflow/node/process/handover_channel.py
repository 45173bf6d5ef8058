"""One end of the channel between two processes of a node: a Unix socket that carries lines and descriptors.

Responsible for framing: it reads and writes lines, and passes descriptors on in the order of their arrival,
each before the line that refers to it. Owns its transport; `Handover` interprets the lines. A line that is
not a JSON object ends the channel. Lengths are in bytes.
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
from stepflow.node.runtime.transports import UnixTransport, flush

MAX_LINE_BYTES = 1 << 22  # one line holds the endpoint list of a large fleet


class ChannelOwner(Protocol):
    """Receives the channel's events."""

    def channel_connected(self, channel: HandoverChannel) -> None:
        """Handle the connection of the channel."""

    def channel_failed(self) -> None:
        """Handle a failed connect: no process listens on the path any more."""

    def descriptor_received(self, descriptor: int) -> None:
        """Handle a received descriptor, which the owner has to close."""

    def line_received(self, channel: HandoverChannel, fields: dict[str, Any]) -> None:
        """Handle a received message, a JSON object."""

    def channel_lost(self, channel: HandoverChannel) -> None:
        """Handle the end of the channel."""


@implementer(IFileDescriptorReceiver)
class HandoverChannel(LineReceiver):
    """The protocol at one end of the channel."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, owner: ChannelOwner) -> None:
        self._owner = owner

    @property
    def _wire(self) -> UnixTransport:
        return cast(UnixTransport, self.transport)

    def send(self, message: HandoverState | Message) -> None:
        """Write a message; the descriptors that belong to it must have been sent before."""
        self._wire.write(encode_message(message) + self.delimiter)

    def send_descriptor(self, descriptor: int) -> None:
        """Pass a descriptor with the next bytes written."""
        self._wire.sendFileDescriptor(descriptor)

    def flush(self) -> None:
        """Write buffered messages now, as far as the kernel accepts them: the process is about to exit."""
        flush(self._wire)

    def close(self) -> None:
        """End the channel once everything is written."""
        self._wire.loseConnection()

    def connectionMade(self) -> None:
        """Tell the owner that the channel is connected."""
        self._owner.channel_connected(self)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Pass the descriptor to the owner."""
        self._owner.descriptor_received(descriptor)

    def lineReceived(self, line: bytes) -> None:
        """Pass the message to the owner; end the channel if the line is not a JSON object."""
        try:
            fields = decode_line(line)
        except HandoverMessageError:
            self.close()
            return
        self._owner.line_received(self, fields)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the owner that the channel has ended."""
        self._owner.channel_lost(self)


class HandoverChannelFactory(ClientFactory):
    """Builds the channel's end, both in the process that listens and in the one that connects."""

    noisy = False

    def __init__(self, owner: ChannelOwner) -> None:
        self._owner = owner

    def buildProtocol(self, addr: object) -> HandoverChannel:
        """Build one end of the channel."""
        return HandoverChannel(self._owner)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Tell the owner that no predecessor listens."""
        self._owner.channel_failed()
