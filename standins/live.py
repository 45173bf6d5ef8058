"""A scenario on sockets: real nodes, and stand-in servers, discovery and clients with the model's draws.

The servers are the model's (`fleet/servers.py`) on the real clock: an echo waits as long as a draw from the
same formula says. Service is what the clients see: lines whose echo came in time, over all that they wanted.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import tempfile
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from standins.fleet import HOST, Fleet, MapServer
from standins.node import start_node
from stepflow.fleet.clients import HUNG_SHARE, LOAD_UNIT
from stepflow.fleet.compare import CompareError
from stepflow.fleet.measurements import Measurements
from stepflow.fleet.replay import LINE_S
from stepflow.fleet.scenario import Fault, Scenario
from stepflow.fleet.servers import SECOND, Server, erlang_c
from stepflow.fleet.simulation import Simulation
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import LOADS_PER_SESSION, Traffic

PATIENCE = 2.0  # the most that a client waits for an echo before it counts as late for good
PLAYED = ("hang", "start", "drain", "crash", "restart", "burst", "list-down")
UP_MOST = 40.0  # seconds until what stood at the start has to stand


@dataclass
class LiveServer(MapServer):
    """One map server with the model's capacity."""

    model: Server = field(default_factory=lambda: Server("", 0, 1, 1.0, 1.0, 1.0, 1.0, 1, 0.0, 0.001))
    live: Live | None = None
    holders: dict[asyncio.StreamWriter, tuple[int, float]] = field(default_factory=dict)

    @property
    def now(self) -> int:
        """Microseconds since the scenario began."""
        assert self.live is not None
        return self.live.now

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection as the model of this server does."""
        swings: asyncio.Task[None] | None = None
        live = self.live
        assert live is not None
        try:
            while line := await reader.readline():
                if self.model.hung:
                    await live.until(lambda: not self.model.hung)
                word = line.split(b" ", 1)[0].strip()
                if word == b"OPEN":
                    number = int(line.split(b" ")[1], 16) & 0xFFFFFFFF
                    answer = await self._open(number, writer, b",at=" in line)
                    writer.write(answer)
                    if not answer.startswith(b"UP"):
                        return
                    swings = asyncio.create_task(self._swing(number, writer))
                elif word == b"STATS":
                    self.probed += 1
                    self.model.add_work(self.now, live.scenario.day.probe_us / SECOND)
                    await asyncio.sleep(self.model.wait_s(self.now))
                    load, pile = self.model.utilization(self.now), self.model.wait_s(self.now)
                    noise = 1 + live.scenario.day.report_noise * float(live.luck.standard_normal())
                    told = f"x0={load * noise:.6f},x1={pile:.6f},util={min(1.0, load * noise):.6f}"
                    writer.write(f"PONG {told}\r\n".encode())
                else:
                    await asyncio.sleep(self._wait())
                    writer.write(line)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if swings is not None:
                swings.cancel()
            if writer in self.holders:
                self.model.advance(self.now)
                self.model.remove_session(*self.holders.pop(writer))
            writer.close()

    async def _open(self, number: int, writer: asyncio.StreamWriter, stood: bool) -> bytes:
        live, model = self.live, self.model
        assert live is not None
        traffic, day = live.traffic, live.scenario.day
        if (
            not model.is_running
            or (model.availability and not stood)
            or model.connections >= model.max_sessions
        ):
            return b"BUSY\r\n"
        if not stood:
            cls = live.classes[int(traffic.class_index[number])]
            work = cls.work_ms / 1000 * float(traffic.work[number])
            model.add_work(self.now, work)
            live.tally.requested_work += work
            load = float(traffic.loads[number, 0])
            if model.is_overloaded_by(self.now, load, day.fall_times, int(day.fall_s * SECOND)):
                live.fall(self)
                return b"ERR\r\n"
            await asyncio.sleep(model.wait_s(self.now) + work / model.speed + 0.005)
        held = int(traffic.group[number]), float(traffic.loads[number, 0])
        model.advance(self.now)
        model.add_session(*held)
        self.holders[writer] = held
        return b"UP %s\r\n" % self.uid.encode()

    async def _swing(self, number: int, writer: asyncio.StreamWriter) -> None:
        live = self.live
        assert live is not None
        for step in range(LOADS_PER_SESSION):
            group, before = self.holders[writer]
            load = float(live.traffic.loads[number, step])
            self.model.advance(self.now)
            self.model.load += load - before
            self.holders[writer] = group, load
            told = load * LOAD_UNIT * (HUNG_SHARE if self.model.hung else 1.0)
            writer.write(b"LOAD %.3f\r\n" % told)
            await asyncio.sleep(float(live.traffic.load_spans_s[number, step]))

    def _wait(self) -> float:
        """How long this echo takes."""
        model, rho = self.model, min(self.model.utilization(self.now), 0.99)
        wait = model.message_s + model.wait_s(self.now)
        assert self.live is not None
        if self.live.luck.random() < erlang_c(model.cores, rho):
            wait += self.live.luck.exponential(model.message_s / (model.cores * (1 - rho)))
        return wait

    def cut(self) -> None:
        """The process is gone."""
        for writer in tuple(self.holders):
            writer.transport.abort()


class Live:
    """One scenario, played once."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        world = Simulation(scenario, seed)  # for its servers and draws: its own clock is never started
        self.traffic: Traffic = world.traffic
        self.places = world.place_sessions()
        self.classes = list(scenario.classes.values())
        self.names = list(scenario.classes)
        self.luck = stream(seed, "live")
        kinds = list(scenario.kinds)
        self.fleet = Fleet([])
        self.servers = [
            LiveServer(model.id, kinds[model.kind], model=model, live=self) for model in world.servers
        ]
        self.fleet.servers = list(self.servers)
        self.tally: Measurements = world.measurements
        self._began = 0.0
        self._ports: list[int] = []
        self._nodes: list[asyncio.subprocess.Process | None] = []
        self._ids = 0
        self._news: list[asyncio.Task[None]] = []
        self._logs: list[asyncio.Task[bytes]] = []
        self.worst_late = 0.0  # of this program's own loop: a run on a busy machine tells little

    @property
    def now(self) -> int:
        """Microseconds since the run began."""
        return int((time.monotonic() - self._began) * SECOND) if self._began else 0

    async def until(self, true: Any) -> None:
        """Wait until a condition holds, looked at every 20 ms."""
        while not true():
            await asyncio.sleep(0.02)

    async def play(self) -> Measurements:
        """The whole scenario, with nodes of this checkout."""
        day = self.scenario.day
        await self.fleet.begin()
        with tempfile.TemporaryDirectory() as folder:
            self._folder = Path(folder)
            self._ports = [_free_port() for _ in range(day.nodes)]
            self._nodes = [None] * day.nodes
            await asyncio.gather(*(self._start_node(number) for number in range(day.nodes)))
            up: list[asyncio.Future[None]] = []
            tasks = [
                asyncio.create_task(self._client(number, self._stood(up)))
                for number in range(self.traffic.established)
            ]
            try:
                async with asyncio.timeout(UP_MOST):
                    await asyncio.gather(*up)
                self._began = time.monotonic()
                for server in self.servers:
                    server.model.advanced_us = 0
                tasks += [
                    asyncio.create_task(self._client(number, None))
                    for number in range(self.traffic.established, len(self.traffic.at_us))
                ]
                tasks += [
                    asyncio.create_task(self._fault(number, one))
                    for number, one in enumerate(self.scenario.faults)
                ]
                tasks.append(asyncio.create_task(self._watch_loop()))
                await asyncio.sleep(day.warm + day.seconds)
            finally:
                for task in tasks:
                    task.cancel()
                for node in self._nodes:
                    if node is not None and node.returncode is None:
                        node.kill()
                        await node.wait()
                self.fleet.close()
                for task in self._news:
                    task.cancel()
                await asyncio.gather(*tasks, *self._news, *self._logs, return_exceptions=True)
        self.tally.health_checks = sum(server.probed for server in self.servers)
        return self.tally

    def _stood(self, up: list[asyncio.Future[None]]) -> asyncio.Future[None]:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        up.append(future)
        return future

    async def _watch_loop(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.worst_late = max(self.worst_late, time.monotonic() - before - 0.05)

    # Nodes.

    async def _start_node(self, number: int) -> None:
        config = self._folder / f"node-{number}.json"
        config.write_text(json.dumps(self._configuration(number)))
        process, _ = await start_node(config, {"TMPDIR": "", "STEPFLOW_CONF": os.devnull})
        assert process.stderr is not None
        self._nodes[number] = process
        self._logs.append(asyncio.create_task(process.stderr.read()))

    def _configuration(self, number: int) -> dict[str, Any]:
        told = self.scenario.settings(number)
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:{self._ports[number]}",
            "discovery": self.fleet.address,
            "seed": f"{self.seed * 1000 + number:x}",
            "limits": {"sockets": 8192},
            "known": self.fleet.known(),
            "settings": {
                "group_size": told.balancers,
                "position": number,
                "discovery": "on_request",
                "azs": ["room"],
                "kinds": list(told.kinds),
                "classes": [
                    {
                        "name": c.name,
                        "aim_us": c.latency_objective_us,
                        "give_up_us": c.deadline_us,
                        "effect": "repeatable",
                        "credit": c.priority_weight,
                    }
                    for c in told.classes
                ],
                "domain": {
                    "mode": "proxy",
                    "groups": True,
                    "message_aim_us": [c.message_latency_objective_us for c in told.classes],
                },
                "policy_limits": {
                    "most_tries": told.limits.max_attempts,
                    "probing": True,
                    "cancel": True,
                    "retry_after": True,
                    "connect_timeout_us": 200_000,
                },
                "costs": {n: getattr(told.prices, n) for n in ("late_fail", "moves", "probe", "waste")},
                "safety": {
                    "cold_share": told.rules.slow_start_share,
                    "warm_after_us": told.rules.slow_start_us,
                    "fall_multiple": told.rules.overload_multiple,
                    "overload_for_us": told.rules.overload_after_us,
                    "drain_grace_us": told.rules.drain_grace_us,
                },
                "report": {"fields": list(told.load_report_fields), "via": "probe"},
            },
        }

    # Clients.

    async def _client(self, number: int, stood: asyncio.Future[None] | None) -> None:
        cls, day = int(self.traffic.class_index[number]), self.scenario.day
        life = float(self.traffic.life_s[number])
        if self.traffic.draws[number, 0] < day.leave:
            life *= float(self.traffic.draws[number, 1])
        if stood is None:
            await asyncio.sleep(max(0.0, float(self.traffic.at_us[number]) / SECOND - self.now / SECOND))
            self.tally.requests += self.now >= day.warm * SECOND
            if await self._over(self._sessions(number, cls), life):
                return
        else:
            place = self.servers[self.places[number]].uid
            first = asyncio.create_task(self._session(number, cls, place, False, stood))
            try:
                await stood
                await self.until(lambda: self._began)
                await self._over(self._after(first, number, cls), life)
            finally:
                first.cancel()

    async def _after(self, first: asyncio.Task[bool], number: int, cls: int) -> None:
        await first
        await self._sessions(number, cls, returned=True)

    async def _over(self, what: Awaitable[None], life: float) -> bool:
        try:
            async with asyncio.timeout(life):  # wait_for may swallow a cancellation that comes at the end
                await what
        except TimeoutError:
            return True
        return False

    async def _sessions(self, number: int, cls: int, returned: bool = False) -> None:
        """Come again until the time is over."""
        low, high = self.scenario.day.back_ms
        waits = 0
        while True:
            chance = float(self.traffic.draws[number, 3 + waits % 13])
            if returned:
                await self._wanting(cls, (low + (high - low) * chance) / 1000)
            stood = await self._session(number, cls, "", returned or waits > 0)
            if stood:
                returned, waits = True, 0
            else:
                returned, waits = False, waits + 1
                await self._wanting(cls, 0.06 * 2 ** min(waits - 1, 5) * (0.5 + chance))

    async def _wanting(self, cls: int, span: float) -> None:
        """Wait without service: what is wanted meanwhile counts."""
        began = self.now
        try:
            await asyncio.sleep(span)
        finally:
            self._count(cls, began, self.now, 0.0)

    def _count(self, cls: int, began: int, ended: int, share: float) -> None:
        """Seconds that were wanted, and the share of them that was served."""
        wanted, at = self.tally.wanted, began
        while at < ended:
            until = min(ended, (at // SECOND + 1) * SECOND)
            second = at // SECOND
            if self.scenario.day.warm <= second < len(wanted):
                worth = (until - at) / SECOND * self.classes[cls].worth
                wanted[second, cls] += worth
                self.tally.served[second, cls] += worth * share
            at = until

    async def _session(
        self, number: int, cls: int, at: str, again: bool, stood: asyncio.Future[None] | None = None
    ) -> bool:
        """One try and, where it comes up, its session; whether it came up."""
        began = self.now
        port = self._ports[int(self.luck.integers(len(self._ports)))]
        writer: asyncio.StreamWriter | None = None
        up = False
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            self._ids += 1
            wait = 3_000_000 if at else int(self.classes[cls].wait_ms)
            more = f",at={at}" if at else ",again=1" if again else ""
            text = f"OPEN {self._ids << 32 | number:x} 1 c={self.names[cls]},d={wait}"
            writer.write(f"{text},g={int(self.traffic.group[number]):x}{more}\r\n".encode())
            async with asyncio.timeout(wait / 1000):
                answer = await reader.readline()
            if not answer.startswith(b"UP"):
                counted = self.now >= self.scenario.day.warm * SECOND
                self.tally.rejected += counted and answer.startswith(b"BUSY")
                self.tally.failed += counted and answer.startswith(b"ERR")
                return False
            up = True
            if stood is not None:
                stood.set_result(None)
                await self.until(lambda: self._began)
                began = self.now
            self._count(cls, began, self.now, 0.0)
            began = self.now
            await self._talk(cls, reader, writer)
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            if not up:
                self._count(cls, began, self.now, 0.0)
            if writer is not None:
                writer.close()
        return up

    async def _talk(self, cls: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Lines and their echoes, until the session is ended."""
        aim = self.classes[cls].message_ms / 1000
        while True:
            began, at = self.now, time.monotonic()
            share = 0.0
            try:
                writer.write(b"M\r\n")
                async with asyncio.timeout(PATIENCE):
                    line = await self._echo(reader)
                share = float(time.monotonic() - at <= aim)
                if line != b"M\r\n":
                    self.tally.migrations += line == b"MOVE\r\n"
                    return
                await asyncio.sleep(max(0.0, LINE_S - (time.monotonic() - at)))
            except TimeoutError:
                share = 0.0
            finally:
                self._count(cls, began, self.now, share)

    @staticmethod
    async def _echo(reader: asyncio.StreamReader) -> bytes:
        while (line := await reader.readline()).startswith(b"LOAD"):
            pass
        return line

    # What goes wrong.

    async def _fault(self, number: int, fault: Fault) -> None:
        rng = stream(self.seed, "fault", number)
        await asyncio.sleep(fault.at)
        if fault.what == "restart":
            count = max(1, round(fault.part * len(self._nodes)))
            batch = max(1, round(fault.at_once * len(self._nodes)))
            steps = -(-count // batch)
            order = [int(node) for node in rng.permutation(len(self._nodes))[:count]]
            for step in range(steps):
                await asyncio.gather(*(self._restart(n) for n in order[step * batch : (step + 1) * batch]))
                await asyncio.sleep(fault.lasts / steps)
        elif fault.what == "list-down":
            self.fleet.down = True
            self.fleet.drop()
            await asyncio.sleep(fault.lasts)
            self.fleet.down = False
        elif fault.what != "burst":
            running = [
                s
                for s in self.servers
                if s.model.is_running and not s.model.availability and not s.model.hung
            ]
            count = min(len(running), max(1, round(fault.part * len(self.servers))))
            picked = [running[int(pick)] for pick in rng.permutation(len(running))[:count]]
            await asyncio.gather(*(self._spoil(server, fault) for server in picked))

    async def _restart(self, number: int) -> None:
        node = self._nodes[number]
        if node is not None and node.returncode is None:
            node.kill()
            await node.wait()
        await asyncio.sleep(0.5)
        await self._start_node(number)

    async def _spoil(self, server: LiveServer, fault: Fault) -> None:
        model = server.model
        if fault.what == "hang":
            model.hung = True
            await asyncio.sleep(fault.lasts)
            model.hung = False
        elif fault.what == "crash":
            self.fall(server)
        elif fault.what == "drain":
            model.availability, server.state = 1, "Terminating"
            self._change(server)
            await asyncio.sleep(fault.lasts)
            model.availability, server.state = 2, "Gone"
            server.cut()
            self._change(server)
        else:
            model.availability, server.state = 2, "Gone"
            server.cut()
            self._change(server)
            await asyncio.sleep(fault.lasts)
            model.availability, server.state = 0, "Ready"
            model.started_us, model.backlog, model.advanced_us = self.now, 0.0, self.now
            server.boot_ms = int(time.time() * 1000)
            self._change(server)

    def fall(self, server: LiveServer) -> None:
        """It goes down for good."""
        server.model.crashed, server.model.availability, server.state = True, 2, "Gone"
        self.tally.crashed_servers += 1
        server.cut()
        self._change(server)

    def _change(self, server: LiveServer) -> None:
        """The list tells of a server as it is then, some seconds late."""
        self._news.append(asyncio.create_task(self._tell(server)))

    async def _tell(self, server: LiveServer) -> None:
        low, high = self.scenario.day.list_s
        await asyncio.sleep(float(self.luck.uniform(low, high)))
        self.fleet.tell(server)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def play(scenario: Scenario, seed: int) -> tuple[Measurements, float]:
    """Play a scenario once; what was counted, and how late this program's own loop was at the worst.

    A burst is in the draws already; a fault that can't be played here is turned down before anything starts.
    """
    if unplayed := [fault.what for fault in scenario.faults if fault.what not in PLAYED]:
        raise CompareError(f"{unplayed[0]}: this fault is not played on sockets yet")
    live = Live(scenario, seed)
    tally = asyncio.run(live.play())
    rho = [server.model.utilization(live.now) for server in live.servers if server.model.is_running]
    tally.imbalance = [float(np.std(rho))]
    return tally, live.worst_late
