"""Stand-ins for endpoints that hang, reject, reset, answer late and end sessions, as a seed determines."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field

from standins.fleet import MapServer
from standins.soak.records import ENDS, MAX_LAST_LINES, Attempt, End, Records, Session
from standins.soak.stream import RESET_ON_CLOSE

ENDING_SHARE = 0.25  # share of sessions that the endpoint ends on its own initiative
RESET_SHARE = 0.5  # share of connections that a resetting endpoint resets


@dataclass
class _Connection:
    """One connection to an endpoint and the state of its attempt."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    attempt: Attempt | None = None
    end_task: asyncio.Task[None] | None = None  # ends the session on the endpoint's own initiative
    ignores_lines: bool = False  # the endpoint is hung: further lines do not count as received

    def note_reset(self) -> None:
        """Record a reset and the lines received before it, which asyncio has not passed on yet."""
        if self.attempt is not None and not self.ignores_lines:
            session = self.attempt.session
            session.end_at_endpoint = End.RESET
            unread = bytes(getattr(self.reader, "_buffer", b""))
            session.received_by_endpoint = [
                *(session.received_by_endpoint or []),
                *unread.splitlines(keepends=True),
            ]

    def note_closed(self) -> None:
        """Record the end of the attempt and cancel a scheduled end."""
        if self.attempt is not None:
            self.attempt.ended_at = time.monotonic()
        if self.end_task is not None:
            self.end_task.cancel()


@dataclass
class FaultyEndpoint(MapServer):
    """A map server that records each attempt; `behavior` determines how it answers."""

    records: Records = field(default_factory=Records)
    rng: random.Random = field(default_factory=random.Random)
    behavior: str = "healthy"  # healthy, hung, full, resetting or late
    stopped: bool = False  # sessions are aborted, and so are new connections
    _sessions: list[Session] = field(default_factory=list)  # all sessions since the start

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection with the current behavior."""
        if self.stopped:
            writer.transport.abort()
            return
        self.standing[writer] = None
        connection = _Connection(reader, writer)
        try:
            await self._serve_lines(connection)
        except ConnectionError:
            connection.note_reset()
        except asyncio.CancelledError:
            pass
        finally:
            connection.note_closed()
            self.standing.pop(writer, None)
            writer.close()

    async def _serve_lines(self, connection: _Connection) -> None:
        """Answer lines until the connection ends; a hung endpoint reads but ignores them."""
        reader = connection.reader
        while line := await reader.readline():
            if line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                connection.attempt = self._record_attempt(line)
                if not await self._answer_open(connection.attempt, reader, connection.writer):
                    return
                connection.end_task = self._schedule_end(connection.attempt.session, connection.writer)
            elif self.behavior == "hung":
                connection.ignores_lines = True
                await reader.read()
                return
            else:
                await self._answer_line(line, connection.attempt, connection.writer)
        if connection.attempt is not None and not self.stopped:
            connection.attempt.session.end_at_endpoint = End.FIN

    async def _answer_line(self, line: bytes, attempt: Attempt | None, writer: asyncio.StreamWriter) -> None:
        """Answer a line of a session or of a health check."""
        answer = self.answer(line, writer)
        if attempt is not None:
            session = attempt.session
            session.received_by_endpoint = [*(session.received_by_endpoint or []), line]
            if session.endpoint_end is not None:
                return
            session.sent_by_endpoint.append(answer)
        writer.write(answer)
        await writer.drain()

    def _schedule_end(self, session: Session, writer: asyncio.StreamWriter) -> asyncio.Task[None] | None:
        """End a share of the sessions, directly after UP or later; return the task of a later end."""
        session.received_by_endpoint = []
        self._sessions.append(session)
        if self.rng.random() >= ENDING_SHARE:
            return None
        delay_s = self.rng.choice((0.0, self.rng.uniform(0.0, 2.0)))
        if delay_s == 0.0:
            self._end(session, writer)
            return None
        return asyncio.create_task(self._end_later(session, writer, delay_s))

    async def _end_later(self, session: Session, writer: asyncio.StreamWriter, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.behavior != "hung":
            self._end(session, writer)

    def _end(self, session: Session, writer: asyncio.StreamWriter) -> None:
        """Write the last lines and end the session directly after them."""
        if writer.is_closing():
            return
        session.endpoint_end = self.rng.choice(ENDS)
        session.note_endpoint_end()
        for number in range(self.rng.randint(0, MAX_LAST_LINES)):
            line = b"L %d\r\n" % number
            session.sent_by_endpoint.append(line)
            writer.write(line)
        if session.endpoint_end is End.FIN:
            writer.write_eof()
        else:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def _record_attempt(self, line: bytes) -> Attempt:
        attempt = Attempt(self.uid, time.monotonic())
        self.records.requests[line.split(b" ")[1].decode()].attempts.append(attempt)
        return attempt

    async def _answer_open(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer the OPEN line; return whether a session is established."""
        if self.behavior == "hung":
            await reader.read()
            return False
        if self.behavior == "resetting" and self.rng.random() < RESET_SHARE:
            writer.transport.abort()
            return False
        if self.behavior == "late":
            with suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(0.05, 0.8)):
                    await reader.read()
                return False
        if self.behavior == "full" or self.state != "Ready":
            attempt.rejected = True
            writer.write(b"BUSY\r\n")
            return False
        up_line = b"UP %s\r\n" % self.uid.encode()
        split_at = self.rng.randrange(1, len(up_line))
        writer.write(up_line[:split_at])
        await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.02)))
        writer.write(up_line[split_at:])
        return True

    def stop(self) -> None:
        """Abort all sessions, as an orderly shutdown of the machine does."""
        self.stopped = True
        for writer in tuple(self.standing):
            writer.transport.abort()
        for session in self._sessions:
            session.note_endpoint_end()
