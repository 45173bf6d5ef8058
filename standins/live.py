"""Plays a scenario on sockets: real nodes with stand-ins for endpoints, discovery and clients.

The stand-ins use the simulation's draws, and the endpoints run its model (`fleet/servers.py`) on the real
clock: the delay of an echo is drawn from the same formula. Service is measured at the clients: the time in
which echoes come within the objective, divided by all the time in which clients want service.
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

ECHO_TIMEOUT_S = 2.0  # after this time a client stops waiting for an echo and counts it as late
SUPPORTED_FAULTS = ("hang", "start", "drain", "crash", "restart", "burst", "list-down")
ESTABLISH_TIMEOUT_S = 40.0  # longest time to establish the sessions that exist when the scenario begins


@dataclass
class LiveEndpoint(MapServer):
    """A map server with the capacity of the simulation's model."""

    model: Server = field(default_factory=lambda: Server("", 0, 1, 1.0, 1.0, 1.0, 1.0, 1, 0.0, 0.001))
    live: Live | None = None
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


class Live:
    """One scenario, played once on sockets."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        simulation = Simulation(scenario, seed)  # used for its servers and draws; it is never run
        self.traffic: Traffic = simulation.traffic
        self.placements = simulation.place_sessions()
        self.classes = list(scenario.classes.values())
        self.class_names = list(scenario.classes)
        self.run_rng = stream(seed, "live")
        kinds = list(scenario.kinds)
        self.fleet = Fleet([])
        self.endpoints = [
            LiveEndpoint(model.id, kinds[model.kind], model=model, live=self) for model in simulation.servers
        ]
        self.fleet.servers = list(self.endpoints)
        self.results: Measurements = simulation.measurements
        self._started_at = 0.0
        self._ports: list[int] = []
        self._nodes: list[asyncio.subprocess.Process | None] = []
        self._request_count = 0
        self._update_tasks: list[asyncio.Task[None]] = []
        self._log_tasks: list[asyncio.Task[bytes]] = []
        self.max_loop_delay_s = 0.0  # a large delay of this event loop means that the run shows little

    @property
    def now(self) -> int:
        """Microseconds since the scenario's start, or 0 before it."""
        return int((time.monotonic() - self._started_at) * SECOND) if self._started_at else 0

    async def wait_until(self, condition: Any) -> None:
        """Wait until a condition is true; checks it every 20 ms."""
        while not condition():
            await asyncio.sleep(0.02)

    async def play(self) -> Measurements:
        """Play the whole scenario with nodes of this checkout; return the measurements."""
        day = self.scenario.day
        await self.fleet.begin()
        with tempfile.TemporaryDirectory() as folder:
            self._folder = Path(folder)
            self._ports = [_free_port() for _ in range(day.nodes)]
            self._nodes = [None] * day.nodes
            await asyncio.gather(*(self._start_node(number) for number in range(day.nodes)))
            pending: list[asyncio.Future[None]] = []
            tasks = [
                asyncio.create_task(self._run_client(number, self._add_future(pending)))
                for number in range(self.traffic.established)
            ]
            try:
                async with asyncio.timeout(ESTABLISH_TIMEOUT_S):
                    await asyncio.gather(*pending)
                self._started_at = time.monotonic()
                for endpoint in self.endpoints:
                    endpoint.model.advanced_us = 0
                tasks += [
                    asyncio.create_task(self._run_client(number, None))
                    for number in range(self.traffic.established, len(self.traffic.at_us))
                ]
                tasks += [
                    asyncio.create_task(self._inject_fault(number, fault))
                    for number, fault in enumerate(self.scenario.faults)
                ]
                tasks.append(asyncio.create_task(self._measure_loop_delay()))
                await asyncio.sleep(day.warm + day.seconds)
            finally:
                for task in tasks:
                    task.cancel()
                for node in self._nodes:
                    if node is not None and node.returncode is None:
                        node.kill()
                        await node.wait()
                self.fleet.close()
                for task in self._update_tasks:
                    task.cancel()
                await asyncio.gather(*tasks, *self._update_tasks, *self._log_tasks, return_exceptions=True)
        self.results.health_checks = sum(endpoint.probed for endpoint in self.endpoints)
        return self.results

    def _add_future(self, pending: list[asyncio.Future[None]]) -> asyncio.Future[None]:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pending.append(future)
        return future

    async def _measure_loop_delay(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.max_loop_delay_s = max(self.max_loop_delay_s, time.monotonic() - before - 0.05)

    # Nodes.

    async def _start_node(self, number: int) -> None:
        config = self._folder / f"node-{number}.json"
        config.write_text(json.dumps(self._configuration(number)))
        process, _ = await start_node(config, {"TMPDIR": "", "STEPFLOW_CONF": os.devnull})
        assert process.stderr is not None
        self._nodes[number] = process
        self._log_tasks.append(asyncio.create_task(process.stderr.read()))

    def _configuration(self, number: int) -> dict[str, Any]:
        settings = self.scenario.settings(number)
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:{self._ports[number]}",
            "discovery": self.fleet.address,
            "seed": f"{self.seed * 1000 + number:x}",
            "limits": {"sockets": 8192},
            "known": self.fleet.known(),
            "settings": {
                "group_size": settings.balancers,
                "position": number,
                "discovery": "on_request",
                "azs": ["room"],
                "kinds": list(settings.kinds),
                "classes": [
                    {
                        "name": c.name,
                        "aim_us": c.latency_objective_us,
                        "give_up_us": c.deadline_us,
                        "effect": "repeatable",
                        "credit": c.priority_weight,
                    }
                    for c in settings.classes
                ],
                "domain": {
                    "mode": "proxy",
                    "groups": True,
                    "message_aim_us": [c.message_latency_objective_us for c in settings.classes],
                },
                "policy_limits": {
                    "most_tries": settings.limits.max_attempts,
                    "probing": True,
                    "cancel": True,
                    "retry_after": True,
                    "connect_timeout_us": 200_000,
                },
                "costs": {n: getattr(settings.prices, n) for n in ("late_fail", "moves", "probe", "waste")},
                "safety": {
                    "cold_share": settings.rules.slow_start_share,
                    "warm_after_us": settings.rules.slow_start_us,
                    "fall_multiple": settings.rules.overload_multiple,
                    "overload_for_us": settings.rules.overload_after_us,
                    "drain_grace_us": settings.rules.drain_grace_us,
                },
                "report": {"fields": list(settings.load_report_fields), "via": "probe"},
            },
        }

    # Clients.

    async def _run_client(self, number: int, established: asyncio.Future[None] | None) -> None:
        cls, day = int(self.traffic.class_index[number]), self.scenario.day
        life_s = float(self.traffic.life_s[number])
        if self.traffic.draws[number, 0] < day.leave:
            life_s *= float(self.traffic.draws[number, 1])
        if established is None:
            await asyncio.sleep(max(0.0, float(self.traffic.at_us[number]) / SECOND - self.now / SECOND))
            self.results.requests += self.now >= day.warm * SECOND
            if await self._run_for(self._run_sessions(number, cls), life_s):
                return
        else:
            endpoint_id = self.endpoints[self.placements[number]].uid
            first = asyncio.create_task(self._run_session(number, cls, endpoint_id, False, established))
            try:
                await established
                await self.wait_until(lambda: self._started_at)
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
        low, high = self.scenario.day.back_ms
        failures = 0
        while True:
            draw = float(self.traffic.draws[number, 3 + failures % 13])
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
        began = self.now
        try:
            await asyncio.sleep(span_s)
        finally:
            self._record_service(cls, began, self.now, 0.0)

    def _record_service(self, cls: int, began: int, ended: int, share: float) -> None:
        """Count a time span as wanted, weighted by the class's worth, and a share of it as served."""
        wanted, at = self.results.wanted, began
        while at < ended:
            until = min(ended, (at // SECOND + 1) * SECOND)
            second = at // SECOND
            if self.scenario.day.warm <= second < len(wanted):
                worth = (until - at) / SECOND * self.classes[cls].worth
                wanted[second, cls] += worth
                self.results.served[second, cls] += worth * share
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
        began = self.now
        port = self._ports[int(self.run_rng.integers(len(self._ports)))]
        writer: asyncio.StreamWriter | None = None
        is_established = False
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            self._request_count += 1
            wait_ms = 3_000_000 if endpoint_id else int(self.classes[cls].wait_ms)
            options = f",at={endpoint_id}" if endpoint_id else ",again=1" if again else ""
            text = f"OPEN {self._request_count << 32 | number:x} 1 c={self.class_names[cls]},d={wait_ms}"
            writer.write(f"{text},g={int(self.traffic.group[number]):x}{options}\r\n".encode())
            async with asyncio.timeout(wait_ms / 1000):
                answer = await reader.readline()
            if not answer.startswith(b"UP"):
                counted = self.now >= self.scenario.day.warm * SECOND
                self.results.rejected += counted and answer.startswith(b"BUSY")
                self.results.failed += counted and answer.startswith(b"ERR")
                return False
            is_established = True
            if established is not None:
                established.set_result(None)
                await self.wait_until(lambda: self._started_at)
                began = self.now
            self._record_service(cls, began, self.now, 0.0)
            began = self.now
            await self._exchange_lines(cls, reader, writer)
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            if not is_established:
                self._record_service(cls, began, self.now, 0.0)
            if writer is not None:
                writer.close()
        return is_established

    async def _exchange_lines(
        self, cls: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Exchange lines and echoes until the session ends or is migrated."""
        objective_s = self.classes[cls].message_ms / 1000
        while True:
            began, sent_at = self.now, time.monotonic()
            share = 0.0
            try:
                writer.write(b"M\r\n")
                async with asyncio.timeout(ECHO_TIMEOUT_S):
                    line = await self._read_echo(reader)
                share = float(time.monotonic() - sent_at <= objective_s)
                if line != b"M\r\n":
                    self.results.migrations += line == b"MOVE\r\n"
                    return
                await asyncio.sleep(max(0.0, LINE_S - (time.monotonic() - sent_at)))
            except TimeoutError:
                share = 0.0
            finally:
                self._record_service(cls, began, self.now, share)

    @staticmethod
    async def _read_echo(reader: asyncio.StreamReader) -> bytes:
        while (line := await reader.readline()).startswith(b"LOAD"):
            pass
        return line

    # Faults.

    async def _inject_fault(self, number: int, fault: Fault) -> None:
        rng = stream(self.seed, "fault", number)
        await asyncio.sleep(fault.at)
        if fault.what == "restart":
            count = max(1, round(fault.part * len(self._nodes)))
            batch = max(1, round(fault.at_once * len(self._nodes)))
            steps = -(-count // batch)
            order = [int(node) for node in rng.permutation(len(self._nodes))[:count]]
            for step in range(steps):
                await asyncio.gather(
                    *(self._restart_node(n) for n in order[step * batch : (step + 1) * batch])
                )
                await asyncio.sleep(fault.lasts / steps)
        elif fault.what == "list-down":
            self.fleet.down = True
            self.fleet.drop()
            await asyncio.sleep(fault.lasts)
            self.fleet.down = False
        elif fault.what != "burst":
            running = [
                s
                for s in self.endpoints
                if s.model.is_running and not s.model.availability and not s.model.hung
            ]
            count = min(len(running), max(1, round(fault.part * len(self.endpoints))))
            picked = [running[int(pick)] for pick in rng.permutation(len(running))[:count]]
            await asyncio.gather(*(self._inject_endpoint_fault(endpoint, fault) for endpoint in picked))

    async def _restart_node(self, number: int) -> None:
        node = self._nodes[number]
        if node is not None and node.returncode is None:
            node.kill()
            await node.wait()
        await asyncio.sleep(0.5)
        await self._start_node(number)

    async def _inject_endpoint_fault(self, endpoint: LiveEndpoint, fault: Fault) -> None:
        model = endpoint.model
        if fault.what == "hang":
            model.hung = True
            await asyncio.sleep(fault.lasts)
            model.hung = False
        elif fault.what == "crash":
            self.crash(endpoint)
        elif fault.what == "drain":
            model.availability, endpoint.state = 1, "Terminating"
            self._schedule_update(endpoint)
            await asyncio.sleep(fault.lasts)
            model.availability, endpoint.state = 2, "Gone"
            endpoint.abort_sessions()
            self._schedule_update(endpoint)
        else:
            model.availability, endpoint.state = 2, "Gone"
            endpoint.abort_sessions()
            self._schedule_update(endpoint)
            await asyncio.sleep(fault.lasts)
            model.availability, endpoint.state = 0, "Ready"
            model.started_us, model.backlog, model.advanced_us = self.now, 0.0, self.now
            endpoint.boot_ms = int(time.time() * 1000)
            self._schedule_update(endpoint)

    def crash(self, endpoint: LiveEndpoint) -> None:
        """Crash an endpoint; it does not restart."""
        endpoint.model.crashed, endpoint.model.availability, endpoint.state = True, 2, "Gone"
        self.results.crashed_servers += 1
        endpoint.abort_sessions()
        self._schedule_update(endpoint)

    def _schedule_update(self, endpoint: LiveEndpoint) -> None:
        """Send a list update after a random delay, with the endpoint's state at that time."""
        self._update_tasks.append(asyncio.create_task(self._send_update(endpoint)))

    async def _send_update(self, endpoint: LiveEndpoint) -> None:
        low, high = self.scenario.day.list_s
        await asyncio.sleep(float(self.run_rng.uniform(low, high)))
        self.fleet.tell(endpoint)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def play(scenario: Scenario, seed: int) -> tuple[Measurements, float]:
    """Play a scenario once; return the measurements and the longest delay, in seconds, of this event loop.

    Bursts are already part of the drawn traffic. Raises CompareError, before anything starts, for a fault
    that can't be played on sockets.
    """
    if unsupported := [fault.what for fault in scenario.faults if fault.what not in SUPPORTED_FAULTS]:
        raise CompareError(f"{unsupported[0]}: this fault is not played on sockets yet")
    live = Live(scenario, seed)
    results = asyncio.run(live.play())
    rho = [endpoint.model.utilization(live.now) for endpoint in live.endpoints if endpoint.model.is_running]
    results.imbalance = [float(np.std(rho))]
    return results, live.max_loop_delay_s
