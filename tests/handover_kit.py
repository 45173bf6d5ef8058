"""The channel between two processes of a node: scripted ends, and a tap that records the messages.

`python -m tests.handover_kit FILE` records a hand-over between two real processes of the current code.
"""

from __future__ import annotations

import array
import json
import os
import queue
import socket
import sys
import threading
import time
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.node_kit import TIMEOUT_S, Discovery, FakeEndpoint, LineConnection, Node, open_line

RECORDING = Path(__file__).parent / "data" / "handover-5fd6943.json"
RECORDED_PEER = "127.0.0.1:1"  # replaces the addresses of the recording's endpoints, which are gone

CLIENT_LINE, PEER_LINE = "M ü1", "M €2"
SENT_BYTES = 3  # bytes of each line sent before the hand-over: they end in the middle of a character
CLIENT_HALF, PEER_HALF = CLIENT_LINE.encode()[:SENT_BYTES], PEER_LINE.encode()[:SENT_BYTES]
CLIENT_REST, PEER_REST = (f"{line}\r\n".encode()[SENT_BYTES:] for line in (CLIENT_LINE, PEER_LINE))
EMPTY_LIST_UPDATE = '{"rev":7,"all":false,"targets":[]}'

_MAX_READ_BYTES, _MAX_DESCRIPTORS = 1 << 16, 16


def channel_path(node: Node) -> str:
    return f"{node.temp_dir}/stepflow-n0"


def use_recorded_settings(config: dict[str, Any]) -> None:
    """Use the recording's settings: tenants with names, and the longest possible shutdown."""
    config["settings"]["tenants"] = [{"name": "silver"}, {"name": "gold"}]
    config["settings"]["classes"][0]["give_up_us"] = 60_000_000


class ChannelEnd:
    """One end of the channel: sends and reads lines of JSON and the descriptors that come with them."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(TIMEOUT_S)
        self._sock, self._unread = sock, b""
        self.descriptors: list[int] = []

    def send(self, line: str, *descriptors: int) -> None:
        """Send a line; each descriptor goes along with one of its first bytes, as in Twisted."""
        data = line.encode() + b"\n"
        for at, descriptor in enumerate(descriptors):
            rights = array.array("i", [descriptor])
            self._sock.sendmsg([data[at : at + 1]], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])
        self._sock.sendall(data[len(descriptors) :])

    def read(self) -> dict[str, Any]:
        """Return the next message; raise EOFError at the end of the channel."""
        while b"\n" not in self._unread:
            data, descriptors, _, _ = socket.recv_fds(self._sock, _MAX_READ_BYTES, _MAX_DESCRIPTORS)
            self.descriptors += descriptors
            if not data:
                raise EOFError
            self._unread += data
        line, _, self._unread = self._unread.partition(b"\n")
        message = json.loads(line)
        assert isinstance(message, dict)
        return message

    def read_kind(self, key: str) -> dict[str, Any]:
        """Return the next message with this key, skipping the descriptor counts."""
        while key not in (message := self.read()):
            assert list(message) == ["descriptors"], message
        return message

    def close(self) -> None:
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors = []
        self._sock.close()


def join_as_successor(path: str) -> ChannelEnd:
    """Connect to a process as its successor would, once it listens."""
    until = time.monotonic() + TIMEOUT_S
    while True:
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.connect(path)
            return ChannelEnd(sock)
        except OSError:
            sock.close()
            assert time.monotonic() < until, "no process waits for a successor"
            time.sleep(0.01)


class Predecessor:
    """A scripted predecessor: sends a state to the first process that connects."""

    def __init__(self, path: str, state: str, listener: socket.socket) -> None:
        self._path, self._state, self._listener = path, state, listener
        self._joined: queue.Queue[ChannelEnd] = queue.Queue()
        self._sock = socket.socket(socket.AF_UNIX)
        self._sock.bind(path)
        self._sock.listen()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        sock, _ = self._sock.accept()
        self._sock.close()
        os.unlink(self._path)
        end = ChannelEnd(sock)
        end.send(self._state, self._listener.fileno())
        self._joined.put(end)

    def end(self) -> ChannelEnd:
        return self._joined.get(timeout=TIMEOUT_S)


@dataclass
class Recording:
    """The lines that each of the two processes has sent, in order, and how many descriptors."""

    old: list[str] = field(default_factory=list)
    new: list[str] = field(default_factory=list)
    old_descriptors: int = 0
    new_descriptors: int = 0

    def messages(self, key: str, by: str = "old") -> list[dict[str, Any]]:
        """Return the messages that have this key."""
        lines = self.old if by == "old" else self.new
        return [message for message in map(json.loads, lines) if key in message]


def load_recording() -> Recording:
    """Load the hand-over between two processes of commit 5fd6943."""
    return Recording(**json.loads(RECORDING.read_text()))


class Tap:
    """A proxy between the predecessor and its successor that records what they send."""

    def __init__(self, path: str) -> None:
        self._path, self._real_path = path, path + ".tapped"
        self.recording = Recording()
        os.rename(path, self._real_path)
        self._sock = socket.socket(socket.AF_UNIX)
        self._sock.bind(path)
        self._sock.listen()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        new, _ = self._sock.accept()
        self._sock.close()
        old = socket.socket(socket.AF_UNIX)
        old.connect(self._real_path)
        back = threading.Thread(target=self._forward, args=(new, old, "new"), daemon=True)
        back.start()
        self._forward(old, new, "old")
        back.join(TIMEOUT_S)
        old.close()
        new.close()

    def _forward(self, source: socket.socket, target: socket.socket, by: str) -> None:
        unread, count = b"", 0
        with suppress(OSError):
            while True:
                data, descriptors, _, _ = socket.recv_fds(source, _MAX_READ_BYTES, _MAX_DESCRIPTORS)
                if not data:
                    break
                count += len(descriptors)
                socket.send_fds(target, [data], descriptors)
                for descriptor in descriptors:
                    os.close(descriptor)
                unread += data
                *lines, unread = unread.split(b"\n")
                getattr(self.recording, by).extend(line.decode() for line in lines)
        setattr(self.recording, f"{by}_descriptors", count)
        for sock in (source, target):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def finish(self) -> Recording:
        """Wait for the end of the channel, and return the recording."""
        self._thread.join(TIMEOUT_S)
        assert not self._thread.is_alive()
        return self.recording


def wait_for_load_report(path: str) -> None:
    """Wait until an endpoint's load report shows in the state that a process would hand over."""
    until = time.monotonic() + TIMEOUT_S
    while time.monotonic() < until:
        end = join_as_successor(path)
        try:
            if end.read()["learned"]["cost_in_means"]:
                return
        finally:
            end.close()
        time.sleep(0.05)
    raise AssertionError("no load report arrived")


