"""Runs a node as a separate process, with scripted endpoints, discovery and clients on loopback."""

from __future__ import annotations

import http.client
import json
import os
import queue
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from copy import copy
from shutil import rmtree
from types import TracebackType
from typing import Any

TIMEOUT_S = 30.0  # seconds: the timeout of each wait for an expected event

SETTINGS: dict[str, Any] = {
    "group_size": 1,
    "discovery": "on_request",
    "azs": ["a"],
    "kinds": ["k"],
    "classes": [
        {"name": "view", "aim_us": 300_000, "give_up_us": 1_200_000, "effect": "repeatable", "credit": 1.0}
    ],
    "domain": {"message_aim_us": [50_000.0], "mode": "proxy", "groups": True},
    "policy_limits": {"most_tries": 6, "probing": True, "cancel": True, "connect_timeout_us": 200_000},
    "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
}


def pushed(config: dict[str, Any]) -> None:
    """Change a configuration to lists that are pushed."""
    config["settings"]["discovery"] = "pushed"


class LineConnection:
    """A TCP connection that is written and read by lines."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TIMEOUT_S)
        self._file = sock.makefile("rb")

    def send(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def read(self) -> str:
        """Return the next line without its end; "" if it is empty or at a FIN, "RESET" at a reset."""
        try:
            return self._file.readline().decode().rstrip("\r\n")
        except ConnectionResetError:
            return "RESET"

    def is_readable_within(self, seconds: float) -> bool:
        """Wait until there is data or an end to read, and return False if neither comes in time."""
        return any_ready([self], select.POLLIN, seconds)

    def is_writable_within(self, seconds: float) -> bool:
        """Wait until the kernel takes more data, and return False if it does not in time."""
        return any_ready([self], select.POLLOUT, seconds)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._file.close()
        self.sock.close()


def any_ready(lines: Iterable[LineConnection], event: int, seconds: float) -> bool:
    """Wait until one of these connections is ready for `event`, a flag of poll(2), or has failed.

    select(2) refuses descriptors from 1,024 on.
    """
    poll = select.poll()
    for line in lines:
        poll.register(line.sock, event)
    return bool(poll.poll(seconds * 1000))


class Listener:
    """Accepts connections on a free loopback port and serves each in a thread of its own."""

    def __init__(self) -> None:
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_until_closed, args=(LineConnection(sock),), daemon=True
            ).start()

    def _serve_until_closed(self, line: LineConnection) -> None:
        with suppress(OSError):  # the node has closed the connection
            self.serve(line)

    def serve(self, line: LineConnection) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Close the listener and end the thread that accepts, which would keep this object's sockets open."""
        self._sock.shutdown(socket.SHUT_RDWR)  # wakes the accept, which a close alone leaves waiting
        self._sock.close()


class FakeEndpoint(Listener):
    """An endpoint; `answers` maps the first word of a line to the line sent back, None to send nothing.

    The answers "FIN" and "RESET" end the connection. With `echo`, a line that starts with M comes back.
    """

    ANSWERS = {"OPEN": "UP r1", "STATS": "PONG x0=0.2,x1=0.0,util=0.2", "PING": "PONG", "M": None}

    def __init__(self, uid: str, echo: bool = True, **answers: str | None) -> None:
        self.uid, self.echo, self.answers = uid, echo, {**self.ANSWERS, **answers}
        # Received, in order, without STATS.
        self.received_lines: queue.Queue[str] = queue.Queue()
        # "FIN" or "RESET" of a session; a reset before UP.
        self.session_ends: queue.Queue[str] = queue.Queue()
        # Connections whose OPEN was answered with UP r1.
        self.connections: queue.Queue[LineConnection] = queue.Queue()
        # Connections whose OPEN is not answered.
        self.unanswered: queue.Queue[LineConnection] = queue.Queue()
        super().__init__()

    def list_entry(self, state: str = "Ready") -> dict[str, Any]:
        return list_entry(self.uid, self.address, state)

    def serve(self, line: LineConnection) -> None:
        established = opened = False
        while (text := line.read()) not in ("", "RESET"):
            word = text.split(" ")[0]
            opened = opened or word == "OPEN"
            if word != "STATS":
                self.received_lines.put(text)
            answer = text if word == "M" and self.echo else self.answers.get(word, "SYNTAX")
            if answer in ("FIN", "RESET"):
                line.close(reset=answer == "RESET")
                return
            if answer is not None:
                line.send(answer)
            elif word == "OPEN":
                self.unanswered.put(line)
            if word == "OPEN" and answer == "UP r1":
                established = True
                self.connections.put(line)
        if established or (opened and text == "RESET"):  # the node may reset a health check at any time
            self.session_ends.put("RESET" if text else "FIN")


