"""Clients that come again, and a ledger of what map servers saw: what a wave of faults is held against."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.fleet import MapServer

LINE_S = 0.1  # between two lines of a session
WAIT_S = 3.0  # the most that a client waits for an answer or an echo
BACK_S = (0.05, 0.4)  # until it comes again

Endpoint = tuple[str, int]


@dataclass
class Ledger:
    """Which attempts were out at which server, by the id that a client gave."""

    opened: Counter[str] = field(default_factory=Counter)  # attempts by server
    out: Counter[bytes] = field(default_factory=Counter)  # by request
    overlaps: int = 0  # requests that were out twice at once
    shut: dict[str, float] = field(default_factory=dict)  # since when servers must get nothing
    late: list[tuple[str, float]] = field(default_factory=list)  # what they got all the same, after so long

    def begins(self, uid: str, request: bytes) -> None:
        """Count a request at a server, and whether it overlaps or comes after the end of the drain."""
        self.opened[uid] += 1
        self.out[request] += 1
        self.overlaps += self.out[request] > 1
        if uid in self.shut:
            self.late.append((uid, time.monotonic() - self.shut[uid]))

    def ends(self, request: bytes) -> None:
        """A request has ended at its server."""
        self.out[request] -= 1


@dataclass
class LedgerServer(MapServer):
    """A map server that keeps the ledger; `reset` says whether it resets a connection under its request."""

    ledger: Ledger = field(default_factory=Ledger)
    reset: Callable[[], bool] = lambda: False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, and keep the ledger of its requests."""
        request = b""
        try:
            while line := await reader.readline():
                word, _, rest = line.partition(b" ")
                if word == b"OPEN":
                    request = rest.split(b" ", 1)[0]
                    self.ledger.begins(self.uid, request)
                    if self.reset():
                        writer.transport.abort()
                        return
                writer.write(self.answer(line, writer))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            if request:
                self.ledger.ends(request)
            self.standing.pop(writer, None)
            writer.close()


@dataclass
class Seen:
    """What all clients of a crowd saw."""

    answers: Counter[str] = field(default_factory=Counter)  # the first word of each answer
    unanswered: int = 0  # lines that a node took and never answered, while it ran
    cut: int = 0  # sessions that ended without MOVE
    moved: int = 0
    extra: int = 0  # lines that were no echo and no word of the protocol: a second answer among them
    held_s: float = 0.0  # the longest that a line took there and back


class Crowd:
    """So many clients, each of them at one of the nodes at a time, for as long as the crowd stands."""

    def __init__(self, nodes: list[Endpoint], clients: int) -> None:
        self.nodes, self.seen = nodes, Seen()
        self.killed: set[Endpoint] = set()  # nodes that were killed: what breaks there is no node's fault
        self.ids = 0
        self._up = 0
        self._tasks = [asyncio.create_task(self._client(number)) for number in range(clients)]

    async def end(self) -> None:
        """Send everybody home."""
        for task in self._tasks:
            task.cancel()
        for found in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(found, Exception):
                raise found

    async def stand(self, share: float = 0.9) -> None:
        """Wait until so many of them are served at once."""
        async with asyncio.timeout(30):
            while self._up < share * len(self._tasks):
                await asyncio.sleep(0.02)

    async def _client(self, number: int) -> None:
        tries = 0
        while True:
            tries += 1
            node = self.nodes[(number + tries) % len(self.nodes)]
            try:
                reader, writer = await asyncio.open_connection(*node)
            except OSError:
                await asyncio.sleep(BACK_S[0])
                continue
            try:
                await self._session(number, node, reader, writer)
            finally:
                writer.close()
            low, high = BACK_S
            await asyncio.sleep(low + (high - low) * (number * 7 % 10) / 10)

    async def _session(
        self, number: int, node: Endpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One try and, where it comes up, its session."""
        self.ids += 1
        line = f"OPEN {self.ids:016x} {number:016x} c=view,d={int(1000 * WAIT_S)},g={number % 9 + 1:x}\r\n"
        answer = await self._said(reader, writer, line.encode())
        if not answer:
            self.seen.unanswered += node not in self.killed
            return
        self.seen.answers[answer.split()[0].decode()] += 1
        if not answer.startswith(b"UP"):
            self.seen.extra += bool(await reader.read())  # nothing follows an answer but the end
            return
        self._up += 1
        try:
            while True:
                began = time.monotonic()
                echo = await self._said(reader, writer, b"M 1\r\n")
                if echo == b"MOVE\r\n":
                    self.seen.moved += 1
                    return
                if not echo:
                    self.seen.cut += node not in self.killed
                    return
                self.seen.extra += echo != b"M 1\r\n"
                self.seen.held_s = max(self.seen.held_s, time.monotonic() - began)
                await asyncio.sleep(LINE_S)
        finally:
            self._up -= 1

    @staticmethod
    async def _said(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> bytes:
        """What comes back for a line; nothing where the connection ends or stays silent."""
        try:
            writer.write(line)
            async with asyncio.timeout(WAIT_S):
                return await reader.readline()
        except (ConnectionError, TimeoutError):
            return b""
