"""Clients of one node: they open, talk, rest, leave early, send half lines, and go on until its end."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from itertools import count

from standins.soak.records import ANSWER_SLACK_S, ENDS, KINDS, MOST_LAST_LINES, End, Records, Request, Session
from standins.soak.stream import ClientStream

HOST = "127.0.0.1"
LINE_EVERY_S = 0.15
LINES_AT_SERVER_END = 8
LINE_AT_SERVER_END_S = (0.001, 0.008)
ECHO_S = 5.0  # a session that brings nothing back is owed its end sooner than this
BAD_CLIENT_S = 3.0
SPLIT_LINE_SHARE = 0.2  # of first lines that come in two pieces
PING_SHARE = 0.5  # of resting clients that ask first whether the node lives
HALF_CLOSE_SHARE = 0.5  # of early leavers that end only their sending
PAUSE_S = (0.02, 0.3)
STILL_COMING_S = 0.4  # after SIGTERM
IDS: Iterator[int] = count(1)


@dataclass
class Door:
    """The node that some clients go to."""

    number: int
    port: int = 0
    told_to_end: float | None = None  # when; nobody new comes long after, but who is connected goes on
    killed: bool = False  # from then on nothing that breaks is the node's fault

    @property
    def open(self) -> bool:
        """Whether new connections still come."""
        return self.told_to_end is None or time.monotonic() - self.told_to_end < STILL_COMING_S


class Client:
    """One client, which comes again and again."""

    def __init__(
        self, door: Door, records: Records, rng: random.Random, stopped: Callable[[str], bool]
    ) -> None:
        self._door, self._records, self._rng = door, records, rng
        self._stopped = stopped  # whether a server has cut its sessions by itself

    async def live(self) -> None:
        """Until cancelled."""
        ways = (self._visit, self._visit, self._visit, self._rest, self._leave_early, self._half_line)
        while True:
            stream = await self._connect()
            if stream is not None:
                try:
                    await self._rng.choice(ways)(stream)
                finally:
                    stream.close()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _connect(self) -> ClientStream | None:
        if not self._door.open:
            return None
        try:
            return await ClientStream.connect(HOST, self._door.port)
        except OSError:
            return None

    async def _open(self, stream: ClientStream) -> Request:
        """Send a first line, in one piece or two."""
        kind, number = self._rng.choice(KINDS), next(IDS)
        request = Request(f"{number:016x}", kind, self._door.number)
        self._records.requests[request.id] = request
        text = f"OPEN {request.id} {number:016x} c={kind.name},d={int(kind.wait_s * 1000)}\r\n".encode()
        cut = self._rng.randrange(1, len(text)) if self._rng.random() < SPLIT_LINE_SHARE else len(text)
        stream.write(text[:cut])
        if cut < len(text):
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))
            stream.write(text[cut:])
        request.sent = time.monotonic()
        return request

    async def _answer(self, request: Request, stream: ClientStream) -> str:
        """Wait for the answer; "" where the connection ends without one."""
        line = b""
        try:
            async with asyncio.timeout(request.kind.wait_s + ANSWER_SLACK_S + 2.0):
                line = await stream.readline()
        except (ConnectionError, TimeoutError):
            pass
        except asyncio.CancelledError:
            request.left = time.monotonic()
            raise
        request.answered = time.monotonic()
        if not line and self._door.killed:
            request.left = request.answered  # a run that ended; the check of the exit speaks of it
            return ""
        request.answer = line.split()[0].decode() if line.strip() else ""
        return request.answer

    async def _visit(self, stream: ClientStream) -> None:
        request = await self._open(stream)
        if await self._answer(request, stream) == "UP":
            await self._talk(request, stream)

    async def _rest(self, stream: ClientStream) -> None:
        """Ask whether the node lives, then say nothing for a while; answers may come without a question."""
        if self._rng.random() < PING_SHARE:
            stream.write(b"PING\r\n")
            if (await self._line(stream)) != b"PONG\r\n":
                return
        rest = self._rng.uniform(0.1, 2.2)
        until = time.monotonic() + rest
        while time.monotonic() < until and not stream.ended:
            await asyncio.sleep(0.02)
        await self._visit(stream)

    async def _leave_early(self, stream: ClientStream) -> None:
        request = await self._open(stream)
        try:
            async with asyncio.timeout(self._rng.uniform(0.0, 0.5)):
                line = await stream.readline()
            request.answer = line.split()[0].decode() if line.strip() else ""
            request.answered = time.monotonic()
        except TimeoutError:
            request.left = time.monotonic()
            if self._rng.random() < HALF_CLOSE_SHARE:
                stream.end_sending()
                await self._line(stream)
        except ConnectionError:
            request.answer, request.answered = "", time.monotonic()

    async def _half_line(self, stream: ClientStream) -> None:
        """Stop amid the first line, and stay: an error or an end is owed in time."""
        stream.write(b"OPEN 00000000000000")
        began = time.monotonic()
        try:
            async with asyncio.timeout(BAD_CLIENT_S + 0.5 + self._records.late_loop_s):
                await stream.readline()
        except TimeoutError:
            if not self._door.killed:
                held = time.monotonic() - began
                self._records.held_bad.append(f"n{self._door.number}: a half line was held {held:.1f} s")
        except ConnectionError:
            pass

    async def _talk(self, request: Request, stream: ClientStream) -> None:
        """Lines and echoes, until the client has enough, its server ends the session, or it is moved."""
        session = request.attempts[-1].session
        writing = asyncio.create_task(self._write_at_server_end(session, stream))
        try:
            await self._exchange_lines(request, session, stream)
        finally:
            writing.cancel()
            session.client_waited_until = stream.ended_at if stream.ended else time.monotonic()
            if self._door.killed:
                session.client_waited_until = 0.0

    async def _write_at_server_end(self, session: Session, stream: ClientStream) -> None:
        """Write some lines while the node passes the server's end on."""
        await session.server_ended.wait()
        for _ in range(LINES_AT_SERVER_END):
            await asyncio.sleep(self._rng.uniform(*LINE_AT_SERVER_END_S))
            self._write(session, stream, b"M\r\n")

    async def _exchange_lines(self, request: Request, session: Session, stream: ClientStream) -> None:
        until = time.monotonic() + self._rng.uniform(0.3, 6.0)
        while time.monotonic() < until:
            self._write(session, stream, b"M\r\n")
            line = await self._line(stream)
            if line == b"MOVE\r\n":
                session.moved, session.received = True, stream.session_lines()
                return
            if line != b"M\r\n":
                session.received, session.client_read_all = stream.session_lines(), stream.ended
                if not (self._door.killed or session.server_end or self._has_stopped(request)):
                    told = f"{request.id} {request.attempts[-1].server} {line!r}"
                    self._records.cut[self._door.number].append(told)
                return
            await asyncio.sleep(LINE_EVERY_S)
        await self._end(session, stream)

    def _has_stopped(self, request: Request) -> bool:
        return self._stopped(request.attempts[-1].server)

    def _write(self, session: Session, stream: ClientStream, line: bytes) -> None:
        stream.write(line)
        session.sent.append(line)

    async def _end(self, session: Session, stream: ClientStream) -> None:
        """Write last lines and end in one moment; after a FIN read on to the other side's end."""
        session.client_end = self._rng.choice(ENDS)
        for number in range(self._rng.randint(0, MOST_LAST_LINES)):
            self._write(session, stream, b"L %d\r\n" % number)
        if session.client_end is End.RESET:
            stream.close(reset=True)
            return
        stream.end_sending()
        with suppress(TimeoutError):
            async with asyncio.timeout(ECHO_S):
                await stream.read_to_end()
        session.received, session.client_read_all = stream.session_lines(), stream.ended
        session.moved = b"MOVE\r\n" in session.received

    async def _line(self, stream: ClientStream) -> bytes:
        """The next line; what came where the connection ends or stays silent."""
        try:
            async with asyncio.timeout(ECHO_S):
                while (line := await stream.readline()).startswith((b"LOAD ", b"L ")):
                    pass
                return line
        except TimeoutError as fault:
            return repr(fault).encode()
