"""Attempts whose connect takes long: changes during the connect are still taken into account."""

from __future__ import annotations

from contextlib import suppress

from tests.node.race_kit import LateEndpoint, expect_silence, node_with_pending_connect, set_class
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line


def test_endpoint_that_drains_during_the_connect_gets_no_request() -> None:
    """Its OPEN line would be sent once the connection is established, a second after the grace period."""
    endpoint, second = LateEndpoint("s-1"), FakeEndpoint("s-2")
    with node_with_pending_connect(endpoint) as (_, discovery, client):
        discovery.send_update(endpoint.list_entry("Terminating"), second.list_entry())
        late = endpoint.open()
        assert late.read() in ("", "RESET")
        assert client.read() == "UP r1"
        late.close()
    second.close()


def test_client_that_disconnects_during_the_connect_cancels_it() -> None:
    endpoint = LateEndpoint("s-1")
    with node_with_pending_connect(endpoint) as (node, _, client):
        client.close()
        node.wait_for_counter("left", 1)
        with suppress(TimeoutError):  # the connect was cancelled: no connection arrives
            assert endpoint.open(patience=3).read() in ("", "RESET")


def test_client_that_disconnects_between_attempts_gets_no_further_attempt() -> None:
    """Each attempt fails, and the next one starts 100 to 400 ms later."""
    change = set_class(give_up_us=5_000_000)
    with Node(
        first := FakeEndpoint("s-1", OPEN="ERR"), FakeEndpoint("s-2", OPEN="ERR"), edit_config=change
    ) as node:
        client = node.client(open_line(wait_ms=5000))
        first.received_lines.get(timeout=TIMEOUT_S)
        client.close()
        node.wait_for_counter("left", 1)
        for endpoint in node.endpoints:
            endpoint.answers["OPEN"] = "UP r1"
        before = sum(endpoint.received_lines.qsize() for endpoint in node.endpoints)
        other = node.client(open_line(2))
        assert other.read() == "UP r1"
        expect_silence(0.5, other)  # longer than the delay before the next attempt
        assert sum(endpoint.received_lines.qsize() for endpoint in node.endpoints) == before + 1
