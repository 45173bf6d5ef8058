"""The memory that hundreds of clients can make a node use."""

from __future__ import annotations

import threading
import time
from contextlib import suppress

import pytest

from tests.node.memory_kit import MEMORY_LIMIT_MB, private_mb
from tests.node_kit import TIMEOUT_S, FakeEndpoint, LineConnection, Node, open_line

SESSIONS = 300
MANY_LINES = (b"M " + b"x" * 3000 + b"\r\n") * 100
FILL_S = 2.0  # less than the time after which a side that stops reading is given up
MANY_FIELDS = "".join(f",{number:03x}=1" for number in range(600))


def test_requests_of_many_short_fields_stay_within_the_memory_limit() -> None:
    """Guards against waiting requests that each hold many times the memory of their line."""
    with Node(endpoint := FakeEndpoint("s-1", OPEN=None)) as node:
        line = open_line(extra_fields=f",at=s-1{MANY_FIELDS}", wait_ms=60_000)
        clients = [node.client(line.replace(f"{1:016x}", f"{number:016x}")) for number in range(SESSIONS)]
        for _ in clients:
            assert endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("OPEN ")
        assert private_mb(node) < MEMORY_LIMIT_MB
        close_all(clients)
        close_all([endpoint.unanswered.get(timeout=TIMEOUT_S) for _ in clients])


def close_all(lines: list[LineConnection]) -> None:
    """Close both sides' connections: select(2) of later tests takes descriptors below 1,024 only."""
    for line in lines:
        line.close()


class StalledEndpoint(FakeEndpoint):
    """An endpoint that writes `MANY_LINES` to each session, or nothing, and never reads from it."""

    def __init__(self, writes: bool) -> None:
        self._writes = writes
        self.open: list[LineConnection] = []
        super().__init__("s-1")

    def serve(self, line: LineConnection) -> None:
        while (text := line.read()) not in ("", "RESET"):
            if text.startswith("OPEN "):
                line.send("UP r1")
                self.open.append(line)
                if self._writes:
                    line.sock.sendall(MANY_LINES)
                return
            line.send("PONG x0=0.2,x1=0.0,util=0.2")


def write_until_full(clients: list[LineConnection]) -> None:
    for client in clients:
        client.sock.setblocking(False)
        with suppress(BlockingIOError):
            client.sock.sendall(MANY_LINES)


@pytest.mark.parametrize("endpoint_writes", [False, True])
def test_data_that_hundreds_of_sessions_do_not_read_stays_within_the_memory_limit(
    endpoint_writes: bool,
) -> None:
    """Guards against buffers that are bounded for each session alone, and not for all together."""
    with Node(endpoint := StalledEndpoint(endpoint_writes)) as node:
        size = 1 << 12 if endpoint_writes else 0
        clients = []
        for number in range(SESSIONS):
            clients.append(node.client(open_line(number, ",at=s-1", wait_ms=60_000), receive_buffer=size))
            assert clients[-1].sock.recv(7) == b"UP r1\r\n"
        peak, until = 0.0, time.monotonic() + FILL_S
        if not endpoint_writes:
            threading.Thread(target=write_until_full, args=[clients], daemon=True).start()
        while time.monotonic() < until:
            peak = max(peak, private_mb(node))
            time.sleep(0.02)
        assert peak < MEMORY_LIMIT_MB
        close_all(clients)
    close_all(endpoint.open)
