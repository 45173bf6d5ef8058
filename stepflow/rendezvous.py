"""Rendezvous hashing: nodes that share nothing prefer the same endpoints for an affinity group.

Highest random weight (Thaler and Ravishankar, 1998): each node orders the endpoints by a hash of the group
and the endpoint's key. All nodes with the same list prefer the same endpoint; one that goes moves only the
groups that it held.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar
from zlib import crc32

_MASK_64 = (1 << 64) - 1


class Keyed(Protocol):
    """What can be preferred: anything with a key from `hash_key`."""

    @property
    def key(self) -> int:
        """Its number in the hash."""
        ...


KeyedT = TypeVar("KeyedT", bound=Keyed)


def hash_key(id: object) -> int:
    """The number of an endpoint in the hash: the same at every node that knows it by this id."""
    return crc32(repr(id).encode())


def mix(group: int, key: int) -> int:
    """A hash of both, 64 bits wide: the multiply and shift steps of SplitMix64 (Steele, Lea, Flood 2014).

    CRC alone would not do: it is linear, so that whoever comes second to one endpoint is the same for all.
    """
    mixed = ((group ^ key * 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ mixed >> 29) * 0x94D049BB133111EB) & _MASK_64
    return mixed ^ mixed >> 32


def preferred_endpoints(group: int, endpoints: Iterable[KeyedT], count: int) -> list[KeyedT]:
    """The endpoints that an affinity group prefers, in order: the first, and where to go once it is full."""
    return heapq.nlargest(count, endpoints, key=lambda endpoint: mix(group, endpoint.key))
