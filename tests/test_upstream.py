"""Stories of the list: how it is read off the stream, its versions, and the agent that it is pushed to."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from itertools import count
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepflow.interface import Availability, Endpoint
from stepflow.upstream import EndpointGroup, JsonStream, JsonStreamError
from stepflow.upstream.start_times import USUAL_DELAY_US, StartTimes
from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening

NUMBERS = count(1000)  # of sessions that only have to differ
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


@given(
    st.lists(st.lists(JSON) | st.dictionaries(st.text(), JSON), max_size=4),
    st.sampled_from([None, 1, 4]),
    st.sampled_from(["", "\n", "\r\n", "\r\n\r\n \t"]),
    st.lists(st.integers(1, 40)),
)
def test_values_come_whole_whatever_the_space_and_the_pieces(
    values: list[object], indent: int | None, between: str, cuts: list[int]
) -> None:
    text = between.join([json.dumps(value, indent=indent) for value in values] + [""]).encode()
    stream = JsonStream()
    found: list[object] = []
    for cut in cuts:
        found += stream.feed(text[:cut])
        text = text[cut:]
    found += stream.feed(text)
    assert found == values and not stream.has_partial_value


@pytest.mark.parametrize(
    "text", [b"null", b"x{}", b"{]}", b'{"a"}', b"[" * 40, b'{"a":"\xff"}', b"[" + b"9" * 5000 + b"]", b"]"]
)
def test_what_is_no_value_ends_the_stream(text: bytes) -> None:
    with pytest.raises(JsonStreamError):
        list(JsonStream().feed(text))


def test_a_value_is_bounded_however_it_comes() -> None:
    stream = JsonStream(max_value_bytes=1000)
    with pytest.raises(JsonStreamError):
        for _ in range(30):
            list(stream.feed(b'["' + b"x" * 100 if not stream.has_partial_value else b"x" * 100))


def test_a_large_value_in_small_pieces_is_looked_at_once() -> None:
    """Looked at anew at each piece, 4 MB in pieces of 1,400 bytes take minutes."""
    text = json.dumps(["x" * 100] * 30_000).encode()
    stream, begun, found = JsonStream(), time.process_time(), 0
    for at in range(0, len(text), 1400):
        found += len(list(stream.feed(text[at : at + 1400])))
    assert found == 1 and time.process_time() - begun < 5


def entry(uid: str, state: str = "Ready") -> dict[str, Any]:
    return {"uid": uid, "endpoint": "127.0.0.1:1", "az": "a", "model": "k", "state": state}


def test_an_older_message_undoes_nothing() -> None:
    group = EndpointGroup(("a",), ("k",))
    group.apply({"rev": 5, "all": True, "targets": [entry("s-1"), entry("s-2")]})
    whole, told = group.apply({"rev": 7, "all": False, "targets": [entry("s-1", "Terminating")]})
    assert not whole and told[0].availability == Availability.DRAINING
    assert group.apply({"rev": 6, "all": False, "targets": [entry("s-1")]}, is_first_of_call=False) == (
        False,
        (),
    )
    assert group.apply({"rev": 4, "all": True, "targets": [entry("s-9")]}, is_first_of_call=False) == (
        False,
        (),
    )
    assert group.revision == 7 and [e["uid"] for e in group.to_message()["targets"]] == ["s-1", "s-2"]
    assert group.to_message()["targets"][0]["state"] == "Terminating"


def test_a_source_that_counts_anew_is_followed_from_its_first_whole_list() -> None:
    group = EndpointGroup(("a",), ("k",))
    group.apply({"rev": 2**53 + 1, "all": True, "targets": [entry("s-1")]})
    whole, told = group.apply({"rev": 3, "all": True, "targets": [entry("s-2")]})
    assert whole and told[0].id == "s-2" and group.revision == 3


def pushed(config: dict[str, Any]) -> None:
    config["settings"]["discovery"] = "pushed"


def message(rev: int, whole: bool, *entries: dict[str, Any], indent: int | None = None) -> str:
    return json.dumps({"rev": rev, "all": whole, "targets": entries}, indent=indent)


def test_what_the_agent_holds_counts_before_the_first_request() -> None:
    """The list that the node last had names a server that drains; its agent knows."""
    one, two = Peer("s-1"), Peer("s-2")
    agent = Discovery(first=message(9, False, one.entry("Terminating")))
    with Node(one, two, discovery=agent, change=pushed) as node:
        assert agent.calls.get(timeout=PATIENCE) == "/v1/servers?watch=1&from=1"
        for number in range(1, 13):
            assert node.client(opening(number)).read() == "UP r1"
    assert one.lines.empty() and two.lines.qsize() == 12


def test_a_silent_agent_keeps_no_node_from_serving_and_is_asked_until_it_speaks() -> None:
    one, two = Peer("s-1"), Peer("s-2")
    agent = Discovery(first=message(9, False, one.entry("Terminating")), refuse=6)
    with Node(one, two, discovery=agent, change=pushed) as node:
        assert node.client(opening()).read() == "UP r1"  # by the list that it had
        agent.calls.get(timeout=PATIENCE)
        deadline = time.monotonic() + PATIENCE
        while "map_servers_excluded:1|g" not in node.ops("/v1/metrics")[1] and time.monotonic() < deadline:
            pass  # until the news was read
        assert served_by(node, two, 10)


@pytest.mark.parametrize("spoil", ["", "{", '{"rev":"x","all":true,"targets":[]}', "null"])
def test_a_watch_of_the_agent_that_breaks_is_begun_again(spoil: str) -> None:
    """An empty text stands for a connection that is cut."""
    one, two = Peer("s-1"), Peer("s-2")
    agent = Discovery()
    with Node(one, two, discovery=agent, change=pushed) as node:
        assert agent.calls.get(timeout=PATIENCE).endswith("from=1")
        agent.first = message(3, False, one.entry("Terminating"))
        agent.told.put(spoil or Discovery.END)
        if spoil == "{":
            agent.told.put("]")
        assert agent.calls.get(timeout=PATIENCE).endswith("from=1")
        node.wait_log("discovery call ended")
        deadline = time.monotonic() + PATIENCE
        while not served_by(node, two, 8) and time.monotonic() < deadline:
            pass
        assert time.monotonic() < deadline


def served_by(node: Node, peer: Peer, sessions: int) -> bool:
    """Whether all of so many new sessions come to this peer."""
    before = peer.lines.qsize()
    for _ in range(sessions):
        assert node.client(opening(next(NUMBERS))).read() == "UP r1"
    return peer.lines.qsize() - before == sessions


@pytest.mark.parametrize("pieces", [1, 7, 300])
@pytest.mark.parametrize("change", [lambda config: None, pushed])
def test_a_list_may_come_indented_and_in_pieces(pieces: int, change: Callable[[Any], None]) -> None:
    one, two = Peer("s-1"), Peer("s-2")
    agent = Discovery(first=message(9, True, two.entry(), indent=4), pieces=pieces)
    with Node(one, discovery=agent, change=change) as node:
        agent.calls.get(timeout=PATIENCE)
        deadline = time.monotonic() + PATIENCE
        while not served_by(node, two, 4) and time.monotonic() < deadline:
            pass
        assert time.monotonic() < deadline


BOOT = 1_800_000_000_000_000  # microseconds of Unix time
SECOND = 1_000_000


def started(uid: str, boot_us: int) -> Endpoint:
    return Endpoint(uid, 0, 0, 0, Availability.READY, 1.0, boot_us)


@pytest.mark.parametrize("ahead_s", [-3600, -3, 0, 3, 3600])
def test_a_server_is_held_little_warmer_than_it_is_whatever_the_own_clock_says(ahead_s: int) -> None:
    """After a step of the wall clock before its start, a process held each cold server for warm, or for hours
    to come for cold."""
    times, ahead = StartTimes(), ahead_s * SECOND
    times.localize(BOOT + ahead, True, (started("s-0", 0),))
    for number, lag in enumerate((2 * SECOND, SECOND, 3 * SECOND)):
        boot = BOOT + 60 * SECOND * (number + 1)
        now = boot + lag + ahead
        [entry] = times.localize(now, False, (started(f"s-{number + 1}", boot),))
        age = now - entry.started_us
        # Seconds ahead can't be told from slow news, but for what is over the usual time.
        assert 0 <= age <= lag + min(USUAL_DELAY_US, max(0, ahead_s * SECOND))
        if ahead_s == 0:
            assert age == lag
        [again] = times.localize(now + 9 * SECOND, False, (started(f"s-{number + 1}", boot),))
        assert again == entry  # the same start, told again


def test_start_times_of_a_first_list_are_taken_where_they_can_be_true() -> None:
    recent, future, ancient = BOOT - 3 * SECOND, BOOT + 3600 * SECOND, BOOT - 3600 * SECOND
    entries = (started("a", recent), started("b", future), started("c", ancient), started("d", 0))
    found = StartTimes().localize(BOOT, True, entries)
    assert [entry.started_us for entry in found] == [recent, BOOT, BOOT, 0]


def test_a_restart_is_news_and_a_server_that_left_the_list_is_forgotten() -> None:
    times = StartTimes()
    times.localize(BOOT, True, (started("a", 0), started("b", BOOT - SECOND)))
    [entry] = times.localize(BOOT + 9 * SECOND, False, (started("b", BOOT + 8 * SECOND),))
    assert entry.started_us == BOOT + 8 * SECOND
    times.localize(BOOT + 10 * SECOND, True, (started("a", 0),))
    assert times._known_starts == {}