class Discovery(Listener):
    """Discovery; sends each watch `first_update`, then what `send_update` or a test puts into `updates`.

    Each message is split into at most `chunk_count` chunks. The first `refuse_calls` calls are closed
    without an answer.
    """

    CLOSE, RESET = "END", "RESET"  # put into `updates`: end the watch with a FIN or a reset

    def __init__(
        self,
        first_update: str = '{"rev":1,"all":false,"targets":[]}',
        refuse_calls: int = 0,
        chunk_count: int = 1,
    ) -> None:
        self.first_update, self.refuse_calls, self.chunk_count = first_update, refuse_calls, chunk_count
        self.rev = json.loads(first_update)["rev"]
        # The path of each watch, once it was sent `first_update`.
        self.watch_paths: queue.Queue[str] = queue.Queue()
        self.updates: queue.Queue[str] = queue.Queue()
        self._closed = False
        super().__init__()

    def serve(self, line: LineConnection) -> None:
        request = line.read()
        while line.read():
            pass
        if self.refuse_calls > 0:
            self.refuse_calls -= 1
            line.close()
            return
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send_chunked(line, self.first_update)
        self.watch_paths.put(request.split(" ")[1])
        while (text := self.updates.get()) not in (self.CLOSE, self.RESET):
            self.send_chunked(line, text)
        if self._closed:
            self.updates.put(self.CLOSE)  # for the next watch
        line.close(reset=text == self.RESET)

    def close(self) -> None:
        """Close the listener and end all watches."""
        super().close()
        self._closed = True
        self.updates.put(self.CLOSE)

    def send_chunked(self, line: LineConnection, text: str) -> None:
        data = text.encode() + b"\n"
        size = -(-len(data) // self.chunk_count)
        for start in range(0, len(data), size):
            piece = data[start : start + size]
            line.sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))

    def send_update(self, *entries: dict[str, Any]) -> None:
        """Send a list update with these entries, under the next revision."""
        self.rev += 1
        self.updates.put(json.dumps({"rev": self.rev, "all": False, "targets": entries}))


