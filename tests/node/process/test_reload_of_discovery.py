"""Reload on SIGHUP that moves discovery: what the old address has told still counts."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import pytest

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, LineConnection, Node, open_line, pushed

REQUESTS = 12


class SilentDiscovery(Discovery):
    """Discovery that answers no call."""

    def serve(self, line: LineConnection) -> None:
        while line.read():
            pass
        line.read()


def asked(config: dict[str, Any]) -> None:
    config["settings"]["discovery"] = "on_request"


@pytest.mark.parametrize("other_entries", [0, 8000])
@pytest.mark.parametrize("change", [asked, pushed])
def test_drain_that_is_unread_when_discovery_moves_binds(
    change: Callable[[Any], None], other_entries: int
) -> None:
    """Guards against a reload that closes the old watch with a drain unread, which the new one may not tell.

    `other_entries`: the drain is told at the end of a message of that many entries more.
    """
    first, second = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    discovery, other = Discovery(), SilentDiscovery()
    with Node(first, second, discovery=discovery, edit_config=change) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        node.suspend()
        gone = [{"uid": f"s-{number}", "state": "Gone"} for number in range(3, 3 + other_entries)]
        discovery.send_update(*gone, first.list_entry("Terminating"))
        time.sleep(0.1)  # until the kernel has it
        node.reload(discovery=other.address)
        node.resume()
        node.wait_for_log("event=reloaded")
        clients = [node.client(open_line(number, group=number)) for number in range(1, REQUESTS + 1)]
        assert [client.read() for client in clients] == ["UP r1"] * REQUESTS
    assert first.received_lines.empty() and second.received_lines.qsize() == REQUESTS
    other.close()
