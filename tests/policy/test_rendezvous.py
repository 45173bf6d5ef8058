"""Rendezvous hashing: nodes agree on the endpoints of a group, and groups are spread evenly."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from stepflow.rendezvous import hash_key, preferred_endpoints


class KeyedEndpoint(NamedTuple):
    key: int


ENDPOINTS = [KeyedEndpoint(hash_key(f"s-{i:08x}")) for i in range(66)]


@given(st.integers(1, 2**64 - 1), st.permutations(ENDPOINTS[:12]), st.integers(1, 11))
def test_the_order_ignores_the_list_order_and_a_lost_endpoint_moves_only_its_groups(
    group: int, endpoints: list[KeyedEndpoint], lost: int
) -> None:
    order = preferred_endpoints(group, endpoints, 12)
    assert order == preferred_endpoints(group, ENDPOINTS[:12], 12) and sorted(order) == sorted(ENDPOINTS[:12])
    rest = [endpoint for endpoint in endpoints if endpoint != order[lost]]
    assert preferred_endpoints(group, rest, 11) == [endpoint for endpoint in order if endpoint != order[lost]]


def test_groups_are_spread_evenly_at_first_and_second_endpoints() -> None:
    """With CRC alone, all groups of an endpoint had the same second choice, which got all of their load."""
    found = [
        preferred_endpoints(0x5C0F6E1A2B3D4C59 * i & (1 << 64) - 1, ENDPOINTS, 2) for i in range(1, 6601)
    ]
    firsts = Counter(first for first, _ in found)
    # Groups per endpoint: mean 100, standard deviation 10.
    assert len(firsts) == 66 and max(firsts.values()) < 150 and min(firsts.values()) > 60
    seconds = Counter(second for first, second in found if first == ENDPOINTS[0])
    assert max(seconds.values()) < 10 and len(seconds) > 35
