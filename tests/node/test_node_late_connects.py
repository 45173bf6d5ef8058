"""Attempts whose connect takes long: changes during the connect are still taken into account."""

from __future__ import annotations

from contextlib import suppress

from tests.node.race_kit import LateEndpoint, connecting, expect_silence, set_class
from tests.node_kit import PATIENCE, Node, Peer, opening


def test_endpoint_that_drains_during_the_connect_gets_no_request() -> None:
    """Its OPEN line would be sent once the connection is established, a second after the grace period."""
    endpoint, second = LateEndpoint("s-1"), Peer("s-2")
    with connecting(endpoint) as (_, discovery, client):
        discovery.tell(endpoint.entry("Terminating"), second.entry())
        late = endpoint.open()
        assert late.read() in ("", "RESET")
        assert client.read() == "UP r1"
        late.close()
    second.close()


def test_client_that_disconnects_during_the_connect_cancels_it() -> None:
    endpoint = LateEndpoint("s-1")
    with connecting(endpoint) as (node, _, client):
        client.close()
        node.wait_counted("left", 1)
        with suppress(TimeoutError):  # the connect was cancelled: no connection arrives
            assert endpoint.open(patience=3).read() in ("", "RESET")


def test_client_that_disconnects_between_attempts_gets_no_further_attempt() -> None:
    """Each attempt fails, and the next one starts 100 to 400 ms later."""
    change = set_class(give_up_us=5_000_000)
    with Node(first := Peer("s-1", OPEN="ERR"), Peer("s-2", OPEN="ERR"), change=change) as node:
        client = node.client(opening(d=5000))
        first.lines.get(timeout=PATIENCE)
        client.close()
        node.wait_counted("left", 1)
        for peer in node.peers:
            peer.answers["OPEN"] = "UP r1"
        before = sum(peer.lines.qsize() for peer in node.peers)
        other = node.client(opening(2))
        assert other.read() == "UP r1"
        expect_silence(0.5, other)  # longer than the delay before the next attempt
        assert sum(peer.lines.qsize() for peer in node.peers) == before + 1
