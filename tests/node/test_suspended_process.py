"""A process that was held up hears of all that came meanwhile at once: what came in time still counts.

The process is stopped, so that a deadline passes while what would have called it off lies in the kernel.
"""

from __future__ import annotations

import queue

from tests.node.test_races import Gate, dialling, let_pass, set_class
from tests.node_kit import PATIENCE, Discovery, Line, Node, Peer, opening


def held_by(node: Node) -> Line:
    """The connection of the attempt that is out, whichever peer has it."""
    while True:
        for peer in node.peers:
            try:
                return peer.held.get(timeout=0.01)
            except queue.Empty:
                continue


def test_a_first_line_that_came_in_time_is_taken() -> None:
    """Its client was told that it is too slow."""
    with Node(Peer("s-1")) as node:
        client = node.client("PING")
        assert client.read() == "PONG"
        node.freeze()
        client.send(opening())
        let_pass(2.7, client)
        node.thaw()
        assert client.read() == "UP r1"


def test_a_peer_that_has_echoed_is_not_held_to_hang() -> None:
    """All clients of all peers were moved, by a process that had stood still for 2 s."""
    with Node(peer := Peer("s-1", X=None)) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        session = peer.standing.get(timeout=PATIENCE)
        client.send("X 1")
        assert [peer.lines.get(timeout=PATIENCE) for _ in range(2)][1] == "X 1"
        node.freeze()
        session.send("X 1")
        let_pass(2.7, client)
        node.thaw()
        assert client.read() == "X 1"
        client.send("M 2")
        assert client.read() == "M 2"


def test_an_attempt_whose_answer_has_come_is_not_given_up() -> None:
    """What had come up was cut off, and its client refused."""
    change = set_class(give_up_us=3_000_000)
    with Node(Peer("s-1", OPEN=None), Peer("s-2", OPEN=None), change=change) as node:
        client = node.client(opening(d=3000))
        attempt = held_by(node)
        node.freeze()
        attempt.send("UP r7")
        let_pass(1.6, client)
        node.thaw()
        assert client.read() == "UP r7"


def test_a_watch_that_told_is_not_held_to_be_silent() -> None:
    """It was opened anew: two hundred of them at once, after a halt of the machine."""
    discovery = Discovery()
    with Node(Peer("s-1"), discovery=discovery) as node:
        assert discovery.calls.get(timeout=PATIENCE)
        client = node.client()
        node.freeze()
        discovery.tell(node.peers[0].entry())
        let_pass(3, client)
        node.thaw()
        node.wait_counted("lists", 2)
        node.terminate()
        node.wait_log("counters: .* lists=2 lists_failed=0 ")


def test_nothing_goes_out_for_a_client_that_left_after_its_peer_s_connection_came_up() -> None:
    """Both are heard of in one turn, the connection first."""
    gate = Gate("s-1")
    with dialling(gate) as (node, _, client):
        node.freeze()
        late = gate.open()
        client.close()
        let_pass(0.2, late)
        node.thaw()
        assert late.read() in ("", "RESET")
        node.wait_counted("left", 1)
        late.close()
