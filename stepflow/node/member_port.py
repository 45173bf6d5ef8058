"""The UDP port between members: passes datagrams to and from `SharedLimits` (docs/members.md).

It owns the socket and the timer for outgoing requests. A datagram is dropped and counted if it is not a valid
message, or if its source address is not that of the member that it names as sender.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import cast

from twisted.internet.protocol import DatagramProtocol

from stepflow.address import Address
from stepflow.budgets.shared_limits import OutgoingMessage, SharedLimits
from stepflow.members import DatagramError, decode, encode
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import DatagramTransport

TICK_INTERVAL = timedelta(milliseconds=25)


class MemberPort(DatagramProtocol):
    """Runs one member's `SharedLimits` on a UDP socket.

    `addresses` holds the address of every member, by member number. Nothing is sent to this member's own.
    `before_tick` is called before each tick.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        limits: SharedLimits,
        addresses: Sequence[Address],
        before_tick: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._limits = limits
        self._addresses = list(addresses)
        self._members = {address: member for member, address in enumerate(addresses)}
        self._before_tick = before_tick
        self.received_count = 0  # accepted datagrams
        self.dropped_count = 0  # dropped datagrams

    def startProtocol(self) -> None:
        """Start the timer once the socket is open."""
        self._tick()

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the limits and send their answers."""
        try:
            message = decode(datagram)
        except DatagramError:
            self.dropped_count += 1
            return
        if self._members.get(Address(addr[0], addr[1])) != message.sender:
            self.dropped_count += 1
            return
        self.received_count += 1
        self._send(self._limits.receive(micros(self._clock.now()), message))

    def _tick(self) -> None:
        if self.transport is None:  # the port is closed
            return
        self._before_tick()
        self._send(self._limits.tick(micros(self._clock.now())))
        self._timers.after(TICK_INTERVAL, self._tick)

    def _send(self, messages: list[OutgoingMessage]) -> None:
        transport = cast("DatagramTransport | None", self.transport)
        if transport is None:
            return
        for receiver, message in messages:
            transport.write(encode(message), self._addresses[receiver])
