"""A crowd of clients that connect at once and stop within their first line; run as a program of its own.

One process can't hold thousands of sockets beside those of the test, so `Crowd` starts several.
"""

from __future__ import annotations

import select
import socket
import subprocess
import sys
from typing import Any

CLIENTS_PER_PROCESS = 800  # below the usual limit of 1,024 descriptors
HALF_LINE = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4"


class Crowd:
    """Processes that wait for `connect`, then hold their clients until the node has closed them."""

    def __init__(self, port: int, processes: int) -> None:
        self._processes = [
            subprocess.Popen(
                [sys.executable, "-m", "tests.node.crowd_kit", str(port)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(processes)
        ]
        self._read_lines()

    def connect(self) -> None:
        """Connect all clients; returns once they are in the listener's queue."""
        for process in self._processes:
            _stream(process.stdin).write("go\n")
            _stream(process.stdin).flush()
        self._read_lines()

    def answers(self) -> int:
        """Wait until all clients are closed; return how many were told BUSY or ERR."""
        return sum(int(line) for line in self._read_lines())

    def close(self) -> None:
        for process in self._processes:
            process.kill()
            process.communicate()

    def _read_lines(self) -> list[str]:
        return [_stream(process.stdout).readline() for process in self._processes]


def _stream(stream: Any) -> Any:
    assert stream is not None
    return stream


def _connect(port: int) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex(("127.0.0.1", port))
    client.send(HALF_LINE)
    return client


def _count_answers(clients: list[socket.socket]) -> int:
    """Read until all clients are closed; return how many were told BUSY or ERR."""
    poll, answered = select.poll(), set()
    open_clients = {client.fileno(): client for client in clients}
    for number in open_clients:
        poll.register(number, select.POLLIN)
    while open_clients:
        for number, _ in poll.poll():
            try:
                data = open_clients[number].recv(100)
            except ConnectionResetError:
                data = b""
            if data.startswith((b"BUSY", b"ERR")):
                answered.add(number)
            if not data:
                poll.unregister(number)
                del open_clients[number]
    return len(answered)


def _run(port: int) -> None:
    print("ready", flush=True)
    sys.stdin.readline()
    clients = [_connect(port) for _ in range(CLIENTS_PER_PROCESS)]
    print("connected", flush=True)
    print(_count_answers(clients), flush=True)


if __name__ == "__main__":
    _run(int(sys.argv[1]))
