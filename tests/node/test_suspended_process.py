"""A suspended process: data that arrived in time counts, even if its timer expired meanwhile.

SIGSTOP suspends the process. A timer expires meanwhile, while the bytes that cancel it wait in the kernel.
"""

from __future__ import annotations

import queue

from tests.node.race_kit import LateEndpoint, connecting, expect_silence, set_class
from tests.node_kit import PATIENCE, Discovery, Line, Node, Peer, opening


def pending_attempt(node: Node) -> Line:
    """Return the connection of the pending attempt, whichever endpoint it goes to."""
    while True:
        for peer in node.peers:
            try:
                return peer.held.get(timeout=0.01)
            except queue.Empty:
                continue


def test_first_line_that_came_in_time_is_accepted() -> None:
    """Otherwise the client would be answered ERR too slow."""
    with Node(Peer("s-1")) as node:
        client = node.client("PING")
        assert client.read() == "PONG"
        node.freeze()
        client.send(opening())
        expect_silence(2.7, client)
        node.thaw()
        assert client.read() == "UP r1"


def test_endpoint_whose_echo_came_in_time_does_not_count_as_hung() -> None:
    """Otherwise all sessions of all endpoints would be migrated after a suspension of 2 s."""
    with Node(peer := Peer("s-1", X=None)) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        session = peer.standing.get(timeout=PATIENCE)
        client.send("X 1")
        assert [peer.lines.get(timeout=PATIENCE) for _ in range(2)][1] == "X 1"
        node.freeze()
        session.send("X 1")
        expect_silence(2.7, client)
        node.thaw()
        assert client.read() == "X 1"
        client.send("M 2")
        assert client.read() == "M 2"


def test_attempt_whose_answer_came_in_time_is_not_cancelled() -> None:
    """Otherwise an established session would be closed, and its client rejected."""
    change = set_class(give_up_us=3_000_000)
    with Node(Peer("s-1", OPEN=None), Peer("s-2", OPEN=None), change=change) as node:
        client = node.client(opening(d=3000))
        attempt = pending_attempt(node)
        node.freeze()
        attempt.send("UP r7")
        expect_silence(1.6, client)
        node.thaw()
        assert client.read() == "UP r7"


def test_watch_with_unread_data_is_not_renewed() -> None:
    """Otherwise all nodes would renew their watches at once after the machine was suspended."""
    discovery = Discovery()
    with Node(Peer("s-1"), discovery=discovery) as node:
        assert discovery.calls.get(timeout=PATIENCE)
        client = node.client()
        node.freeze()
        discovery.tell(node.peers[0].entry())
        expect_silence(3, client)
        node.thaw()
        node.wait_counted("lists", 2)
        node.terminate()
        node.wait_log("counters: .* lists=2 lists_failed=0 ")


def test_no_request_is_sent_for_a_client_that_left_after_the_connect() -> None:
    """The node handles both events in one reactor turn, the connect first."""
    endpoint = LateEndpoint("s-1")
    with connecting(endpoint) as (node, _, client):
        node.freeze()
        late = endpoint.open()
        client.close()
        expect_silence(0.2, late)
        node.thaw()
        assert late.read() in ("", "RESET")
        node.wait_counted("left", 1)
        late.close()
