"""What a session held is freed by reference counting alone, however the session ends."""

from __future__ import annotations

import re
import signal
import time
from collections.abc import Callable

import pytest

from tests.census import COUNTED_CLASSES, SESSION_CLASSES
from tests.node_kit import PATIENCE, Line, Node, Peer, opening

SESSIONS = 40
NOTHING = dict.fromkeys(COUNTED_CLASSES, 0)


def _read_out(client: Line) -> None:
    while client.read() not in ("", "RESET"):
        pass
    client.close()


def _client_closes(client: Line, at_peer: Line) -> None:
    client.close()


def _client_resets(client: Line, at_peer: Line) -> None:
    client.close(reset=True)


def _peer_says_bye(client: Line, at_peer: Line) -> None:
    at_peer.send("BYE")
    client.send("FIN")
    assert [client.read(), client.read()] == ["BYE", ""]
    client.close()


def _peer_resets(client: Line, at_peer: Line) -> None:
    client.send("CUT")
    _read_out(client)


def _overlong(client: Line, at_peer: Line) -> None:
    client.send("M " + "x" * 5000)
    _read_out(client)


def census(node: Node) -> dict[str, int]:
    """How many of the node's parts are alive."""
    node.process.send_signal(signal.SIGUSR2)
    line = node.wait_log("census: (.*)").group(1)
    return {name: int(count) for name, count in re.findall(r"(\w+)=(\d+)", line)}


def settled(node: Node) -> dict[str, int]:
    """The census once nothing is left, or the last one that was taken in time."""
    until = time.monotonic() + PATIENCE / 3
    while (found := census(node)) != NOTHING and time.monotonic() < until:
        time.sleep(0.05)
    return found


def test_the_census_counts_what_a_session_holds() -> None:
    """Names of classes that no longer exist would count nothing, and pass below."""
    with Node(Peer("s-1"), module="tests.census") as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        assert {name: census(node)[name] for name in SESSION_CLASSES} == dict.fromkeys(SESSION_CLASSES, 1)


@pytest.mark.parametrize("end", [_client_closes, _client_resets, _peer_says_bye, _peer_resets, _overlong])
def test_nothing_of_a_session_is_left_with_the_collector_off(end: Callable[[Line, Line], None]) -> None:
    """Joined pairs left cycles behind: 2.5 KB a session, which were as good as never collected."""
    with Node(peer := Peer("s-1", FIN="FIN", CUT="RESET"), module="tests.census") as node:
        served = 0
        for number in range(SESSIONS):
            client = node.client(opening(number + 1))
            if client.read() != "UP r1":  # a server that resets what has just come up is held to be full
                client.close()
                continue
            served += 1
            at_peer = peer.standing.get(timeout=PATIENCE)
            client.send("M 1")
            if client.read() == "M 1":  # else it was moved, for the same reason
                end(client, at_peer)
            else:
                client.close()
        assert served >= 5 and settled(node) == NOTHING


def test_nothing_of_a_refused_or_malformed_client_is_left() -> None:
    with Node(Peer("s-1", OPEN="BUSY"), module="tests.census") as node:
        for number in range(SESSIONS):
            client = node.client(opening(number + 1, d=50) if number % 2 else "HELLO")
            assert client.read().split(" ")[0] in ("BUSY", "ERR")
            client.close()
        assert settled(node) == NOTHING
