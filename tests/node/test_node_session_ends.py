"""Ends of sessions over loopback: FIN or reset, their timing, and data in flight."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from stepflow.node.relay.client_stall import CLIENT_STALL_CHECK_INTERVAL, CLIENT_STALL_TIMEOUT
from tests.node.session_kit import flood, hang_within_a_line
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line


@pytest.mark.parametrize("reset", [False, True])
def test_fin_is_relayed_as_fin_and_reset_as_reset(reset: bool) -> None:
    end = "RESET" if reset else ""
    with Node(endpoint := FakeEndpoint("s-1", BREAK=end or "FIN")) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        client.send("BREAK")  # the endpoint ends the connection on this line
        assert client.read() == end
        other = node.client(open_line(2))
        assert other.read() == "UP r1"
        other.close(reset)
        assert endpoint.session_ends.get(timeout=TIMEOUT_S) == (end or "FIN")


def test_fin_of_a_client_is_relayed_as_fin_while_its_endpoint_floods_it() -> None:
    """Closing with unread data from the endpoint could reset it, and lose the client's last line."""
    with Node(endpoint := FakeEndpoint("s-1", LAST=None)) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        flood(endpoint.connections.get(timeout=TIMEOUT_S))
        client.send("LAST words")
        client.sock.shutdown(socket.SHUT_WR)
        received = [endpoint.received_lines.get(timeout=TIMEOUT_S) for _ in range(2)]
        assert received[1] == "LAST words"
        assert endpoint.session_ends.get(timeout=TIMEOUT_S) == "FIN"


def test_client_that_never_reads_is_closed_within_3_s_and_others_are_unaffected() -> None:
    """Otherwise it would stay forever, and backpressure would pause its endpoint."""
    assert timedelta(seconds=3) > CLIENT_STALL_TIMEOUT + CLIENT_STALL_CHECK_INTERVAL
    with Node(endpoint := FakeEndpoint("s-1")) as node:
        stuck = node.client(open_line())
        assert stuck.read() == "UP r1"
        flood(endpoint.connections.get(timeout=TIMEOUT_S))
        other = node.client(open_line(2))
        assert other.read() == "UP r1"
        assert endpoint.session_ends.get(timeout=TIMEOUT_S) == "FIN"
        other.send("M 1 unharmed")
        assert other.read() == "M 1 unharmed"


def test_session_of_a_hung_endpoint_is_migrated_after_its_half_line_is_complete() -> None:
    """Lines arrive in pieces: an endpoint in the middle of a line gets time to complete it."""
    with Node(endpoint := FakeEndpoint("s-1", X=None)) as node:
        first, pieces = hang_within_a_line(node, endpoint)
        pieces.sock.sendall(b"one there\r\n")
        assert [first.read(), first.read(), first.read()] == ["X 1 anyone there", "MOVE", ""]


@pytest.mark.parametrize("reset", [False, True])
def test_sides_that_end_in_the_same_turn_are_closed_without_affecting_other_requests(reset: bool) -> None:
    with Node(endpoint := FakeEndpoint("s-1")) as node:
        client, other = node.client(open_line()), node.client(open_line(2))
        assert [client.read(), other.read()] == ["UP r1"] * 2
        ends = [endpoint.connections.get(timeout=TIMEOUT_S) for _ in range(2)]
        node.suspend()
        client.send("M 1 half")
        client.close(reset)
        for line in ends:
            line.send("LOAD 3")
            line.sock.shutdown(socket.SHUT_RDWR)
        node.resume()
        assert [other.read(), other.read()] == ["LOAD 3", ""]
        assert node.client(open_line(3)).read() == "UP r1"
        node.terminate()
        node.wait_for_log("counters: .* served=3 .* faults=0")
