"""Stand-ins and helpers that the cases 6 to 10 share: map servers, discovery, clients, and the node.

Written from the protocol page alone. Everything listens on loopback addresses and free ports; files go to a
temporary folder. Each process that is started here is ended here, by its process id.
"""

# ruff: noqa: D102, C901 (a script that is read from top to bottom)

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
        self._file.flush()


class MapServer:
    """A sound map server: answers STATS and OPEN, echoes lines, and keeps what was sent to it."""

    def __init__(self, uid: str, record: Record | None = None) -> None:
        self.uid, self.record = uid, record
        self.state, self.boot_ms, self.model, self.zone, self.cell = "Ready", 0, "k", "a", 0
        self.load = 0.2
        self.opens: list[tuple[float, str]] = []  # time and id of each OPEN line
        self.sessions = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> MapServer:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def entry(self, state: str = "") -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": self.model,
            "pod_group": self.cell,
            "state": state or self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def report(self) -> str:
        return f"x0={self.load:.4f},x1=0.0010,util={self.load:.4f}"

    async def opened(self, line: str, writer: asyncio.StreamWriter) -> bytes:
        """Return the answer to an OPEN line."""
        return f"UP {self.uid}-{len(self.opens)}\r\n".encode()

    async def echo(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        is_up = False
        try:
            while line := await reader.readline():
                if not line.endswith(b"\r\n"):
                    break
                if is_up:
                    await self.echo(line, writer)
                elif line == b"PING\r\n":
                    writer.write(b"PONG\r\n")
                elif line == b"STATS\r\n":
                    writer.write(f"PONG {self.report()}\r\n".encode())
                elif line.startswith(b"OPEN "):
                    text = line.decode().rstrip()
                    self.opens.append((time.monotonic(), text.split()[1]))
                    if self.record is not None:
                        self.record.note(f"{self.uid} got    {text}")
                    answer = await self.opened(text, writer)
                    if self.record is not None:
                        self.record.note(f"{self.uid} says   {answer.decode().rstrip()} to {text.split()[1]}")
                    writer.write(answer)
                    is_up = answer.startswith(b"UP")
                    self.sessions += is_up
                    if not is_up:
                        await writer.drain()
                        break
                else:
                    writer.write(b"SYNTAX\r\n")
                await writer.drain()
        except (OSError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.sessions -= is_up
            self._writers.discard(writer)
            writer.close()


class Discovery:
    """Discovery, or the agent that holds what discovery has pushed: whole lists, and watches."""

    def __init__(self, servers: list[MapServer], record: Record | None = None) -> None:
        self.servers, self.record = servers, record
        self.rev = 1
        self.silent = False  # says nothing, on open calls and on new ones
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.calls = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._watches: dict[asyncio.StreamWriter, int] = {}  # each with the revision that it has
        self._told = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=64)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.add(asyncio.create_task(self._beat()))
        return self

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in tuple(self._watches):
            writer.transport.abort()

    @property
    def watches(self) -> int:
        """The number of open watches."""
        return len(self._watches)

    def whole(self) -> dict[str, Any]:
        targets = [server.entry() for server in self.servers if server.state != "Gone"]
        return {"rev": self.rev, "all": True, "targets": targets}

    def change(self, server: MapServer, state: str) -> None:
        """Change a server's state, and write that to all watches unless silent."""
        server.state = state
        self.rev += 1
        self.changes.append((self.rev, server.entry()))
        if not self.silent:
            self.write_changes()

    def write_changes(self) -> None:
        for writer, has in tuple(self._watches.items()):
            self._write_since(writer, has)

    def _write_since(self, writer: asyncio.StreamWriter, has: int) -> None:
        missed = {entry["uid"]: entry for rev, entry in self.changes if rev > has}
        if missed:
            message = {"rev": self.rev, "all": False, "targets": list(missed.values())}
            self._chunk(writer, json.dumps(message).encode() + b"\n")
        self._watches[writer] = self.rev

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(2)
            if not self.silent:
                for writer in tuple(self._watches):
                    self._chunk(writer, b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split()[1]
            self.calls += 1
            if self.record is not None:
                self.record.note(f"discovery called {path} silent={self.silent}")
            while self.silent:
                await asyncio.sleep(0.005)
                if reader.at_eof():
                    return
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n")
            if "watch=1" not in path:
                body = json.dumps(self.whole()).encode()
                writer.write(b"content-length: %d\r\nconnection: close\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"transfer-encoding: chunked\r\n\r\n")
            self._chunk(writer, json.dumps(self.whole()).encode() + b"\n")
            self._watches[writer] = self.rev
            if self.record is not None:
                self.record.note(f"discovery answered {path} with rev {self.rev}")
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, IndexError):
            pass
        finally:
            self._watches.pop(writer, None)
            writer.close()


VIEW = {"name": "view", "aim_us": 300_000, "give_up_us": 1_200_000, "effect": "repeatable", "credit": 1.0}
SAVE = {
    "name": "save-edge",
    "aim_us": 800_000,
    "give_up_us": 4_800_000,
    "effect": "repeatable",
    "credit": 3.0,
}


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, as in the pages' example, with some keys changed."""
    tree: dict[str, Any] = {
        "group_size": 1,
        "position": 0,
        "zone": 0,
        "azs": ["a"],
        "kinds": ["k"],
        "discovery": "on_request",
        "classes": [dict(VIEW), dict(SAVE)],
        "tenants": [],
        "domain": {
            "mode": "proxy",
            "groups": True,
            "message_aim_us": [50_000.0, 50_000.0],
            "tells_load": True,
        },
        "policy_limits": {
            "most_tries": 6,
            "probing": True,
            "cancel": True,
            "second_copies": False,
            "connect_timeout_us": 200_000,
            "idle_close_us": 15_000_000,
            "max_retry_after_us": 2_000_000,
        },
        "safety": {
            "answer_slack_us": 20_000,
            "ask_within_us": 10_000_000,
            "cold_share": 0.3,
            "warm_after_us": 8_700_000,
            "fall_multiple": 2.5,
            "overload_for_us": 1_500_000,
            "drain_grace_us": 500_000,
        },
        "costs": {"discovery": 0.005, "late_fail": 0.042, "moves": 0.02, "probe": 0.004, "waste": 0.05},
        "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
        "tick_us": 5000,
    }
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(tree.get(key), dict):
            tree[key].update(value)
        else:
            tree[key] = value
    return tree


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port outside the usual range of outgoing connections, each port once."""
    for _ in range(1000):
        port = random.randrange(18_000, 30_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            if port not in _given_ports:
                _given_ports.add(port)
                return port
    raise CannotRunError("no free port")


class Node:
    """A node: the deploy file's `run`, as a process of its own."""

    def __init__(
        self, folder: str, name: str, tree: dict[str, Any], discovery: Discovery, **more: Any
    ) -> None:
        self.folder, self.name = folder, name
        self.port, self.ops_port = free_port(), free_port()
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery.address,
            "seed": more.pop("seed", "8c1f30d27a5be964"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": more.pop("sockets", 1024)},
            "known": more.pop("known", None) or discovery.whole(),
            "settings": tree,
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> str:
        path = os.path.join(self.folder, f"{self.name}.json")
        Path(path + ".new").write_text(json.dumps(self.config))
        os.replace(path + ".new", path)  # a node that reads it meanwhile finds one file or the other
        return path

    async def start(self, second: bool = False) -> Node:
        """Start the process and wait until it says that it is ready."""
        path = self.write_config()
        temporary = os.path.join(self.folder, f"{self.name}.tmp")
        os.makedirs(temporary, exist_ok=True)
        if second:
            self.ops_port = free_port()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith(("GW_", "STEPFLOW_"))},
            "GW_CONFIG": path,
            "GW_NAME": self.name,
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_OPS": f"{HOST}:{self.ops_port}",
            "TMPDIR": temporary,
        }
        with open(os.path.join(self.folder, f"{self.name}-{self.ops_port}.log"), "wb") as log:
            self.log_path = log.name
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        try:
            await self._wait_until_ready(self.process)
        except BaseException:
            await self.kill()
            raise
        return self

    async def _wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until and process.returncode is None:
            with suppress(OSError, TimeoutError):
                if (await self.call("/v1/readyz")).startswith("HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the node was not ready within 30 s: " + self.log()[-400:])

    async def call(self, path: str) -> str:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(HOST, self.ops_port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nhost: node\r\n\r\n".encode())
                return (await reader.read()).decode()
            finally:
                writer.close()

    def log(self) -> str:
        with suppress(OSError):
            return Path(self.log_path).read_text(errors="replace")
        return ""

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Client:
    """A client: one OPEN line, then a line every two seconds; keeps what it saw."""

    def __init__(self, port: int, id: str, wait_ms: int = 1200, options: str = "", cls: str = "view") -> None:
        self.port, self.id, self.wait_ms = port, id, wait_ms
        self.line = f"OPEN {id} {int(id, 16) & 0xFFFF:x} c={cls},d={wait_ms}{options}"
        self.answer: str | None = None  # None: none came
        self.sent_at = self.answered_at = 0.0
        self.lines: list[tuple[float, str]] = []
        self.line_sent_at: dict[int, float] = {}
        self.ended_at = 0.0
        self.end = ""
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, slack_s: float = 0.6) -> str | None:
        """Send the OPEN line; return the answer, "" for an end without one, None if none came in time."""
        try:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
            self.writer.write(self.line.encode() + b"\r\n")
            self.sent_at = time.monotonic()
            async with asyncio.timeout(self.wait_ms / 1000 + slack_s):
                self.answer = (await self.reader.readline()).decode().rstrip("\r\n")
        except TimeoutError:
            self.answer = None
        except OSError:
            self.answer = "" if self.sent_at else None
        self.answered_at = time.monotonic()
        return self.answer

    async def hold(self, interval_s: float = 2.0) -> None:
        """Send a line at intervals and keep all that comes, until the connection ends."""
        assert self.reader is not None and self.writer is not None
        task = asyncio.create_task(self._send_lines(interval_s))
        try:
            while line := await self.reader.readline():
                self.lines.append((time.monotonic(), line.decode(errors="replace")))
            self.end = "FIN"
        except OSError as error:
            self.end = type(error).__name__
        finally:
            self.ended_at = time.monotonic()
            task.cancel()
            self.writer.close()

    async def _send_lines(self, interval_s: float) -> None:
        assert self.writer is not None
        number = 0
        with suppress(OSError):
            while True:
                number += 1
                self.line_sent_at[number] = time.monotonic()
                self.writer.write(f"M {self.id} {number}\r\n".encode())
                await asyncio.sleep(interval_s)

    @property
    def was_moved(self) -> bool:
        return any(line == "MOVE\r\n" for _, line in self.lines)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def main(case_file: str, play: Callable[[Record, str], Awaitable[int]], limit_s: float = 110) -> None:
    """Play a case, end with its exit code; a case that can't be played ends with 2."""
    record = Record(Path(case_file).resolve().parent)
    record.note(f"TROUBLE={int(TROUBLE)}")

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="sf") as folder:
            try:
                async with asyncio.timeout(limit_s):
                    return await play(record, folder)
            except (CannotRunError, TimeoutError) as error:
                record.note(f"could not run: {error!r}")
                return NOT_RUN

    try:
        code = asyncio.run(run())
    except Exception as error:  # a fault of the case, not of the node
        record.note(f"could not run: {error!r}")
        code = NOT_RUN
        if os.environ.get("CASE_DEBUG"):
            raise
    record.note(
        f"exit {code}: " + {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run")
    )
    sys.exit(code)
