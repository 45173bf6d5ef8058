"""Ends of sessions over loopback: in kind, in time, and with what is still on its way."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from stepflow.node.relay.client_stall import CLIENT_STALL_CHECK_INTERVAL, CLIENT_STALL_TIMEOUT
from tests.node.session_kit import flood
from tests.node_kit import PATIENCE, Node, Peer, opening


@pytest.mark.parametrize("reset", [False, True])
def test_fin_and_reset_are_passed_on_in_kind(reset: bool) -> None:
    end = "RESET" if reset else ""
    with Node(peer := Peer("s-1", BREAK=end or "FIN")) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        client.send("BREAK")  # ... the connection, says the peer's script
        assert client.read() == end
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        other.close(reset)
        assert peer.ends.get(timeout=PATIENCE) == (end or "FIN")


def test_client_that_ends_while_its_endpoint_floods_it_ends_the_endpoint_in_kind() -> None:
    """A close over the endpoint's unread bytes could reset it, and lose the client's last line."""
    with Node(peer := Peer("s-1", LAST=None)) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        flood(peer.standing.get(timeout=PATIENCE))
        client.send("LAST words")
        client.sock.shutdown(socket.SHUT_WR)
        said = [peer.lines.get(timeout=PATIENCE) for _ in range(2)]
        assert said[1] == "LAST words"
        assert peer.ends.get(timeout=PATIENCE) == "FIN"


def test_client_that_never_reads_is_closed_within_3_s_and_others_are_unharmed() -> None:
    """Else it would stay for good, with its endpoint's lines held back behind what it leaves unread."""
    assert timedelta(seconds=3) > CLIENT_STALL_TIMEOUT + CLIENT_STALL_CHECK_INTERVAL
    with Node(peer := Peer("s-1")) as node:
        stuck = node.client(opening())
        assert stuck.read() == "UP r1"
        flood(peer.standing.get(timeout=PATIENCE))
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        assert peer.ends.get(timeout=PATIENCE) == "FIN"
        other.send("M 1 unharmed")
        assert other.read() == "M 1 unharmed"


def test_session_of_a_hung_endpoint_is_migrated_at_the_end_of_its_line() -> None:
    """Lines come in pieces: an endpoint that goes on with one gets the time to end it."""
    with Node(peer := Peer("s-1", X=None)) as node:
        first = node.client(opening())
        assert first.read() == "UP r1"
        pieces = peer.standing.get(timeout=PATIENCE)
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        first.send("X 1 anyone there")
        pieces.sock.sendall(b"X 1 any")
        other.send("X 1 anyone there")
        assert other.read() == "MOVE"  # the endpoint counts as hung by now, for both
        pieces.sock.sendall(b"one there\r\n")
        assert [first.read(), first.read(), first.read()] == ["X 1 anyone there", "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_both_sides_that_end_in_one_turn_are_closed_and_harm_nobody(reset: bool) -> None:
    with Node(peer := Peer("s-1")) as node:
        client, other = node.client(opening()), node.client(opening(2))
        assert [client.read(), other.read()] == ["UP r1"] * 2
        ends = [peer.standing.get(timeout=PATIENCE) for _ in range(2)]
        node.freeze()
        client.send("M 1 half")
        client.close(reset)
        for line in ends:
            line.send("LOAD 3")
            line.sock.shutdown(socket.SHUT_RDWR)
        node.thaw()
        assert [other.read(), other.read()] == ["LOAD 3", ""]
        assert node.client(opening(3)).read() == "UP r1"
        node.terminate()
        node.wait_log("counters: .* served=3 .* faults=0")
