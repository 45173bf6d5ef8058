"""Reference counting alone frees all objects of a session, however the session ends."""

from __future__ import annotations

import re
import signal
import time
from collections.abc import Callable

import pytest

from tests.census import COUNTED_CLASSES, SESSION_CLASSES
from tests.node_kit import TIMEOUT_S, FakeEndpoint, LineConnection, Node, open_line

SESSIONS = 40
NONE_ALIVE = dict.fromkeys(COUNTED_CLASSES, 0)


def _read_to_end(client: LineConnection) -> None:
    while client.read() not in ("", "RESET"):
        pass
    client.close()


def _client_closes(client: LineConnection, at_peer: LineConnection) -> None:
    client.close()


def _client_resets(client: LineConnection, at_peer: LineConnection) -> None:
    client.close(reset=True)


def _peer_sends_bye(client: LineConnection, at_peer: LineConnection) -> None:
    at_peer.send("BYE")
    client.send("FIN")
    assert [client.read(), client.read()] == ["BYE", ""]
    client.close()


def _peer_resets(client: LineConnection, at_peer: LineConnection) -> None:
    client.send("CUT")
    _read_to_end(client)


def _client_sends_overlong_line(client: LineConnection, at_peer: LineConnection) -> None:
    client.send("M " + "x" * 5000)
    _read_to_end(client)


def census(node: Node) -> dict[str, int]:
    """Return how many objects of each counted class are alive in the node."""
    node.process.send_signal(signal.SIGUSR2)
    line = node.wait_for_log("census: (.*)").group(1)
    return {name: int(count) for name, count in re.findall(r"(\w+)=(\d+)", line)}


def wait_for_none(node: Node) -> dict[str, int]:
    """Return the census once no objects are left, or the last census before the timeout."""
    until = time.monotonic() + TIMEOUT_S / 3
    while (found := census(node)) != NONE_ALIVE and time.monotonic() < until:
        time.sleep(0.05)
    return found


def test_census_counts_the_objects_of_a_session() -> None:
    """Guards the tests below: the name of a class that no longer exists would count nothing, and pass."""
    with Node(FakeEndpoint("s-1"), module="tests.census") as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        assert {name: census(node)[name] for name in SESSION_CLASSES} == dict.fromkeys(SESSION_CLASSES, 1)


@pytest.mark.parametrize(
    "end", [_client_closes, _client_resets, _peer_sends_bye, _peer_resets, _client_sends_overlong_line]
)
def test_no_objects_of_a_session_are_left_without_the_garbage_collector(
    end: Callable[[LineConnection, LineConnection], None],
) -> None:
    """Regression: each relayed session left a reference cycle of 2.5 KB, which was hardly ever collected."""
    with Node(endpoint := FakeEndpoint("s-1", FIN="FIN", CUT="RESET"), module="tests.census") as node:
        served = 0
        for number in range(SESSIONS):
            client = node.client(open_line(number + 1))
            if client.read() != "UP r1":  # an endpoint that resets new sessions counts as full
                client.close()
                continue
            served += 1
            at_peer = endpoint.connections.get(timeout=TIMEOUT_S)
            client.send("M 1")
            if client.read() == "M 1":  # otherwise the session was migrated, for the same reason
                end(client, at_peer)
            else:
                client.close()
        assert served >= 5 and wait_for_none(node) == NONE_ALIVE


def test_no_objects_of_a_rejected_or_malformed_client_are_left() -> None:
    with Node(FakeEndpoint("s-1", OPEN="BUSY"), module="tests.census") as node:
        for number in range(SESSIONS):
            client = node.client(open_line(number + 1, wait_ms=50) if number % 2 else "HELLO")
            assert client.read().split(" ")[0] in ("BUSY", "ERR")
            client.close()
        assert wait_for_none(node) == NONE_ALIVE
