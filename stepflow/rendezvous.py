"""Where a fleet whose nodes share nothing looks for what belongs together.

Highest random weight (Thaler and Ravishankar, 1998): each node orders the servers by a hash of the name and
the server's own. All that hold the same list take the same one; a server that goes moves only what it held.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar
from zlib import crc32


class Keyed(Protocol):
    @property
    def key(self) -> int: ...


S = TypeVar("S", bound=Keyed)
_WORD = (1 << 64) - 1


def hash_key(id: object) -> int:
    """The number that stands for a server in the hash: the same at every node that knows it by this id."""
    return crc32(repr(id).encode())


def mix(name: int, key: int) -> int:
    """A hash of both, 64 bits wide: the multiply and shift steps of SplitMix64 (Steele, Lea, Flood 2014).

    CRC alone would not do: it is linear, so that whoever comes second to one server is the same for all.
    """
    mixed = ((name ^ key * 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9) & _WORD
    mixed = ((mixed ^ mixed >> 29) * 0x94D049BB133111EB) & _WORD
    return mixed ^ mixed >> 32


def preferred_endpoints(name: int, servers: Iterable[S], count: int) -> list[S]:
    """The servers at which a name is looked for, in order: the first, and where to look once that is full."""
    return heapq.nlargest(count, servers, key=lambda server: mix(name, server.key))
