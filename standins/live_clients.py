"""The clients of a scenario that is played on sockets.

Service is measured here: the time in which echoes come within the objective, divided by all the time in which
clients want service.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

from standins.fleet import HOST
from standins.live_state import LiveState
from stepflow.fleet.replay import LINE_S
from stepflow.fleet.servers import SECOND

ECHO_TIMEOUT_S = 2.0  # after this time a client stops waiting for an echo and counts it as late


class LiveClients:
    """The clients that the scenario's traffic has, each with one session at a time."""

    def __init__(self, state: LiveState) -> None:
        self._state = state
        self._request_count = 0

    async def run(self, number: int, established: asyncio.Future[None] | None) -> None:
        """Play one client of the traffic; `established` is resolved once its session of before is up."""
        cls, day = int(self._state.traffic.class_index[number]), self._state.scenario.day
        life_s = float(self._state.traffic.life_s[number])
        if self._state.traffic.draws[number, 0] < day.leave:
            life_s *= float(self._state.traffic.draws[number, 1])
        if established is None:
            await asyncio.sleep(
                max(0.0, float(self._state.traffic.at_us[number]) / SECOND - self._state.now / SECOND)
            )
            self._state.results.requests += self._state.now >= day.warm * SECOND
            if await self._run_for(self._run_sessions(number, cls), life_s):
                return
        else:
            endpoint_id = self._state.endpoints[self._state.placements[number]].uid
            first = asyncio.create_task(self._run_session(number, cls, endpoint_id, False, established))
            try:
                await established
                await self._state.wait_until(lambda: self._state.has_started)
                await self._run_for(self._continue_after(first, number, cls), life_s)
            finally:
                first.cancel()

    async def _continue_after(self, first: asyncio.Task[bool], number: int, cls: int) -> None:
        await first
        await self._run_sessions(number, cls, returned=True)

    async def _run_for(self, work: Awaitable[None], life_s: float) -> bool:
        """Run work for at most `life_s` seconds; return whether the time ran out."""
        try:
            async with asyncio.timeout(life_s):  # wait_for may swallow a cancellation as the work ends
                await work
        except TimeoutError:
            return True
        return False

    async def _run_sessions(self, number: int, cls: int, returned: bool = False) -> None:
        """Open sessions one after another until cancelled; wait before each retry and each return."""
        low, high = self._state.scenario.day.back_ms
        failures = 0
        while True:
            draw = float(self._state.traffic.draws[number, 3 + failures % 13])
            if returned:
                await self._wait_unserved(cls, (low + (high - low) * draw) / 1000)
            was_established = await self._run_session(number, cls, "", returned or failures > 0)
            if was_established:
                returned, failures = True, 0
            else:
                returned, failures = False, failures + 1
                await self._wait_unserved(cls, 0.06 * 2 ** min(failures - 1, 5) * (0.5 + draw))

    async def _wait_unserved(self, cls: int, span_s: float) -> None:
        """Wait for a time that counts as wanted but not served."""
        began = self._state.now
        try:
            await asyncio.sleep(span_s)
        finally:
            self._record_service(cls, began, self._state.now, 0.0)

    def _record_service(self, cls: int, began: int, ended: int, share: float) -> None:
        """Count a time span as wanted, weighted by the class's worth, and a share of it as served."""
        wanted, at = self._state.results.wanted, began
        while at < ended:
            until = min(ended, (at // SECOND + 1) * SECOND)
            second = at // SECOND
            if self._state.scenario.day.warm <= second < len(wanted):
                worth = (until - at) / SECOND * self._state.classes[cls].worth
                wanted[second, cls] += worth
                self._state.results.served[second, cls] += worth * share
            at = until

    async def _run_session(
        self,
        number: int,
        cls: int,
        endpoint_id: str,
        again: bool,
        established: asyncio.Future[None] | None = None,
    ) -> bool:
        """Send one request and hold its session if one is established; return whether it was.

        With an `endpoint_id` the request asks the node to adopt the session at that endpoint. `established`
        is resolved once the session is established; its service counts from the scenario's start on.
        """
        began = self._state.now
        port = self._state.ports[int(self._state.run_rng.integers(len(self._state.ports)))]
        writer: asyncio.StreamWriter | None = None
        is_established = False
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            self._request_count += 1
            wait_ms = 3_000_000 if endpoint_id else int(self._state.classes[cls].wait_ms)
            options = f",at={endpoint_id}" if endpoint_id else ",again=1" if again else ""
            text = (
                f"OPEN {self._request_count << 32 | number:x} 1 c={self._state.class_names[cls]},d={wait_ms}"
            )
            writer.write(f"{text},g={int(self._state.traffic.group[number]):x}{options}\r\n".encode())
            async with asyncio.timeout(wait_ms / 1000):
                answer = await reader.readline()
            if not answer.startswith(b"UP"):
                counted = self._state.now >= self._state.scenario.day.warm * SECOND
                self._state.results.rejected += counted and answer.startswith(b"BUSY")
                self._state.results.failed += counted and answer.startswith(b"ERR")
                return False
            is_established = True
            if established is not None:
                established.set_result(None)
                await self._state.wait_until(lambda: self._state.has_started)
                began = self._state.now
            self._record_service(cls, began, self._state.now, 0.0)
            began = self._state.now
            await self._exchange_lines(cls, reader, writer)
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            if not is_established:
                self._record_service(cls, began, self._state.now, 0.0)
            if writer is not None:
                writer.close()
        return is_established

    async def _exchange_lines(
        self, cls: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Exchange lines and echoes until the session ends or is migrated."""
        objective_s = self._state.classes[cls].message_ms / 1000
        while True:
            began, sent_at = self._state.now, time.monotonic()
            share = 0.0
            try:
                writer.write(b"M\r\n")
                async with asyncio.timeout(ECHO_TIMEOUT_S):
                    line = await self._read_echo(reader)
                share = float(time.monotonic() - sent_at <= objective_s)
                if line != b"M\r\n":
                    self._state.results.migrations += line == b"MOVE\r\n"
                    return
                await asyncio.sleep(max(0.0, LINE_S - (time.monotonic() - sent_at)))
            except TimeoutError:
                share = 0.0
            finally:
                self._record_service(cls, began, self._state.now, share)

    @staticmethod
    async def _read_echo(reader: asyncio.StreamReader) -> bytes:
        while (line := await reader.readline()).startswith(b"LOAD"):
            pass
        return line
