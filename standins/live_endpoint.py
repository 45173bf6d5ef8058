"""An endpoint of a scenario that is played on sockets, with the capacity of the simulation's model.

The model (`fleet/servers.py`) runs on the real clock: the delay of an echo is drawn from its formula.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from standins.fleet import MapServer
from standins.live_state import LiveState
from stepflow.fleet.clients import HUNG_SHARE, LOAD_UNIT
from stepflow.fleet.servers import SECOND, Server, erlang_c
from stepflow.fleet.traffic import LOADS_PER_SESSION


@dataclass
class LiveEndpoint(MapServer):
    """A map server with the capacity of the simulation's model."""

    model: Server = field(default_factory=lambda: Server("", 0, 1, 1.0, 1.0, 1.0, 1.0, 1, 0.0, 0.001))
    live: LiveState | None = None
    sessions: dict[asyncio.StreamWriter, tuple[int, float]] = field(default_factory=dict)  # group and load

    @property
    def now(self) -> int:
        """Microseconds since the scenario's start."""
        assert self.live is not None
        return self.live.now

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection with the delays and loads of the endpoint's model."""
        load_task: asyncio.Task[None] | None = None
        live = self.live
        assert live is not None
        try:
            while line := await reader.readline():
                if self.model.hung:
                    await live.wait_until(lambda: not self.model.hung)
                word = line.split(b" ", 1)[0].strip()
                if word == b"OPEN":
                    number = int(line.split(b" ")[1], 16) & 0xFFFFFFFF
                    answer = await self._open(number, writer, b",at=" in line)
                    writer.write(answer)
                    if not answer.startswith(b"UP"):
                        return
                    load_task = asyncio.create_task(self._send_loads(number, writer))
                elif word == b"STATS":
                    self.probed += 1
                    self.model.add_work(self.now, live.scenario.day.probe_us / SECOND)
                    await asyncio.sleep(self.model.wait_s(self.now))
                    load, backlog_s = self.model.utilization(self.now), self.model.wait_s(self.now)
                    noise = 1 + live.scenario.day.report_noise * float(live.run_rng.standard_normal())
                    report = f"x0={load * noise:.6f},x1={backlog_s:.6f},util={min(1.0, load * noise):.6f}"
                    writer.write(f"PONG {report}\r\n".encode())
                else:
                    await asyncio.sleep(self._echo_delay_s())
                    writer.write(line)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if load_task is not None:
                load_task.cancel()
            if writer in self.sessions:
                self.model.advance(self.now)
                self.model.remove_session(*self.sessions.pop(writer))
            writer.close()

    async def _open(self, number: int, writer: asyncio.StreamWriter, is_adopted: bool) -> bytes:
        live, model = self.live, self.model
        assert live is not None
        traffic, day = live.traffic, live.scenario.day
        if (
            not model.is_running
            or (model.availability and not is_adopted)
            or model.connections >= model.max_sessions
        ):
            return b"BUSY\r\n"
        if not is_adopted:
            cls = live.classes[int(traffic.class_index[number])]
            work = cls.work_ms / 1000 * float(traffic.work[number])
            model.add_work(self.now, work)
            live.results.requested_work += work
            load = float(traffic.loads[number, 0])
            if model.is_overloaded_by(self.now, load, day.fall_times, int(day.fall_s * SECOND)):
                live.crash(self)
                return b"ERR\r\n"
            await asyncio.sleep(model.wait_s(self.now) + work / model.speed + 0.005)
        session = int(traffic.group[number]), float(traffic.loads[number, 0])
        model.advance(self.now)
        model.add_session(*session)
        self.sessions[writer] = session
        return b"UP %s\r\n" % self.uid.encode()

    async def _send_loads(self, number: int, writer: asyncio.StreamWriter) -> None:
        live = self.live
        assert live is not None
        for step in range(LOADS_PER_SESSION):
            group, previous_load = self.sessions[writer]
            load = float(live.traffic.loads[number, step])
            self.model.advance(self.now)
            self.model.load += load - previous_load
            self.sessions[writer] = group, load
            reported_load = load * LOAD_UNIT * (HUNG_SHARE if self.model.hung else 1.0)
            writer.write(b"LOAD %.3f\r\n" % reported_load)
            await asyncio.sleep(float(live.traffic.load_spans_s[number, step]))

    def _echo_delay_s(self) -> float:
        """Draw the delay of one echo, in seconds."""
        model, rho = self.model, min(self.model.utilization(self.now), 0.99)
        wait = model.message_s + model.wait_s(self.now)
        assert self.live is not None
        if self.live.run_rng.random() < erlang_c(model.cores, rho):
            wait += self.live.run_rng.exponential(model.message_s / (model.cores * (1 - rho)))
        return wait

    def abort_sessions(self) -> None:
        """Abort all sessions, as the end of the endpoint's process does."""
        for writer in tuple(self.sessions):
            writer.transport.abort()
