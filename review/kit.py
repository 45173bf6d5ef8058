"""Stand-ins for the review's cases: map servers, discovery, clients and the platform.

They follow the published pages and use the standard library alone. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
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
HELD, BROKEN, NOT_RUN = 0, 1, 2
VIEW = {
    "name": "view",
    "aim_us": 300000,
    "give_up_us": 1200000,
    "effect": "repeatable",
    "key_scope": "all",
    "key_ttl_us": 5000000,
    "credit": 1.0,
}


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class LineStream:
    """A connection that is read and written by lines."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self) -> str:
        """Return the next line; "" at a FIN and "RESET" at a reset."""
        try:
            line = await self.reader.readline()
        except (ConnectionError, OSError):
            return "RESET"
        return line.decode().rstrip("\r\n")

    def send(self, line: str) -> None:
        """Write a line."""
        self.writer.write(line.encode() + b"\r\n")

    def close(self) -> None:
        """Close with a FIN."""
        self.writer.close()


Behavior = Callable[["Server", LineStream, str], Awaitable[None]]


class Server:
    """A map server. It answers STATS and PING, and gives each OPEN line to `behavior`."""

    def __init__(self, uid: str, record: Record, behavior: Behavior, cell: int = 1, zone: str = "a") -> None:
        self.uid, self.record, self.behavior, self.cell, self.zone = uid, record, behavior, cell, zone
        self.state = "Ready"
        self.runs: list[tuple[float, str]] = []  # time and client id of each OPEN line that was received
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def entry(self) -> dict[str, Any]:
        """Return the entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": "k",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = LineStream(reader, writer)
        try:
            while (line := await stream.read()) not in ("", "RESET"):
                word = line.partition(" ")[0]
                if word == "STATS":
                    stream.send("PONG x0=0.2,x1=0.0,util=0.2")
                elif word == "PING":
                    stream.send("PONG")
                elif word == "OPEN":
                    client = line.split(" ")[1]
                    self.runs.append((self.record.now(), client))
                    self.record.write(f"server {self.uid} cell {self.cell}: got {line}")
                    await self.behavior(self, stream, line)
                    return
                else:
                    stream.send("SYNTAX")
        finally:
            writer.close()


async def serve_session(server: Server, stream: LineStream, line: str) -> None:
    """Answer UP and send each further line back until the client's end."""
    stream.send(f"UP r-{server.uid}")
    while (text := await stream.read()) not in ("", "RESET"):
        stream.send(text)


class Discovery:
    """Discovery as the pages describe it: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, servers: list[Server]) -> None:
        self.servers, self.revision = servers, 1
        self._watches: list[asyncio.Queue[bytes]] = []

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": [s.entry() for s in self.servers]}

    def update(self, *changed: Server) -> None:
        """Tell all watches the changed entries."""
        self.revision += 1
        message = {"rev": self.revision, "all": False, "targets": [s.entry() for s in changed]}
        for watch in self._watches:
            watch.put_nowait(json.dumps(message).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0].decode()
            body = json.dumps(self.full()).encode() + b"\n"
            if "watch=1" not in request:
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            queue: asyncio.Queue[bytes] = asyncio.Queue()
            self._watches.append(queue)
            try:
                while True:
                    writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                    await writer.drain()
                    try:
                        body = await asyncio.wait_for(queue.get(), 2.0)
                    except TimeoutError:
                        body = b"\n"
            finally:
                self._watches.remove(queue)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


_started: list[asyncio.subprocess.Process] = []


class Node:
    """One real node, started with the deploy file's `run`, from the root, by `/bin/sh -c`."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], name: str = "n1") -> None:
        self.record, self.folder = record, folder
        self.port, self.ops_port = free_port(), free_port()
        self.config_path = folder / f"{name}.json"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "ops": f"{HOST}:{self.ops_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self.write_config(self.config)
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file as a whole."""
        fresh = self.config_path.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        fresh.replace(self.config_path)

    async def start(self, ops_port: int = 0) -> asyncio.subprocess.Process:
        """Start a process of the node and wait until it is ready."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        (self.folder / "tmp").mkdir(exist_ok=True)
        env = {**os.environ, "GW_CONFIG": str(self.config_path), "TMPDIR": str(self.folder / "tmp")}
        env["GW_OPS"] = f"{HOST}:{ops_port or self.ops_port}"
        log = (self.folder / "node.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.process = process
        _started.append(process)
        for _ in range(300):
            if process.returncode is not None:
                raise RuntimeError(f"the node has ended with {process.returncode}")
            if "200" in (await self.ops("/v1/readyz", ops_port or self.ops_port))[:15]:
                return process
            await asyncio.sleep(0.05)
        raise RuntimeError("the node is not ready")

    async def ops(self, path: str, port: int = 0) -> str:
        """Return the answer of the operators' address, or "" if there is none."""
        try:
            reader, writer = await asyncio.open_connection(HOST, port or self.ops_port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            return ""
        return answer.decode()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the latest process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the latest process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def connect(self) -> LineStream:
        """Open a client's connection."""
        return LineStream(*await asyncio.open_connection(HOST, self.port))


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "group_size": 1,
        "position": 0,
        "discovery": "on_request",
        "azs": ["a"],
        "kinds": ["k"],
        "domain": {"mode": "proxy", "groups": True, "tells_load": True},
        "policy_limits": {
            "most_tries": 6,
            "probing": True,
            "cancel": True,
            "second_copies": False,
            "retry_after": False,
            "connect_timeout_us": 200000,
            "idle_close_us": 15000000,
        },
        "report": {"fields": ["x0", "x1", "utilization"], "via": "probe"},
        "safety": {"answer_slack_us": 20000, "ask_within_us": 10000000, "drain_grace_us": 500000},
        **changes,
    }


def new_id(rng: random.Random) -> str:
    """Return an id as clients use them: 16 hexadecimal digits."""
    return f"{rng.getrandbits(64):016x}"


async def _end_processes() -> None:
    for process in _started:
        if process.returncode is None:
            process.kill()
            await process.wait()


def main(play: Callable[[Record, Path, bool], Awaitable[int]], folder: Path, limit_s: float) -> None:
    """Play a case in a temporary folder, end all processes that it started, and exit with its result."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    work = Path(tempfile.mkdtemp(prefix="review-"))
    record.write(f"trouble: {trouble}")

    async def bounded() -> int:
        try:
            return await asyncio.wait_for(play(record, work, trouble), limit_s)
        except (TimeoutError, OSError, RuntimeError) as error:
            record.write(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await _end_processes()

    result = asyncio.new_event_loop().run_until_complete(bounded())
    with suppress(OSError):
        record.write("log of the node:\n" + (work / "node.log").read_text())
    shutil.rmtree(work, ignore_errors=True)
    record.write(f"result: {result} ({('held', 'broken', 'could not run')[result]})")
    sys.stderr.flush()
    os._exit(result)  # without the noise of the stand-ins' tasks, which wait for more connections
