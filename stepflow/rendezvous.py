"""Rendezvous hashing: nodes prefer the same endpoints for an affinity group without sharing state.

Highest random weight (Thaler and Ravishankar, 1998): each node orders the endpoints by a hash of the group
and the endpoint's key. All nodes with the same list prefer the same endpoint, and the removal of an endpoint
moves only the groups that preferred it.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar
from zlib import crc32

_MASK_64 = (1 << 64) - 1


class Keyed(Protocol):
    """An object with a key from `hash_key`."""

    @property
    def key(self) -> int:
        """The key in the hash."""
        ...


KeyedT = TypeVar("KeyedT", bound=Keyed)


def hash_key(id: object) -> int:
    """Return the key of an endpoint, which is the same at every node that knows the endpoint by this id."""
    return crc32(repr(id).encode())


def mix(group: int, key: int) -> int:
    """Return a 64-bit hash of a group and a key.

    It uses the multiply and shift steps of SplitMix64 (Steele, Lea, Flood 2014). CRC alone is linear: all
    groups that prefer one endpoint would have the same second choice.
    """
    mixed = ((group ^ key * 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ mixed >> 29) * 0x94D049BB133111EB) & _MASK_64
    return mixed ^ mixed >> 32


def preferred_endpoints(group: int, endpoints: Iterable[KeyedT], count: int) -> list[KeyedT]:
    """Return the endpoints that an affinity group prefers, in order: at most `count`.

    A session goes to a later endpoint if the first is full.
    """
    return heapq.nlargest(count, endpoints, key=lambda endpoint: mix(group, endpoint.key))
