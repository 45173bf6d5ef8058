"""Links between real processes on loopback addresses: datagrams lost, late, doubled or cut, as a seed says.

A process sends to the address that it knows a neighbour by; the relay passes the datagram on from the address
that the neighbour knows the sender by. Each direction fails by itself.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import cast

HOST = "127.0.0.1"
Address = tuple[str, int]


@dataclass
class Link:
    """One direction between two places."""

    loss: float = 0.0
    doubled: float = 0.0
    late_s: tuple[float, float] = (0.0015, 0.039)
    cut: bool = False


class _End(asyncio.DatagramProtocol):
    """What one place knows another by."""

    def __init__(self, links: Links, owner: int, other: int) -> None:
        self.links, self.owner, self.other = links, owner, other
        self.wire: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.wire = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.links.pass_on(self.owner, self.other, data)


class Links:
    """All links between some places; `begin` opens their addresses, `listen` is where each place hears."""

    def __init__(self, places: int, seed: int) -> None:
        self.places, self._rng = places, random.Random(seed)
        pairs = [(one, other) for one in range(places) for other in range(places) if one != other]
        self.link = {pair: Link() for pair in pairs}
        self.listen: list[Address] = []
        self._ends: dict[tuple[int, int], _End] = {}

    async def begin(self, listen: list[Address]) -> None:
        self.listen = listen
        loop = asyncio.get_running_loop()
        for pair in self.link:
            end = _End(self, *pair)
            await loop.create_datagram_endpoint(lambda end=end: end, local_addr=(HOST, 0))  # type: ignore[misc]
            self._ends[pair] = end

    def peers(self, place: int) -> list[str]:
        """Each place's address, as one place knows it; its own is its own."""
        found = []
        for other in range(self.places):
            wire = self._ends[place, other].wire if other != place else None
            host, port = wire.get_extra_info("sockname") if wire is not None else self.listen[place]
            found.append(f"{host}:{port}")
        return found

    def split(self, one: set[int], cut: bool = True, back: bool = True) -> None:
        """Cut some places off from the others, or join them again; `back`: also towards them."""
        for (sender, to), link in self.link.items():
            if (sender in one) != (to in one) and (back or sender in one):
                link.cut = cut

    def pass_on(self, sender: int, to: int, data: bytes) -> None:
        link = self.link[sender, to]
        if link.cut or self._rng.random() < link.loss:
            return
        for _ in range(1 + (self._rng.random() < link.doubled)):
            wait = self._rng.uniform(*link.late_s)
            asyncio.get_running_loop().call_later(wait, self._deliver, sender, to, data)

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        wire = self._ends[to, sender].wire
        if wire is not None and not wire.is_closing():
            wire.sendto(data, self.listen[to])

    def close(self) -> None:
        for end in self._ends.values():
            if end.wire is not None:
                end.wire.close()
