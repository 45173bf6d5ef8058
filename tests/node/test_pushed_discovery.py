"""Pushed discovery: the list that the agent on the node's machine holds, over sockets."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from itertools import count
from typing import Any

import pytest

from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening

REQUEST_NUMBERS = count(1000)  # for requests that only have to differ


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
            pass  # until the update was read
        assert served_by(node, two, 10)


@pytest.mark.parametrize("fault", ["", "{", '{"rev":"x","all":true,"targets":[]}', "null"])
def test_a_watch_of_the_agent_that_breaks_is_begun_again(fault: str) -> None:
    """An empty text stands for a connection that is cut."""
    one, two = Peer("s-1"), Peer("s-2")
    agent = Discovery()
    with Node(one, two, discovery=agent, change=pushed) as node:
        assert agent.calls.get(timeout=PATIENCE).endswith("from=1")
        agent.first = message(3, False, one.entry("Terminating"))
        agent.told.put(fault or Discovery.END)
        if fault == "{":
            agent.told.put("]")
        assert agent.calls.get(timeout=PATIENCE).endswith("from=1")
        node.wait_log("discovery call ended")
        wait_until_served_by(node, two, 8)


def served_by(node: Node, peer: Peer, sessions: int) -> bool:
    """Whether all of so many new sessions are established at this map server."""
    before = peer.lines.qsize()
    for _ in range(sessions):
        assert node.client(opening(next(REQUEST_NUMBERS))).read() == "UP r1"
    return peer.lines.qsize() - before == sessions


def wait_until_served_by(node: Node, peer: Peer, sessions: int) -> None:
    """Open so many sessions again and again, until all of them come to this map server."""
    deadline = time.monotonic() + PATIENCE
    while not served_by(node, peer, sessions) and time.monotonic() < deadline:
        pass
    assert time.monotonic() < deadline


@pytest.mark.parametrize("pieces", [1, 7, 300])
@pytest.mark.parametrize("change", [lambda config: None, pushed])
def test_a_list_may_come_indented_and_in_pieces(pieces: int, change: Callable[[Any], None]) -> None:
    one, two = Peer("s-1"), Peer("s-2")
    agent = Discovery(first=message(9, True, two.entry(), indent=4), pieces=pieces)
    with Node(one, discovery=agent, change=change) as node:
        agent.calls.get(timeout=PATIENCE)
        wait_until_served_by(node, two, 4)
