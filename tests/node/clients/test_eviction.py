"""Eviction of unopened client connections while few descriptors are free, over loopback."""

from __future__ import annotations

import os
from datetime import timedelta

from stepflow.node.clients.connection import FIRST_LINE_TIMEOUT
from tests.node.race_kit import limit_sockets
from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, Node, open_line


def test_silent_connections_are_evicted_and_established_ones_stay() -> None:
    """The oldest silent connection is evicted first."""
    with Node(FakeEndpoint("s-1"), edit_config=limit_sockets) as node:
        first = node.client(open_line())
        assert first.read() == "UP r1"
        silent = [node.client() for _ in range(300)]
        client = node.client(open_line(2))
        assert client.read() == "UP r1"
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) <= 128
        assert silent[0].read() == "BUSY"  # sent in case an OPEN line is on the way
        assert silent[0].read() in ("", "RESET")
        first.send("M 1 unharmed")
        assert first.read() == "M 1 unharmed"


def test_client_within_its_first_line_is_evicted_after_silent_ones() -> None:
    """Regression: a client that was still writing, which may take 2 s, was evicted before newer ones."""
    assert timedelta(seconds=2.5) < FIRST_LINE_TIMEOUT < timedelta(seconds=2.8)

    with Node(FakeEndpoint("s-1"), edit_config=limit_sockets) as node:
        slow = node.client()
        slow.sock.sendall(open_line().encode()[:40])
        assert node.client("PING").read() == "PONG"  # so the node has read the partial line
        silent = [node.client() for _ in range(200)]
        assert silent[0].read() == "BUSY"  # sent in case an OPEN line is on the way
        assert silent[0].read() in ("", "RESET")
        slow.send(open_line()[40:])
        assert slow.read() == "UP r1"


def test_client_with_unread_bytes_is_not_evicted() -> None:
    """Closing a socket with an unread OPEN line would reset the connection."""
    with Node(FakeEndpoint("s-1"), edit_config=limit_sockets) as node:
        oldest = node.client("PING")
        assert oldest.read() == "PONG"
        silent = [node.client() for _ in range(56)]  # nearly all descriptors
        silent[-1].send("PING")
        assert silent[-1].read() == "PONG"  # so the node has accepted all of them
        node.suspend()
        silent += [node.client() for _ in range(80)]  # the node accepts these before it reads the OPEN line
        oldest.send(open_line())
        node.resume()
        assert oldest.read() == "UP r1"


def test_discovery_and_requests_get_descriptors_despite_idle_clients() -> None:
    """The list is fetched as soon as discovery is available again; health checks continue."""
    discovery = Discovery(refuse_calls=3)
    with Node(endpoint := FakeEndpoint("s-1"), discovery=discovery, edit_config=limit_sockets) as node:
        silent = [node.client() for _ in range(150)]
        assert node.client(open_line()).read() == "UP r1"
        while discovery.refuse_calls:
            silent.append(node.client())
            assert node.client("PING").read() == "PONG"
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        second = FakeEndpoint("s-2")
        discovery.send_update(endpoint.list_entry("Terminating"), second.list_entry())
        answers = {node.client(open_line(number, wait_ms=1000)).read() for number in range(2, 8)}
        assert answers == {"UP r1"} and second.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
        node.terminate()
        node.wait_for_log(r"probes=[1-9]\d* probes_failed=\d+ .* faults=0")
        second.close()
