"""Where a fleet looks for a name."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from stepflow.rendezvous import hash_key, preferred_endpoints


class Named(NamedTuple):
    key: int


SERVERS = [Named(hash_key(f"s-{i:08x}")) for i in range(66)]


@given(st.integers(1, 2**64 - 1), st.permutations(SERVERS[:12]), st.integers(1, 11))
def test_the_order_is_the_name_s_alone_and_a_lost_server_moves_only_what_it_held(
    name: int, servers: list[Named], lost: int
) -> None:
    order = preferred_endpoints(name, servers, 12)
    assert order == preferred_endpoints(name, SERVERS[:12], 12) and sorted(order) == sorted(SERVERS[:12])
    rest = [server for server in servers if server != order[lost]]
    assert preferred_endpoints(name, rest, 11) == [server for server in order if server != order[lost]]


def test_names_are_spread_evenly_and_so_are_the_second_places() -> None:
    """With CRC alone all names of one server had the same second one, which got the whole of a lost load."""
    found = [preferred_endpoints(0x5C0F6E1A2B3D4C59 * i & (1 << 64) - 1, SERVERS, 2) for i in range(1, 6601)]
    firsts = Counter(first for first, _ in found)
    assert len(firsts) == 66 and max(firsts.values()) < 150 and min(firsts.values()) > 60  # 100 +- 10
    seconds = Counter(second for first, second in found if first == SERVERS[0])
    assert max(seconds.values()) < 10 and len(seconds) > 35
