"""Links between real processes on loopback; faults from a seed lose, delay, duplicate or block datagrams.

Each member knows every peer by a relay address. The relay forwards a datagram from the address by which
the receiver knows the sender. The two directions between members fail independently.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from functools import partial
from typing import cast

HOST = "127.0.0.1"
Address = tuple[str, int]


@dataclass
class Link:
    """One direction between two members and its faults."""

    loss: float = 0.0  # chance of each datagram to be lost
    duplicates: float = 0.0  # chance of each datagram to be duplicated
    delay_range_s: tuple[float, float] = (0.0015, 0.039)
    is_cut: bool = False


def _return_endpoint(endpoint: _RelayEndpoint) -> _RelayEndpoint:
    """Return the argument; asyncio expects a factory for the protocol."""
    return endpoint


class _RelayEndpoint(asyncio.DatagramProtocol):
    """The protocol at the address by which one member knows another."""

    def __init__(self, links: Links, owner: int, peer: int) -> None:
        self.links, self.owner, self.peer = links, owner, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.links.relay(self.owner, self.peer, data)


class Links:
    """All links between the members; `open` binds the relay addresses, `listen` holds the members' own."""

    def __init__(self, members: int, seed: int) -> None:
        self.members, self._rng = members, random.Random(seed)
        pairs = [
            (sender, receiver)
            for sender in range(members)
            for receiver in range(members)
            if sender != receiver
        ]
        self.by_pair = {pair: Link() for pair in pairs}  # links by sender and receiver
        self.listen: list[Address] = []
        self._endpoints: dict[tuple[int, int], _RelayEndpoint] = {}  # relay endpoints by owner and peer

    async def open(self, listen: list[Address]) -> None:
        """Bind a relay address for each pair of member and peer."""
        self.listen = listen
        loop = asyncio.get_running_loop()
        for pair in self.by_pair:
            endpoint = _RelayEndpoint(self, *pair)
            await loop.create_datagram_endpoint(partial(_return_endpoint, endpoint), local_addr=(HOST, 0))
            self._endpoints[pair] = endpoint

    def addresses_known_to(self, member: int) -> list[str]:
        """Return the addresses by which one member knows each member; its own is the one it listens at."""
        addresses = []
        for peer in range(self.members):
            transport = self._endpoints[member, peer].transport if peer != member else None
            host, port = (
                transport.get_extra_info("sockname") if transport is not None else self.listen[member]
            )
            addresses.append(f"{host}:{port}")
        return addresses

    def set_partition(self, side: set[int], is_cut: bool = True, both_ways: bool = True) -> None:
        """Block or restore the links from some members to all others; `both_ways`: in both directions."""
        for (sender, receiver), link in self.by_pair.items():
            if (sender in side) != (receiver in side) and (both_ways or sender in side):
                link.is_cut = is_cut

    def relay(self, sender: int, receiver: int, data: bytes) -> None:
        """Forward a datagram subject to the link's faults."""
        link = self.by_pair[sender, receiver]
        if link.is_cut or self._rng.random() < link.loss:
            return
        for _ in range(1 + (self._rng.random() < link.duplicates)):
            delay_s = self._rng.uniform(*link.delay_range_s)
            asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self._endpoints[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.listen[receiver])

    def close(self) -> None:
        """Close all relay addresses."""
        for endpoint in self._endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()
