"""Map servers and their discovery, as one process may hold them: PROTOCOL's lines on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

HOST = "127.0.0.1"
KEEP_ALIVE = 2.0  # seconds between two empty lines of a watch
PATIENCE = 30.0  # seconds until a node that should watch is held not to


@dataclass
class MapServer:
    """One map server: takes any connection, answers probes, echoes lines."""

    uid: str
    kind: str = "toy"
    report: Callable[[], str] = lambda: "x0=0.1,x1=0.0,util=0.1"
    state: str = "Ready"
    boot_ms: int = 0
    port: int = 0
    opened: int = 0  # lines taken
    probed: int = 0
    standing: dict[asyncio.StreamWriter, None] = field(default_factory=dict)

    def entry(self) -> dict[str, Any]:
        """The server's entry in discovery's form."""
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
        """One connection, until either side ends it."""
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
        """What one line brings."""
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
    """Map servers behind one discovery; `begin` opens the addresses, `tell` sends changes to all watches."""

    servers: list[MapServer]
    rev: int = 1
    refuse: int = 0  # so many calls are cut off
    down: bool = False  # all are
    late_s: float = 0.0  # until a call is answered
    silent: bool = False  # all calls stay open, and nothing is said on them any more
    each_s: float = 0.0  # what a call takes of the one who serves them in turn
    address: str = ""
    _turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    _watches: dict[asyncio.StreamWriter, None] = field(default_factory=dict)
    _listeners: list[asyncio.Server] = field(default_factory=list)

    async def begin(self, serve: bool = True) -> None:
        """Open discovery, and the servers unless another discovery has, at ports that the kernel picks."""
        for server in self.servers if serve else ():
            listener = await asyncio.start_server(server.serve, HOST, server.port)
            server.port = listener.sockets[0].getsockname()[1]
            self._listeners.append(listener)
        listener = await asyncio.start_server(partial(self._discover), HOST, 0)
        self.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
        self._listeners.append(listener)

    def close(self) -> None:
        """Give the addresses back."""
        for listener in self._listeners:
            listener.close()

    def known(self) -> dict[str, Any]:
        """The whole list."""
        return {"rev": self.rev, "all": True, "targets": [server.entry() for server in self.servers]}

    def tell(self, *changed: MapServer) -> None:
        """News of some servers, in the next version of the list."""
        self.rev += 1
        change = {"rev": self.rev, "all": False, "targets": [server.entry() for server in changed]}
        for writer in self._watches:
            writer.write(_chunk(json.dumps(change)))

    async def told(self, watches: int) -> None:
        """Wait until so many nodes watch, and so have been told the whole list."""
        async with asyncio.timeout(PATIENCE):
            while len(self._watches) < watches:
                await asyncio.sleep(0.01)

    def drop(self) -> None:
        """End all watches, as when discovery goes down."""
        for writer in tuple(self._watches):
            writer.close()
        self._watches.clear()

    def fall_silent(self) -> None:
        """Say nothing more: neither on the watches that are open nor on any call until it speaks again."""
        self.silent = True
        self._watches.clear()

    def speak(self, each_s: float) -> None:
        """Serve those who call from now on, one after another; who has called before hears nothing."""
        self.silent, self.each_s = False, each_s

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (await reader.readline()).strip():
                pass
            if self.down or self.refuse > 0:
                self.refuse -= not self.down
                return
            if self.silent:
                await reader.read()  # until the node gives the call up
                return
            await asyncio.sleep(self.late_s)
            async with self._turn:
                await asyncio.sleep(self.each_s)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(_chunk(json.dumps(self.known())))
            self._watches[writer] = None
            while not reader.at_eof() and not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(KEEP_ALIVE)
                if writer not in self._watches:
                    await reader.read()
                    return
                writer.write(_chunk(""))
        except (ConnectionError, asyncio.CancelledError):
            pass  # the node has gone, or all ends
        finally:
            self._watches.pop(writer, None)
            writer.close()


def _chunk(text: str) -> bytes:
    data = text.encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)
