"""Clients of one node: they hold sessions, idle, leave early and send half lines until the node ends."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from itertools import count

from standins.soak.records import ANSWER_SLACK_S, ENDS, KINDS, MAX_LAST_LINES, End, Records, Request, Session
from standins.soak.stream import ClientStream

HOST = "127.0.0.1"
LINE_INTERVAL_S = 0.15
LINES_AFTER_ENDPOINT_END = 8
LINE_AFTER_ENDPOINT_END_S = (0.001, 0.008)
ECHO_TIMEOUT_S = 5.0  # a node ends a session without echoes sooner than this
HALF_LINE_TIMEOUT_S = 3.0
SPLIT_LINE_SHARE = 0.2  # share of OPEN lines that are sent in two pieces
PING_SHARE = 0.5  # share of idle clients that send PING first
HALF_CLOSE_SHARE = 0.5  # share of clients leaving early that close only their sending side
PAUSE_S = (0.02, 0.3)
CONNECT_AFTER_SIGTERM_S = 0.4  # time after SIGTERM during which clients still connect
REQUEST_NUMBERS: Iterator[int] = count(1)


@dataclass
class Listener:
    """The listener of a node, as its clients see it."""

    node_number: int
    port: int = 0
    shutdown_started_at: float | None = None  # connected clients continue after this time
    node_killed: bool = False  # from then on, broken connections are not the node's fault

    @property
    def takes_new_clients(self) -> bool:
        """Whether clients open new connections; they stop shortly after the start of the shutdown."""
        return (
            self.shutdown_started_at is None
            or time.monotonic() - self.shutdown_started_at < CONNECT_AFTER_SIGTERM_S
        )


class Client:
    """One client that connects again after each connection, until cancelled."""

    def __init__(
        self, listener: Listener, records: Records, rng: random.Random, stopped: Callable[[str], bool]
    ) -> None:
        self._listener, self._records, self._rng = listener, records, rng
        self._stopped = stopped  # returns whether the endpoint with a uid has been stopped

    async def run(self) -> None:
        """Connect and follow a random behavior, repeatedly until cancelled."""
        behaviors = (
            self._hold_session,
            self._hold_session,
            self._hold_session,
            self._idle_then_open,
            self._leave_early,
            self._send_half_line,
        )
        while True:
            stream = await self._connect()
            if stream is not None:
                try:
                    await self._rng.choice(behaviors)(stream)
                finally:
                    stream.close()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _connect(self) -> ClientStream | None:
        if not self._listener.takes_new_clients:
            return None
        try:
            return await ClientStream.connect(HOST, self._listener.port)
        except OSError:
            return None

    async def _send_open(self, stream: ClientStream) -> Request:
        """Send an OPEN line in one piece or two."""
        kind, number = self._rng.choice(KINDS), next(REQUEST_NUMBERS)
        request = Request(f"{number:016x}", kind, self._listener.node_number)
        self._records.requests[request.id] = request
        text = f"OPEN {request.id} {number:016x} c={kind.name},d={int(kind.deadline_s * 1000)}\r\n".encode()
        split_at = self._rng.randrange(1, len(text)) if self._rng.random() < SPLIT_LINE_SHARE else len(text)
        stream.write(text[:split_at])
        if split_at < len(text):
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))
            stream.write(text[split_at:])
        request.sent_at = time.monotonic()
        return request

    async def _read_answer(self, request: Request, stream: ClientStream) -> str:
        """Return the first word of the answer; "" if none came before the end or the timeout."""
        line = b""
        try:
            async with asyncio.timeout(request.kind.deadline_s + ANSWER_SLACK_S + 2.0):
                line = await stream.readline()
        except (ConnectionError, TimeoutError):
            pass
        except asyncio.CancelledError:
            request.left_at = time.monotonic()
            raise
        request.answered_at = time.monotonic()
        if not line and self._listener.node_killed:
            request.left_at = request.answered_at  # the node was killed; its exit is checked elsewhere
            return ""
        request.answer = line.split()[0].decode() if line.strip() else ""
        return request.answer

    async def _hold_session(self, stream: ClientStream) -> None:
        request = await self._send_open(stream)
        if await self._read_answer(request, stream) == "UP":
            await self._run_session(request, stream)

    async def _idle_then_open(self, stream: ClientStream) -> None:
        """Send PING or not, stay silent for a while or until the connection ends, then open a session."""
        if self._rng.random() < PING_SHARE:
            stream.write(b"PING\r\n")
            if (await self._read_line(stream)) != b"PONG\r\n":
                return
        idle_s = self._rng.uniform(0.1, 2.2)
        until = time.monotonic() + idle_s
        while time.monotonic() < until and not stream.ended:
            await asyncio.sleep(0.02)
        await self._hold_session(stream)

    async def _leave_early(self, stream: ClientStream) -> None:
        request = await self._send_open(stream)
        try:
            async with asyncio.timeout(self._rng.uniform(0.0, 0.5)):
                line = await stream.readline()
            request.answer = line.split()[0].decode() if line.strip() else ""
            request.answered_at = time.monotonic()
        except TimeoutError:
            request.left_at = time.monotonic()
            if self._rng.random() < HALF_CLOSE_SHARE:
                stream.end_sending()
                await self._read_line(stream)
        except ConnectionError:
            request.answer, request.answered_at = "", time.monotonic()

    async def _send_half_line(self, stream: ClientStream) -> None:
        """Send half an OPEN line and wait; the node has to answer or close the connection in time."""
        stream.write(b"OPEN 00000000000000")
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(HALF_LINE_TIMEOUT_S + 0.5 + self._records.loop_delay_s):
                await stream.readline()
        except TimeoutError:
            if not self._listener.node_killed:
                held_s = time.monotonic() - started_at
                self._records.held_half_lines.append(
                    f"n{self._listener.node_number}: a half line was held {held_s:.1f} s"
                )
        except ConnectionError:
            pass

    async def _run_session(self, request: Request, stream: ClientStream) -> None:
        """Exchange lines and echoes until the client or the endpoint ends the session or it is migrated."""
        session = request.attempts[-1].session
        write_task = asyncio.create_task(self._write_after_endpoint_end(session, stream))
        try:
            await self._exchange_lines(request, session, stream)
        finally:
            write_task.cancel()
            session.client_waited_until = stream.ended_at if stream.ended else time.monotonic()
            if self._listener.node_killed:
                session.client_waited_until = 0.0

    async def _write_after_endpoint_end(self, session: Session, stream: ClientStream) -> None:
        """Write some lines while the node forwards the endpoint's end to the client."""
        await session.endpoint_ended.wait()
        for _ in range(LINES_AFTER_ENDPOINT_END):
            await asyncio.sleep(self._rng.uniform(*LINE_AFTER_ENDPOINT_END_S))
            self._write(session, stream, b"M\r\n")

    async def _exchange_lines(self, request: Request, session: Session, stream: ClientStream) -> None:
        until = time.monotonic() + self._rng.uniform(0.3, 6.0)
        while time.monotonic() < until:
            self._write(session, stream, b"M\r\n")
            line = await self._read_line(stream)
            if line == b"MOVE\r\n":
                session.migrated, session.received_by_client = True, stream.session_lines()
                return
            if line != b"M\r\n":
                session.received_by_client, session.client_read_all = stream.session_lines(), stream.ended
                if not (
                    self._listener.node_killed or session.endpoint_end or self._is_endpoint_stopped(request)
                ):
                    description = f"{request.id} {request.attempts[-1].endpoint} {line!r}"
                    self._records.cut_sessions[self._listener.node_number].append(description)
                return
            await asyncio.sleep(LINE_INTERVAL_S)
        await self._end_session(session, stream)

    def _is_endpoint_stopped(self, request: Request) -> bool:
        return self._stopped(request.attempts[-1].endpoint)

    def _write(self, session: Session, stream: ClientStream, line: bytes) -> None:
        stream.write(line)
        session.sent_by_client.append(line)

    async def _end_session(self, session: Session, stream: ClientStream) -> None:
        """Write the last lines and end directly after them; after a FIN, read until the node ends too."""
        session.client_end = self._rng.choice(ENDS)
        for number in range(self._rng.randint(0, MAX_LAST_LINES)):
            self._write(session, stream, b"L %d\r\n" % number)
        if session.client_end is End.RESET:
            stream.close(reset=True)
            return
        stream.end_sending()
        with suppress(TimeoutError):
            async with asyncio.timeout(ECHO_TIMEOUT_S):
                await stream.read_to_end()
        session.received_by_client, session.client_read_all = stream.session_lines(), stream.ended
        session.migrated = b"MOVE\r\n" in session.received_by_client

    async def _read_line(self, stream: ClientStream) -> bytes:
        """Return the next line; on a timeout, the repr of the exception.

        LOAD lines and the endpoint's last lines before its end ("L" and a number) are skipped.
        """
        try:
            async with asyncio.timeout(ECHO_TIMEOUT_S):
                while (line := await stream.readline()).startswith((b"LOAD ", b"L ")):
                    pass
                return line
        except TimeoutError as error:
            return repr(error).encode()