def tap_when_waiting(path: str) -> Tap:
    """Tap a process that has just lost a successor, once it listens again."""
    until = time.monotonic() + TIMEOUT_S
    while not os.path.exists(path):
        assert time.monotonic() < until, "no process waits for a successor"
        time.sleep(0.01)
    return Tap(path)


def record_handover() -> Recording:
    """Record two real processes: one session, a half line each way, and a line without its echo."""
    first, second = FakeEndpoint("s-1", X=None), FakeEndpoint("s-2")
    with ExitStack() as stack:
        old = stack.enter_context(
            Node(first, second, discovery=Discovery(EMPTY_LIST_UPDATE), edit_config=recorded_config)
        )
        path = channel_path(old)
        client = old.client(open_line(0x1D, extra_fields=",t=gold,h=2.0"))
        assert client.read() == "UP r1"
        wait_for_load_report(path)
        server = first.connections.get(timeout=TIMEOUT_S)
        tap = tap_when_waiting(path)
        new = stack.enter_context(old.successor())
        _send_half_lines(client, server, first)
        old.terminate()
        assert old.process.wait(TIMEOUT_S) == 0
        recording = tap.finish()
        server.sock.sendall(PEER_REST)  # first, or the endpoint's echo would split its line
        assert client.read() == PEER_LINE
        client.sock.sendall(CLIENT_REST)
        assert client.read() == CLIENT_LINE  # the echo
        assert new.process.poll() is None
    recording.old = [_without_addresses(line, first, second) for line in recording.old]
    return recording


def recorded_config(config: dict[str, Any]) -> None:
    """Use the recording's configuration: a list with a revision, and one endpoint that is draining."""
    use_recorded_settings(config)
    config["known"]["rev"] = 7
    config["known"]["targets"][1]["state"] = "Terminating"


def _send_half_lines(client: LineConnection, server: LineConnection, endpoint: FakeEndpoint) -> None:
    """Have each side send a whole line and a half line at once; return when the whole lines are read."""
    server.sock.sendall(b"LOAD 2.5\r\n" + PEER_HALF)
    assert client.read() == "LOAD 2.5"
    client.sock.sendall(b"X 1\r\n" + CLIENT_HALF)
    while not endpoint.received_lines.get(timeout=TIMEOUT_S).startswith("X"):
        pass


def _without_addresses(line: str, *endpoints: FakeEndpoint) -> str:
    for endpoint in endpoints:
        line = line.replace(f'"{endpoint.address}"', f'"{RECORDED_PEER}"')
    return line


if __name__ == "__main__":
    recorded = record_handover()
    Path(sys.argv[1]).write_text(json.dumps(vars(recorded), indent=1) + "\n")
