"""Clients that reconnect, and a ledger of the attempts at endpoints, to check the rules under faults."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.fleet import MapServer

LINE_INTERVAL_S = 0.1  # time between two lines of a session
ANSWER_TIMEOUT_S = 3.0  # longest wait for an answer or an echo
RETURN_DELAY_S = (0.05, 0.4)  # range of the delay before a client connects again

Address = tuple[str, int]


@dataclass
class Ledger:
    """The attempts at endpoints, by endpoint and by the request id that the client gave."""

    opened: Counter[str] = field(default_factory=Counter)  # attempts by endpoint
    open_attempts: Counter[bytes] = field(default_factory=Counter)  # number of open attempts by request id
    overlaps: int = 0  # attempts started while another attempt of the same request was open
    shut: dict[str, float] = field(default_factory=dict)  # by endpoint: since when it must not get attempts
    late: list[tuple[str, float]] = field(default_factory=list)  # attempts at shut endpoints: uid, delay

    def note_start(self, uid: str, request: bytes) -> None:
        """Count the start of an attempt, an overlap with another one, and a start at a shut endpoint."""
        self.opened[uid] += 1
        self.open_attempts[request] += 1
        self.overlaps += self.open_attempts[request] > 1
        if uid in self.shut:
            self.late.append((uid, time.monotonic() - self.shut[uid]))

    def note_end(self, request: bytes) -> None:
        """Count the end of an attempt."""
        self.open_attempts[request] -= 1


@dataclass
class LedgerServer(MapServer):
    """A map server that writes the ledger; `reset` decides whether to abort a connection on its OPEN line."""

    ledger: Ledger = field(default_factory=Ledger)
    reset: Callable[[], bool] = lambda: False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection and record its attempt in the ledger."""
        request = b""
        try:
            while line := await reader.readline():
                word, _, rest = line.partition(b" ")
                if word == b"OPEN":
                    request = rest.split(b" ", 1)[0]
                    self.ledger.note_start(self.uid, request)
                    if self.reset():
                        writer.transport.abort()
                        return
                writer.write(self.answer(line, writer))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            if request:
                self.ledger.note_end(request)
            self.standing.pop(writer, None)
            writer.close()


@dataclass
class Observations:
    """The observations of all clients of a crowd."""

    answers: Counter[str] = field(default_factory=Counter)  # number of answers by first word
    unanswered: int = 0  # requests without an answer from a node that was not killed
    cut: int = 0  # sessions that ended without MOVE at a node that was not killed
    moved: int = 0
    extra: int = 0  # unexpected lines, such as a second answer
    held_s: float = 0.0  # longest time from a line to its echo


class Crowd:
    """A fixed number of clients, each of which connects to one node after another until the crowd ends."""

    def __init__(self, nodes: list[Address], clients: int) -> None:
        self.nodes, self.seen = nodes, Observations()
        self.killed: set[Address] = set()  # broken connections to killed nodes are not counted
        self.request_count = 0
        self._established = 0
        self._tasks = [asyncio.create_task(self._run_client(number)) for number in range(clients)]

    async def end(self) -> None:
        """Stop all clients; raise the exception of a client that failed."""
        for task in self._tasks:
            task.cancel()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def stand(self, share: float = 0.9) -> None:
        """Wait until this share of the clients has a session at the same time."""
        async with asyncio.timeout(30):
            while self._established < share * len(self._tasks):
                await asyncio.sleep(0.02)

    async def _run_client(self, number: int) -> None:
        connections = 0
        while True:
            connections += 1
            node = self.nodes[(number + connections) % len(self.nodes)]
            try:
                reader, writer = await asyncio.open_connection(*node)
            except OSError:
                await asyncio.sleep(RETURN_DELAY_S[0])
                continue
            try:
                await self._run_session(number, node, reader, writer)
            finally:
                writer.close()
            low, high = RETURN_DELAY_S
            await asyncio.sleep(low + (high - low) * (number * 7 % 10) / 10)

    async def _run_session(
        self, number: int, node: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send one request and, if its session is established, hold it."""
        self.request_count += 1
        line = (
            f"OPEN {self.request_count:016x} {number:016x} "
            f"c=view,d={int(1000 * ANSWER_TIMEOUT_S)},g={number % 9 + 1:x}\r\n"
        )
        answer = await self._exchange_line(reader, writer, line.encode())
        if not answer:
            self.seen.unanswered += node not in self.killed
            return
        self.seen.answers[answer.split()[0].decode()] += 1
        if not answer.startswith(b"UP"):
            self.seen.extra += bool(await reader.read())  # only the end of the connection may follow
            return
        self._established += 1
        try:
            while True:
                began = time.monotonic()
                echo = await self._exchange_line(reader, writer, b"M 1\r\n")
                if echo == b"MOVE\r\n":
                    self.seen.moved += 1
                    return
                if not echo:
                    self.seen.cut += node not in self.killed
                    return
                self.seen.extra += echo != b"M 1\r\n"
                self.seen.held_s = max(self.seen.held_s, time.monotonic() - began)
                await asyncio.sleep(LINE_INTERVAL_S)
        finally:
            self._established -= 1

    @staticmethod
    async def _exchange_line(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes
    ) -> bytes:
        """Send a line and return the next one; b"" if the connection ends or stays silent."""
        try:
            writer.write(line)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await reader.readline()
        except (ConnectionError, TimeoutError):
            return b""
