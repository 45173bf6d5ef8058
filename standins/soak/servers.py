"""Map servers that hang, refuse, reset and answer late, as a seed says."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field

from standins.fleet import MapServer
from standins.soak.records import ENDS, MOST_LAST_LINES, Attempt, End, Records, Session
from standins.soak.stream import RESET_ON_CLOSE

ENDING_SHARE = 0.25  # of sessions, that their server ends by itself
RESET_SHARE = 0.5  # of connections that a resetting server resets


@dataclass
class _Connection:
    """One connection to a server, and what it came to."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    attempt: Attempt | None = None
    ending: asyncio.Task[None] | None = None  # by the server itself
    hung: bool = False  # what comes now it never sees

    def note_reset(self) -> None:
        """Count what came ahead of a reset: asyncio tells the reset first."""
        if self.attempt is not None and not self.hung:
            session = self.attempt.session
            session.passed_end = End.RESET
            unread = bytes(getattr(self.reader, "_buffer", b""))
            session.taken = [*(session.taken or []), *unread.splitlines(keepends=True)]

    def note_closed(self) -> None:
        """The connection is over."""
        if self.attempt is not None:
            self.attempt.ended = time.monotonic()
        if self.ending is not None:
            self.ending.cancel()


@dataclass
class FaultyServer(MapServer):
    """A map server that records each attempt; `mood` says how it takes one."""

    records: Records = field(default_factory=Records)
    rng: random.Random = field(default_factory=random.Random)
    mood: str = "sound"  # or hung, full, resetting, late
    stopped: bool = False  # its sessions are cut, and new ones refused
    _sessions: list[Session] = field(default_factory=list)  # all so far

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection in the mood of the moment."""
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
        """Answer lines until the connection ends; what a hung server is sent it never sees."""
        reader = connection.reader
        while line := await reader.readline():
            if line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                connection.attempt = self._record(line)
                if not await self._open(connection.attempt, reader, connection.writer):
                    return
                connection.ending = self._maybe_end(connection.attempt.session, connection.writer)
            elif self.mood == "hung":
                connection.hung = True
                await reader.read()
                return
            else:
                await self._take(line, connection.attempt, connection.writer)
        if connection.attempt is not None and not self.stopped:
            connection.attempt.session.passed_end = End.FIN

    async def _take(self, line: bytes, attempt: Attempt | None, writer: asyncio.StreamWriter) -> None:
        """Answer a line of a session, or of a probe."""
        answer = self.answer(line, writer)
        if attempt is not None:
            session = attempt.session
            session.taken = [*(session.taken or []), line]
            if session.server_end is not None:
                return
            session.written.append(answer)
        writer.write(answer)
        await writer.drain()

    def _maybe_end(self, session: Session, writer: asyncio.StreamWriter) -> asyncio.Task[None] | None:
        """End some sessions by themselves: at once with UP, or later."""
        session.taken = []
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
        if self.mood != "hung":
            self._end(session, writer)

    def _end(self, session: Session, writer: asyncio.StreamWriter) -> None:
        """Write last lines and end, in one moment."""
        if writer.is_closing():
            return
        session.server_end = self.rng.choice(ENDS)
        session.note_server_end()
        for number in range(self.rng.randint(0, MOST_LAST_LINES)):
            line = b"L %d\r\n" % number
            session.written.append(line)
            writer.write(line)
        if session.server_end is End.FIN:
            writer.write_eof()
        else:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def _record(self, line: bytes) -> Attempt:
        attempt = Attempt(self.uid, time.monotonic())
        self.records.requests[line.split(b" ")[1].decode()].attempts.append(attempt)
        return attempt

    async def _open(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer the first line; False where the connection ends with that."""
        if self.mood == "hung":
            await reader.read()
            return False
        if self.mood == "resetting" and self.rng.random() < RESET_SHARE:
            writer.transport.abort()
            return False
        if self.mood == "late":
            with suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(0.05, 0.8)):
                    await reader.read()
                return False
        if self.mood == "full" or self.state != "Ready":
            attempt.never_ran = True
            writer.write(b"BUSY\r\n")
            return False
        pieces = b"UP %s\r\n" % self.uid.encode()
        cut = self.rng.randrange(1, len(pieces))
        writer.write(pieces[:cut])
        await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.02)))
        writer.write(pieces[cut:])
        return True

    def stop(self) -> None:
        """Cut all sessions, as when the machine is switched off in order."""
        self.stopped = True
        for writer in tuple(self.standing):
            writer.transport.abort()
        for session in self._sessions:
            session.note_server_end()
