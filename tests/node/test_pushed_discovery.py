"""Pushed discovery: a node that watches the agent on its machine, over loopback sockets."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from itertools import count
from typing import Any

import pytest

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line, pushed

REQUEST_NUMBERS = count(1000)  # for requests that only need different numbers


def message(rev: int, is_full: bool, *entries: dict[str, Any], indent: int | None = None) -> str:
    return json.dumps({"rev": rev, "all": is_full, "targets": entries}, indent=indent)


def test_the_agents_list_is_applied_before_the_first_request() -> None:
    """The node's last known list shows an endpoint as ready that the agent's list shows as draining."""
    first_peer, second_peer = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    agent = Discovery(first_update=message(9, False, first_peer.list_entry("Terminating")))
    with Node(first_peer, second_peer, discovery=agent, edit_config=pushed) as node:
        assert agent.watch_paths.get(timeout=TIMEOUT_S) == "/v1/servers?watch=1&from=1"
        for number in range(1, 13):
            assert node.client(open_line(number)).read() == "UP r1"
    assert first_peer.received_lines.empty() and second_peer.received_lines.qsize() == 12


def test_a_node_serves_while_its_agent_refuses_calls_and_retries_until_it_answers() -> None:
    first_peer, second_peer = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    agent = Discovery(first_update=message(9, False, first_peer.list_entry("Terminating")), refuse_calls=6)
    with Node(first_peer, second_peer, discovery=agent, edit_config=pushed) as node:
        assert node.client(open_line()).read() == "UP r1"  # by the last known list
        agent.watch_paths.get(timeout=TIMEOUT_S)
        deadline = time.monotonic() + TIMEOUT_S
        while (
            "map_servers_excluded:1|g" not in node.call_admin("/v1/metrics")[1]
            and time.monotonic() < deadline
        ):
            pass  # until the node has applied the update
        assert all_sessions_go_to(node, second_peer, 10)


@pytest.mark.parametrize("fault", ["", "{", '{"rev":"x","all":true,"targets":[]}', "null"])
def test_a_watch_of_the_agent_that_fails_is_restarted(fault: str) -> None:
    """An empty text stands for a closed connection."""
    first_peer, second_peer = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    agent = Discovery()
    with Node(first_peer, second_peer, discovery=agent, edit_config=pushed) as node:
        assert agent.watch_paths.get(timeout=TIMEOUT_S).endswith("from=1")
        agent.first_update = message(3, False, first_peer.list_entry("Terminating"))
        agent.updates.put(fault or Discovery.CLOSE)
        if fault == "{":
            agent.updates.put("]")
        assert agent.watch_paths.get(timeout=TIMEOUT_S).endswith("from=1")
        node.wait_for_log("discovery call failed")
        wait_until_sessions_go_to(node, second_peer, 8)


def all_sessions_go_to(node: Node, endpoint: FakeEndpoint, sessions: int) -> bool:
    """Return whether this number of new sessions are all established at this endpoint."""
    before = endpoint.received_lines.qsize()
    for _ in range(sessions):
        assert node.client(open_line(next(REQUEST_NUMBERS))).read() == "UP r1"
    return endpoint.received_lines.qsize() - before == sessions


def wait_until_sessions_go_to(node: Node, endpoint: FakeEndpoint, sessions: int) -> None:
    """Open this number of sessions repeatedly, until all of them are established at this endpoint."""
    deadline = time.monotonic() + TIMEOUT_S
    while not all_sessions_go_to(node, endpoint, sessions) and time.monotonic() < deadline:
        pass
    assert time.monotonic() < deadline


@pytest.mark.parametrize("pieces", [1, 7, 300])
@pytest.mark.parametrize("change", [lambda config: None, pushed])
def test_an_indented_list_in_pieces_of_any_size_is_applied(
    pieces: int, change: Callable[[Any], None]
) -> None:
    first_peer, second_peer = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    agent = Discovery(first_update=message(9, True, second_peer.list_entry(), indent=4), chunk_count=pieces)
    with Node(first_peer, discovery=agent, edit_config=change) as node:
        agent.watch_paths.get(timeout=TIMEOUT_S)
        wait_until_sessions_go_to(node, second_peer, 4)
