"""Helpers for tests of races: configuration changes, slow and silent listeners, a check for silence."""

from __future__ import annotations

import queue
import select
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.node_kit import (
    TIMEOUT_S,
    Discovery,
    LineConnection,
    Listener,
    Node,
    any_ready,
    list_entry,
    open_line,
)


def set_class(**settings: Any) -> Callable[[dict[str, Any]], None]:
    """Return a configuration change that sets these settings of the class."""

    def change(config: dict[str, Any]) -> None:
        config["settings"]["classes"][0].update(settings)

    return change


def limit_sockets(config: dict[str, Any]) -> None:
    """Change the configuration to a limit that 150 clients exceed."""
    config["limits"]["sockets"] = 128


def expect_silence(seconds: float, *silent: LineConnection) -> None:
    """Wait this long, and fail if anything arrives on one of these connections."""
    assert not any_ready(silent, select.POLLIN, seconds)


class SilentListener(Listener):
    """Accepts connections and never answers."""

    def __init__(self) -> None:
        self.called: queue.Queue[str] = queue.Queue()
        super().__init__()

    def serve(self, line: LineConnection) -> None:
        self.called.put(line.read())
        line.read()


class LateEndpoint:
    """An endpoint whose connections are established late: its accept queue is full until `open` empties it.

    The kernel repeats a SYN that finds the queue full a second later, so each connect takes that long.
    """

    def __init__(self, uid: str) -> None:
        self.uid, self._sock = uid, socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._filler = socket.create_connection(self._sock.getsockname())

    def list_entry(self, state: str = "Ready") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return list_entry(self.uid, self.address, state)

    def open(self, patience: float = TIMEOUT_S) -> LineConnection:
        """Let the next connection be established, and accept it."""
        self._sock.settimeout(patience)
        self._sock.accept()[0].close()
        return LineConnection(self._sock.accept()[0])

    def wait_for_connect(self) -> None:
        """Wait until the kernel shows a pending connect (state 02, SYN_SENT)."""
        syn_sent = f"0100007F:{int(self.address.rpartition(':')[2]):04X} 02"
        until = time.monotonic() + TIMEOUT_S
        while syn_sent not in Path("/proc/net/tcp").read_text():
            assert time.monotonic() < until

    def close(self) -> None:
        self._filler.close()
        self._sock.close()


def allow_slow_connects(config: dict[str, Any]) -> None:
    """Change the configuration so that connects may take 8 s, and no load report needs a connect."""
    config["settings"]["policy_limits"].update(connect_timeout_us=8_000_000, probing=False)
    config["settings"]["classes"][0]["give_up_us"] = 9_000_000


@contextmanager
def node_with_pending_connect(endpoint: LateEndpoint) -> Iterator[tuple[Node, Discovery, LineConnection]]:
    """Run a node that is connecting to the endpoint for a client; close the endpoint at the end."""
    with Node(discovery=(discovery := Discovery()), edit_config=allow_slow_connects) as node:
        assert discovery.watch_paths.get(timeout=TIMEOUT_S)
        discovery.send_update(endpoint.list_entry())
        client = node.client(open_line(wait_ms=9000))
        endpoint.wait_for_connect()
        yield node, discovery, client
    endpoint.close()
