"""Changes of the endpoint list while one process of a node replaces the other."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from tests.handover_kit import ChannelEnd, channel_path, join_as_successor
from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, LineConnection, Node, list_entry, open_line

BINDS_S = 2.0  # "What discovery tells binds 2 s after the yes."
LATE_FIRST_POLL = "8c1f30d27a5be964"  # a seed whose first poll is 2.46 s after the start
REQUESTS = 12


class OneWatchDiscovery(Discovery):
    """Discovery that answers its first call, and keeps all later ones waiting."""

    def __init__(self) -> None:
        self._calls = 0
        super().__init__()

    def serve(self, line: LineConnection) -> None:
        self._calls += 1
        if self._calls == 1:
            super().serve(line)
        else:
            while line.read():
                pass
            line.read()


def opens(endpoint: FakeEndpoint) -> int:
    """Remove the lines that an endpoint has received, and return how many of them are OPEN lines."""
    count = 0
    while not endpoint.received_lines.empty():
        count += endpoint.received_lines.get().startswith("OPEN ")
    return count


def known_endpoints(node: Node) -> int:
    metrics = node.call_admin("/v1/metrics")[1].split()
    [value] = [line for line in metrics if line.startswith("edge_gw.map_servers_known:")]
    return int(value.split(":")[1].split("|")[0])


def wait_for_known_endpoints(node: Node, count: int) -> None:
    until = time.monotonic() + TIMEOUT_S
    while known_endpoints(node) != count:
        assert time.monotonic() < until
        time.sleep(0.02)


@pytest.mark.parametrize("unread", [False, True])
def test_drain_that_only_the_predecessor_was_told_of_binds_its_successor(unread: bool) -> None:
    """Guards against a successor that sends to an endpoint whose drain its predecessor keeps to itself.

    `unread`: the drain is written in the moment in which the predecessor ends, and not read before.
    """
    first, second = FakeEndpoint("s-1"), FakeEndpoint("s-2")
    discovery = OneWatchDiscovery()
    with Node(first, second, discovery=discovery) as old:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        with old.successor() as new:
            if unread:
                old.suspend()
            discovery.send_update(first.list_entry("Terminating"))
            if unread:
                time.sleep(0.05)  # until the kernel has it
            old.terminate()
            old.resume()
            assert old.process.wait(TIMEOUT_S) == 0
            opens(first)
            clients = [new.client(open_line(number, group=number)) for number in range(1, REQUESTS + 1)]
            assert [client.read() for client in clients] == ["UP r1"] * REQUESTS
            assert (opens(first), opens(second)) == (0, REQUESTS)


def test_successor_calls_discovery_before_what_it_tells_binds() -> None:
    """Guards against a successor whose first call of discovery comes as late as after a start of its own."""

    def set_seed(config: dict[str, Any]) -> None:
        config["seed"] = LATE_FIRST_POLL

    discovery = Discovery()
    with Node(FakeEndpoint("s-1"), discovery=discovery, edit_config=set_seed) as old:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        with old.successor():
            serves_since = time.monotonic()
            assert discovery.watch_paths.get(timeout=TIMEOUT_S)
            assert time.monotonic() - serves_since < BINDS_S


def list_message(source: str, revision: int, uid: str) -> str:
    entry = list_entry(uid, "127.0.0.1:1")
    return json.dumps({"list": {"rev": revision, "all": False, "targets": [entry]}, "source": source})


def test_list_of_another_source_or_revision_does_not_replace_an_own_one() -> None:
    """Guards against a process that mixes up two sources of lists, or takes back what it knows."""
    discovery = Discovery('{"rev":7,"all":false,"targets":[]}')
    with Node(FakeEndpoint("s-1"), discovery=discovery) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        discovery.send_update(list_entry("s-2", "127.0.0.1:1"))
        wait_for_known_endpoints(node, 2)
        successor: ChannelEnd = join_as_successor(channel_path(node))
        assert successor.read()["list"]["rev"] == 8
        successor.send(list_message("127.0.0.1:1", 9, "s-3"))
        successor.send(list_message(discovery.address, 7, "s-4"))
        successor.send('{"list": {"targets": 3}}')
        successor.send(list_message(discovery.address, 9, "s-5"))
        wait_for_known_endpoints(node, 3)
        discovery.send_update({"uid": "s-2", "state": "Gone"})  # under revision 9, which it has now
        discovery.send_update(list_entry("s-6", "127.0.0.1:1"))
        discovery.send_update(list_entry("s-7", "127.0.0.1:1"))
        wait_for_known_endpoints(node, 4)
        sent = [successor.read_kind("list") for _ in range(3)]
        assert [message["list"]["rev"] for message in sent] == [9, 10, 11]
        assert {message["source"] for message in sent} == {discovery.address}
        successor.close()
