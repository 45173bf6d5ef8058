"""Stand-in for the agent that holds what discovery has pushed to a node, and for its outages."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from enum import StrEnum
from typing import Any

from standins.fleet import HOST, KEEP_ALIVE_S, WATCH_HEAD, MapServer, chunk


class Outage(StrEnum):
    """How the agent treats calls while discovery is down."""

    HELD = "held"  # calls are answered, and watches go on, once discovery is back
    FORGOTTEN = "forgotten"  # calls and watches of before the return stay silent for good
    REFUSED = "refused"  # watches end, and calls are closed without an answer


class Agent:
    """The agent of one node: answers each call at once with the whole list, unless discovery is down.

    Times are those of `time.monotonic`.
    """

    def __init__(self, servers: Sequence[MapServer]) -> None:
        self.servers = servers
        self.address = ""
        self.revision = 1
        self.outage: Outage | None = None
        self.calls = 0  # so far
        self.last_call_ended_at = 0.0
        self.told_at = 0.0  # when the agent had the last change
        self.heard_at = 0.0  # when it was first written; 0 before that
        self._held: dict[asyncio.StreamWriter, None] = {}  # calls without an answer
        self._watches: dict[asyncio.StreamWriter, None] = {}
        self._listener: asyncio.Server | None = None

    async def begin(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._listener.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening, and end all calls."""
        if self._listener is not None:
            self._listener.close()
        for writer in (*self._held, *self._watches):
            writer.close()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": [server.entry() for server in self.servers]}

    @property
    def open_calls(self) -> int:
        """The number of calls that would bring news if the agent had any."""
        return len(self._held) + len(self._watches)

    def begin_outage(self, outage: Outage) -> None:
        """Fall silent."""
        self.outage = outage
        if outage == Outage.REFUSED:
            for writer in self._watches:
                writer.close()
        if outage != Outage.HELD:
            self._watches.clear()

    def end_outage(self, changed: MapServer, state: str) -> None:
        """Speak again, with the news that a server has changed its state."""
        changed.state = state
        self.revision += 1
        self.outage, self.told_at, self.heard_at = None, time.monotonic(), 0.0
        change = {"rev": self.revision, "all": False, "targets": [changed.entry()]}
        for writer in self._watches:
            self._write(writer, json.dumps(change))
        held, self._held = self._held, {}
        for writer in held:
            self._answer(writer)

    def _answer(self, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH_HEAD)
        self._write(writer, json.dumps(self.known()))
        self._watches[writer] = None

    def _write(self, writer: asyncio.StreamWriter, text: str) -> None:
        writer.write(chunk(text))
        self.heard_at = self.heard_at or time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (await reader.readline()).strip():
                pass
            self.calls += 1
            if self.outage == Outage.REFUSED:
                return
            if self.outage == Outage.HELD:
                self._held[writer] = None
            elif self.outage is None:
                self._answer(writer)
            heartbeats = asyncio.create_task(self._send_heartbeats(writer))
            try:
                await reader.read()  # until the node ends the call
            finally:
                heartbeats.cancel()
        except ConnectionError:
            pass
        finally:
            self._held.pop(writer, None)
            self._watches.pop(writer, None)
            self.last_call_ended_at = time.monotonic()
            writer.close()

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(KEEP_ALIVE_S)
            if self.outage is None and writer in self._watches:
                writer.write(chunk(""))