class Node:
    """A node in a process of its own, started by `python -m MODULE` as in production.

    `edit_config` edits the configuration before it is written.
    """

    def __init__(
        self,
        *endpoints: FakeEndpoint,
        discovery: Discovery | None = None,
        edit_config: Callable[[Any], None] | None = None,
        module: str = "stepflow",
    ) -> None:
        self.endpoints: tuple[FakeEndpoint, ...] = endpoints
        self.module = module
        self.discovery: Discovery | None = discovery or Discovery()
        known = {"rev": 1, "all": True, "targets": [endpoint.list_entry() for endpoint in endpoints]}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "5",
            "ops": "127.0.0.1:0",
            "limits": {"sockets": 1024},
            "known": known,
            "settings": json.loads(json.dumps(SETTINGS)),
        }
        if edit_config is not None:
            edit_config(self.config)
        self.temp_dir = tempfile.mkdtemp()
        self.config_path, self.env = f"{self.temp_dir}/config.json", {"TMPDIR": self.temp_dir}
        self.write_config()

    def write_config(self, text: str | None = None) -> None:
        """Write `text`, or else `config`, to the configuration file that the node reads."""
        with open(self.config_path, "w") as file:
            file.write(json.dumps(self.config) if text is None else text)

    def successor(self) -> Node:
        """Return a second process of this node, to be started beside it.

        Both use the same configuration and directory; the stand-ins and `temp_dir` stay with the first one.
        """
        other = copy(self)
        other.endpoints, other.discovery, other.temp_dir = (), None, ""
        other.env = {**self.env, "GW_OPS": "127.0.0.2:0"}
        return other

    def __enter__(self) -> Node:
        self.log_text = ""  # the log as read so far
        self.process = subprocess.Popen(
            [sys.executable, "-m", self.module],
            env={**os.environ, "GW_CONFIG": self.config_path, **self.env},
            stderr=subprocess.PIPE,
            text=True,
        )
        found = self.wait_for_log(r'admin listening.*address["=:]+([0-9.]+):(\d+)')
        self.admin_address = (found.group(1), int(found.group(2)))
        found = self.wait_for_log(r'event["=:]+listening.*address["=:]+127\.0\.0\.1:(\d+)')
        self.port = int(found.group(1))
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.communicate()
        for listener in (*self.endpoints, *filter(None, [self.discovery])):
            listener.close()
        if self.temp_dir:
            rmtree(self.temp_dir)

    def wait_for_log(self, pattern: str) -> re.Match[str]:
        """Read the log up to the first line that matches; kill the node if none comes within TIMEOUT_S."""
        assert self.process.stderr is not None
        limit = threading.Timer(TIMEOUT_S, self.process.kill)
        limit.start()
        try:
            for line in self.process.stderr:
                self.log_text += line
                if found := re.search(pattern, line):
                    return found
        finally:
            limit.cancel()
        raise AssertionError(f"the node ended before it logged {pattern!r}; its log: {self.log_text}")

    def wait_exit(self) -> str:
        """Wait for the process to exit and return its whole log; kill it after TIMEOUT_S.

        `communicate` would skip the text that `wait_for_log` has already read into its buffer.
        """
        assert self.process.stderr is not None
        limit = threading.Timer(TIMEOUT_S, self.process.kill)
        limit.start()
        try:
            self.log_text += self.process.stderr.read()
            self.process.wait()
        finally:
            limit.cancel()
        return self.log_text

    def wait_for_counter(self, name: str, value: int) -> None:
        """Poll a counter until it reaches `value`: the events that it counts may still be under way."""
        deadline, log_before = time.monotonic() + TIMEOUT_S, self.log_text
        while True:
            self.log_text = log_before  # drop the log of the previous poll: there may be a thousand polls
            self.process.send_signal(signal.SIGUSR1)
            count = int(self.wait_for_log(rf"counters: .*\b{name}=(\d+)").group(1))
            if count == value:
                return
            assert count < value and time.monotonic() < deadline, f"{name}={count}"

    def client(self, *lines: str, receive_buffer: int = 0) -> LineConnection:
        """Connect a client and send these lines; a small `receive_buffer` takes little until it is read."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(TIMEOUT_S)
        sock.connect(("127.0.0.1", self.port))
        line = LineConnection(sock)
        if lines:
            line.send(*lines)
        return line

    def call_admin(self, path: str, method: str = "GET") -> tuple[int, str]:
        """Make one call to the admin address and return the answer's status and body."""
        call = http.client.HTTPConnection(*self.admin_address, timeout=TIMEOUT_S)
        call.request(method, path)
        answer = call.getresponse()
        assert answer.getheader("connection") == "close"
        return answer.status, answer.read().decode()

    def reload(self, text: str | None = None, **change: Any) -> None:
        """Write `text`, or else `config` with these changes, to the configuration file and send SIGHUP."""
        self.write_config(json.dumps({**self.config, **change}) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def suspend(self) -> None:
        """Stop the process and wait until it has stopped; the kernel queues what arrives, in order."""
        self.process.send_signal(signal.SIGSTOP)
        with open(f"/proc/{self.process.pid}/stat") as stat:
            while stat.read().rpartition(")")[2].split()[0] != "T":
                stat.seek(0)

    def resume(self) -> None:
        """Let the stopped process run again."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


def open_line(
    number: int = 1, extra_fields: str = "", wait_ms: int = 1000, group: int = 0x5C0F6E1A2B3D4C59
) -> str:
    """Return a `view` OPEN line with the client's wait `wait_ms`; `extra_fields` goes before the group."""
    return f"OPEN {number:016x} 7f3a9c21e0b4d655 c=view,d={wait_ms}{extra_fields},g={group:016x}"


def list_entry(uid: str, address: str, state: str = "Ready") -> dict[str, Any]:
    """Return an endpoint's entry in discovery's list."""
    return {
        "uid": uid,
        "endpoint": address,
        "az": "a",
        "model": "k",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
