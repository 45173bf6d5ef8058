"""Stand-ins for endpoints (map servers) and discovery in one process, which speak PROTOCOL's lines."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

HOST = "127.0.0.1"
KEEP_ALIVE_S = 2.0  # time between two empty lines of a watch
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WATCH_TIMEOUT_S = 30.0  # longest time until all nodes have started their watches


@dataclass
class MapServer:
    """A map server that accepts every session, answers health checks and echoes lines."""

    uid: str
    kind: str = "toy"
    report: Callable[[], str] = lambda: "x0=0.1,x1=0.0,util=0.1"
    state: str = "Ready"
    boot_ms: int = 0
    port: int = 0
    opened: int = 0  # OPEN lines received
    probed: int = 0  # STATS lines received
    standing: dict[asyncio.StreamWriter, None] = field(default_factory=dict)  # connections with a session

    def entry(self) -> dict[str, Any]:
        """Return the endpoint's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": "room",
            "model": self.kind,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until either side ends it."""
        try:
            while line := await reader.readline():
                writer.write(self.answer(line, writer))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.standing.pop(writer, None)
            writer.close()

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Return the answer to one line."""
        word = line.split(b" ", 1)[0].strip()
        if word == b"OPEN":
            self.opened += 1
            self.standing[writer] = None
            return b"UP %s\r\n" % self.uid.encode()
        if word == b"STATS":
            self.probed += 1
            return b"PONG %s\r\n" % self.report().encode()
        return b"PONG\r\n" if word == b"PING" else line


@dataclass
class Fleet:
    """Map servers and their discovery; `begin` opens the listeners, `tell` sends changes to all watches."""

    servers: list[MapServer]
    rev: int = 1
    refuse: int = 0  # number of next calls that are closed unanswered
    down: bool = False  # all calls are closed unanswered
    late_s: float = 0.0  # delay of each answer
    silent: bool = False  # calls stay open without an answer
    call_s: float = 0.0  # time to serve a call; calls are served one at a time
    address: str = ""
    _call_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _watches: dict[asyncio.StreamWriter, None] = field(default_factory=dict)
    _listeners: list[asyncio.Server] = field(default_factory=list)

    async def begin(self, serve: bool = True) -> None:
        """Open discovery and, with `serve`, the endpoints; the kernel chooses a port given as 0.

        `serve` is False if another fleet serves the same endpoints already.
        """
        for server in self.servers if serve else ():
            listener = await asyncio.start_server(server.serve, HOST, server.port)
            server.port = listener.sockets[0].getsockname()[1]
            self._listeners.append(listener)
        listener = await asyncio.start_server(partial(self._serve_discovery), HOST, 0)
        self.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        self._listeners.append(listener)

    def close(self) -> None:
        """Close all listeners."""
        for listener in self._listeners:
            listener.close()

    def known(self) -> dict[str, Any]:
        """Return the whole endpoint list."""
        return {"rev": self.rev, "all": True, "targets": [server.entry() for server in self.servers]}

    def tell(self, *changed: MapServer) -> None:
        """Send a list update about some endpoints, with the next revision, to all watches."""
        self.rev += 1
        change = {"rev": self.rev, "all": False, "targets": [server.entry() for server in changed]}
        for writer in self._watches:
            writer.write(chunk(json.dumps(change)))

    async def told(self, watches: int) -> None:
        """Wait until this number of watches is open, each of which has been sent the whole list."""
        async with asyncio.timeout(WATCH_TIMEOUT_S):
            while len(self._watches) < watches:
                await asyncio.sleep(0.01)

    def drop(self) -> None:
        """Close all watches, as discovery does when it stops."""
        for writer in tuple(self._watches):
            writer.close()
        self._watches.clear()

    def fall_silent(self) -> None:
        """Send nothing more on open watches, and leave calls unanswered until `resume`."""
        self.silent = True
        self._watches.clear()

    def resume(self, call_s: float) -> None:
        """Serve new calls one at a time, each for `call_s`; earlier calls stay unanswered."""
        self.silent, self.call_s = False, call_s

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (await reader.readline()).strip():
                pass
            if self.down or self.refuse > 0:
                self.refuse -= not self.down
                return
            if self.silent:
                await reader.read()  # returns when the node ends the call
                return
            await asyncio.sleep(self.late_s)
            async with self._call_lock:
                await asyncio.sleep(self.call_s)
            writer.write(WATCH_HEAD)
            writer.write(chunk(json.dumps(self.known())))
            self._watches[writer] = None
            while not reader.at_eof() and not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(KEEP_ALIVE_S)
                if writer not in self._watches:
                    await reader.read()
                    return
                writer.write(chunk(""))
        except (ConnectionError, asyncio.CancelledError):
            pass  # the node has disconnected, or the program ends
        finally:
            self._watches.pop(writer, None)
            writer.close()


def chunk(text: str) -> bytes:
    """Return a line of text as a chunk of an HTTP body."""
    data = text.encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)
