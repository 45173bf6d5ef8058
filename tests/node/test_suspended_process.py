"""A suspended process: data that arrived in time counts, even if its timer expired meanwhile.

SIGSTOP suspends the process. A timer expires meanwhile, while the bytes that cancel it wait in the kernel.
"""

from __future__ import annotations

import queue

from tests.node.race_kit import LateEndpoint, expect_silence, node_with_pending_connect, set_class
from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, LineConnection, Node, open_line


def pending_attempt(node: Node) -> LineConnection:
    """Return the connection of the pending attempt, whichever endpoint it goes to."""
    while True:
        for endpoint in node.endpoints:
            try:
                return endpoint.unanswered.get(timeout=0.01)
            except queue.Empty:
                continue


def test_first_line_that_came_in_time_is_accepted() -> None:
    """Otherwise the client would be answered ERR too slow."""
    with Node(FakeEndpoint("s-1")) as node:
        client = node.client("PING")
        assert client.read() == "PONG"
        node.suspend()
        client.send(open_line())
        expect_silence(2.7, client)
        node.resume()
        assert client.read() == "UP r1"


def test_endpoint_whose_echo_came_in_time_does_not_count_as_hung() -> None:
    """Otherwise all sessions of all endpoints would be migrated after a suspension of 2 s."""
    with Node(endpoint := FakeEndpoint("s-1", X=None)) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        session = endpoint.connections.get(timeout=TIMEOUT_S)
        client.send("X 1")
        assert [endpoint.received_lines.get(timeout=TIMEOUT_S) for _ in range(2)][1] == "X 1"
        node.suspend()
        session.send("X 1")
        expect_silence(2.7, client)
        node.resume()
        assert client.read() == "X 1"
        client.send("M 2")
        assert client.read() == "M 2"


def test_attempt_whose_answer_came_in_time_is_not_cancelled() -> None:
    """Otherwise an established session would be closed, and its client rejected."""
    change = set_class(give_up_us=3_000_000)
    with Node(FakeEndpoint("s-1", OPEN=None), FakeEndpoint("s-2", OPEN=None), edit_config=change) as node:
        client = node.client(open_line(wait_ms=3000))
        attempt = pending_attempt(node)
        node.suspend()
        attempt.send("UP r7")
        expect_silence(1.6, client)
        node.resume()
        assert client.read() == "UP r7"


def test_watch_with_unread_data_is_not_renewed() -> None:
    """Otherwise all nodes would renew their watches at once after the machine was suspended."""
    discovery = Discovery()
    with Node(FakeEndpoint("s-1"), discovery=discovery) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        client = node.client()
        node.suspend()
        discovery.send_update(node.endpoints[0].list_entry())
        expect_silence(3, client)
        node.resume()
        node.wait_for_counter("lists", 2)
        node.terminate()
        node.wait_for_log("counters: .* lists=2 lists_failed=0 ")


def test_no_request_is_sent_for_a_client_that_left_after_the_connect() -> None:
    """The node handles both events in one reactor turn, the connect first."""
    endpoint = LateEndpoint("s-1")
    with node_with_pending_connect(endpoint) as (node, _, client):
        node.suspend()
        late = endpoint.open()
        client.close()
        expect_silence(0.2, late)
        node.resume()
        assert late.read() in ("", "RESET")
        node.wait_for_counter("left", 1)
        late.close()
