"""Eviction of unopened client connections while descriptors are scarce, over loopback."""

from __future__ import annotations

import os
from datetime import timedelta

from stepflow.node.clients.connection import FIRST_LINE_TIMEOUT
from tests.node.race_kit import few_sockets
from tests.node_kit import PATIENCE, Discovery, Node, Peer, opening


def test_silent_connections_are_evicted_and_established_ones_stay() -> None:
    """The oldest is evicted first."""
    with Node(Peer("s-1"), change=few_sockets) as node:
        first = node.client(opening())
        assert first.read() == "UP r1"
        crowd = [node.client() for _ in range(300)]
        client = node.client(opening(2))
        assert client.read() == "UP r1"
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) <= 128
        assert crowd[0].read() == "BUSY"  # a request on its way would have its answer
        assert crowd[0].read() in ("", "RESET")
        first.send("M 1 unharmed")
        assert first.read() == "M 1 unharmed"


def test_client_amid_its_line_is_evicted_after_silent_ones() -> None:
    """Real clients may write for 2 s; one that was older than the silent ones had been evicted first."""
    assert timedelta(seconds=2.5) < FIRST_LINE_TIMEOUT < timedelta(seconds=2.8)

    with Node(Peer("s-1"), change=few_sockets) as node:
        slow = node.client()
        slow.sock.sendall(opening().encode()[:40])
        assert node.client("PING").read() == "PONG"  # so the node has read that
        crowd = [node.client() for _ in range(200)]
        assert crowd[0].read() == "BUSY"  # a request on its way would have its answer
        assert crowd[0].read() in ("", "RESET")
        slow.send(opening()[40:])
        assert slow.read() == "UP r1"


def test_client_with_unread_bytes_is_not_evicted() -> None:
    """A close over its unread OPEN line would reset the connection."""
    with Node(Peer("s-1"), change=few_sockets) as node:
        oldest = node.client("PING")
        assert oldest.read() == "PONG"
        crowd = [node.client() for _ in range(56)]  # nearly all there is room for
        crowd[-1].send("PING")
        assert crowd[-1].read() == "PONG"  # so all have been taken
        node.freeze()
        crowd += [node.client() for _ in range(80)]  # heard of first
        oldest.send(opening())
        node.thaw()
        assert oldest.read() == "UP r1"


def test_idle_clients_deny_descriptors_to_neither_discovery_nor_requests() -> None:
    """Discovery is down for a while, and is read as soon as it is back; endpoints are still probed."""
    discovery = Discovery(refuse=3)
    with Node(peer := Peer("s-1"), discovery=discovery, change=few_sockets) as node:
        crowd = [node.client() for _ in range(150)]
        assert node.client(opening()).read() == "UP r1"
        while discovery.refuse:
            crowd.append(node.client())
            assert node.client("PING").read() == "PONG"
        assert discovery.calls.get(timeout=PATIENCE)
        second = Peer("s-2")
        discovery.tell(peer.entry("Terminating"), second.entry())
        answers = {node.client(opening(number, d=1000)).read() for number in range(2, 8)}
        assert answers == {"UP r1"} and second.lines.get(timeout=PATIENCE).startswith("OPEN ")
        node.terminate()
        node.wait_log(r"probes=[1-9]\d* probes_failed=\d+ .* faults=0")
        second.close()
