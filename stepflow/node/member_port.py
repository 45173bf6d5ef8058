"""The neighbours' port: datagrams of the platform's `peers`, to and from the shares."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import cast

from twisted.internet.protocol import DatagramProtocol

from stepflow.address import Address
from stepflow.budgets.shared_limits import Shares
from stepflow.members import BadMessage, Message, read, written
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import DatagramTransport

POLL = timedelta(milliseconds=25)  # between two looks for what is to be sent


class MemberPort(DatagramProtocol):
    """Owns the socket; whoever is not among the addresses, or speaks for another place, is nobody.

    `addresses` holds each place's, in order; that of this place is never used.
    """

    def __init__(
        self,
        clock: Clock,
        deadlines: Timers,
        shares: Shares,
        addresses: Sequence[Address],
        spend: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock, self._deadlines, self._shares, self._spend = clock, deadlines, shares, spend
        self._addresses = list(addresses)
        self._places = {address: place for place, address in enumerate(addresses)}
        self.taken = self.dropped = 0  # datagrams

    def startProtocol(self) -> None:
        self._poll()

    def _poll(self) -> None:
        if self.transport is None:  # the port is closed
            return
        self._spend()
        self._send(self._shares.poll(micros(self._clock.now())))
        self._deadlines.after(POLL, self._poll)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        try:
            message = read(datagram)
        except BadMessage:
            self.dropped += 1
            return
        if self._places.get(Address(addr[0], addr[1])) != message.place:
            self.dropped += 1
            return
        self.taken += 1
        self._send(self._shares.heard(micros(self._clock.now()), message))

    def _send(self, messages: list[tuple[int, Message]]) -> None:
        wire = cast("DatagramTransport | None", self.transport)
        for place, message in messages:
            if wire is not None:
                wire.write(written(message), self._addresses[place])
