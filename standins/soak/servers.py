"""Map servers that hang, refuse, reset and answer late, as a seed says."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass, field

from standins.fleet import MapServer
from standins.soak.records import Attempt, Records

RESET_SHARE = 0.5  # of connections that a resetting server resets


@dataclass
class FaultyServer(MapServer):
    """A map server that records each attempt; `mood` says how it takes one."""

    records: Records = field(default_factory=Records)
    rng: random.Random = field(default_factory=random.Random)
    mood: str = "sound"  # or hung, full, resetting, late
    stopped: bool = False  # its sessions are cut, and new ones refused

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection in the mood of the moment."""
        attempt: Attempt | None = None
        if self.stopped:
            writer.transport.abort()
            return
        self.standing[writer] = None
        try:
            while line := await reader.readline():
                if line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                    attempt = self._record(line)
                    if not await self._open(attempt, reader, writer):
                        return
                elif self.mood == "hung":
                    await reader.read()
                    return
                else:
                    writer.write(self.answer(line, writer))
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if attempt is not None:
                attempt.ended = time.monotonic()
            self.standing.pop(writer, None)
            writer.close()

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
