"""One seeded run: the nodes, their machines, what goes wrong, and the end of each node."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.fleet import HOST, Fleet
from standins.node import start_node
from standins.preload import Call, Machine
from standins.soak.clients import Client, Door
from standins.soak.records import KINDS, LONGEST_S, Records
from standins.soak.servers import FaultyServer

LASTS_S = 5.0  # until the first node is told to end
KILL_AFTER_S = LONGEST_S + 0.7  # from SIGTERM
READY_S = 25.0
SERVERS, CLIENTS, CROWD = 6, 30, 150
SOCKETS = 256  # descriptors that a node may hold
STEPS_S = (-3600.0, -5.0, -0.6, 0.6, 5.0, 3600.0)
BREAKING = (Call.RECV_ACCEPTED, Call.SEND_ACCEPTED)  # these cost a client its connection
BREAKING_PEERS = (Call.RECV_DIALLED, Call.SEND_DIALLED)  # and these must not
HARMLESS_TO_LISTS = (Call.ACCEPT, Call.WAIT, Call.SHORT_RECV, Call.SHORT_SEND, Call.OPEN)
PASSING = (*HARMLESS_TO_LISTS, Call.SOCKET, Call.CONNECT)
MOODS = ("hung", "full", "resetting", "late", "sound")
LIST_LATE_S = 6.0  # what discovery has to tell counts as told so late, whatever went wrong


@dataclass
class NodeProcess:
    """One node, its machine and its door."""

    number: int
    machine: Machine
    door: Door
    config: Path
    process: asyncio.subprocess.Process | None = None  # the one that serves
    log: list[bytes] = field(default_factory=list)  # of all its processes

    @property
    def broken(self) -> int:
        """Connections that the machine has broken under the node."""
        return sum(self.machine.injected(call) for call in BREAKING)

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None:
            _signal(self.process, number)


class Run:
    """One seed, played once; `play` returns what was seen."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._luck = random.Random(seed)
        self._folder, self.records = folder, Records()
        self.servers = [
            FaultyServer(f"s-{n}", records=self.records, luck=random.Random(seed * 100 + n))
            for n in range(SERVERS)
        ]
        self._fleets = [Fleet(list(self.servers)), Fleet(list(self.servers))]  # discovery's two addresses
        self._replaced = seed % 5 == 0  # each node by another process, before its end
        self._sound_lists = seed % 3 == 0  # what discovery writes arrives: it counts as told at once
        self._pushed = seed % 3 == 1  # lists are pushed to an agent
        self._crowded = self.records.crowded = seed % 4 == 0
        self._nodes = [self._node(seed, n) for n in range(1 + seed % 3)]
        self._tasks: list[asyncio.Task[None]] = []

    def _node(self, seed: int, number: int) -> NodeProcess:
        machine = Machine(self._folder, seed * 10 + number + 1)
        return NodeProcess(number, machine, Door(number), self._folder / f"node-{number}.json")

    async def play(self) -> Records:
        """All of it."""
        for fleet, serves in zip(self._fleets, (True, False), strict=True):
            await fleet.begin(serves)
        self._begin(self._watch_own_loop())
        try:
            await asyncio.gather(*(self._start(node) for node in self._nodes))
            if self.records.node_faults:
                return self.records
            for node in self._nodes:
                self._begin_clients(node)
                self._begin(self._spoil_machine(node))
            self._begin(self._spoil_servers())
            self._begin(self._drain_one())
            if not self._sound_lists:
                self._begin(self._spoil_discovery())
            await asyncio.sleep(LASTS_S)
            for node in self._nodes:
                if self._replaced:
                    await self._replace(node)
                await self._end(node)
        finally:
            await self._close()
        for node in self._nodes:
            self.records.broken[node.number] = node.broken
            self.records.logs[node.number] = b"".join(node.log).decode()
        return self.records

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _close(self) -> None:
        for node in self._nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in self._tasks:
            task.cancel()
        done = await asyncio.gather(*self._tasks, return_exceptions=True)
        for fleet in self._fleets:
            fleet.close()
        for fault in done:
            if isinstance(fault, Exception):
                raise fault

    async def _watch_own_loop(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.records.late_loop_s = max(self.records.late_loop_s, time.monotonic() - before - 0.02)

    # Nodes.

    async def _start(self, node: NodeProcess) -> None:
        """Start it, or a process that is to replace it, on a machine that may be in trouble already."""
        if self._luck.random() < 0.4:
            node.machine.step_wall_clock(self._luck.choice(STEPS_S))
        troubled = self._luck.random() < 0.3
        if troubled:
            for call in (Call.SOCKET, Call.OPEN, Call.WAIT):
                node.machine.fail(call, 0.3)
        if node.process is None:
            node.config.write_text(json.dumps(self._configuration(node, 0)))
        told = self._folder / "stepflow.conf"
        told.write_text("log {\n    level debug\n}\n")
        env = {**node.machine.env, "TMPDIR": str(self._folder), "STEPFLOW_CONF": str(told)}
        try:
            async with asyncio.timeout(READY_S):
                node.process, node.door.port = await start_node(node.config, env)
        except (TimeoutError, RuntimeError) as fault:
            self.records.node_faults.append(f"n{node.number}: not ready: {fault!r}")
            return
        node.machine.heal()
        assert node.process.stderr is not None
        self._begin(self._read_log(node, node.process.stderr))

    @staticmethod
    async def _read_log(node: NodeProcess, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            node.log.append(line)

    def _configuration(self, node: NodeProcess, at: int) -> dict[str, Any]:
        classes = [
            {
                "name": kind.name,
                "aim_us": 300_000,
                "give_up_us": int(kind.wait_s * 1e6),
                "effect": kind.effect,
                "key_scope": "all",
                "key_ttl_us": int(kind.window_s * 1e6),
                "credit": 1.0,
            }
            for kind in KINDS
        ]
        return {
            "name": f"n{node.number}",
            "listen": f"{HOST}:0",
            "discovery": self._fleets[at].address,
            "seed": f"{node.number + 5:x}",
            "limits": {"sockets": SOCKETS},
            "known": self._fleets[0].known(),
            "settings": {
                "group_size": len(self._nodes),
                "position": node.number,
                "discovery": "pushed" if self._pushed else "on_request",
                "azs": ["room"],
                "kinds": ["toy"],
                "classes": classes,
                "domain": {"mode": "proxy", "message_aim_us": [100_000] * len(classes)},
                "policy_limits": {
                    "most_tries": 5,
                    "probing": True,
                    "cancel": True,
                    "connect_timeout_us": 200_000,
                },
                "report": {"fields": ["x0", "x1", "util"], "via": "probe"},
            },
        }

    def _begin_clients(self, node: NodeProcess) -> None:
        for _ in range(CLIENTS):
            luck = random.Random(self._luck.random())
            client = Client(node.door, self.records, luck, self._has_stopped)
            self._begin(client.live())
        if self._crowded:
            for _ in range(CROWD):
                self._begin(_idle(node.door, random.Random(self._luck.random())))

    def _has_stopped(self, uid: str) -> bool:
        return any(server.uid == uid and server.stopped for server in self.servers)

    # What goes wrong.

    async def _spoil_machine(self, node: NodeProcess) -> None:
        """Steps of the wall clock, failing calls, short halts, until the node's end."""
        luck, machine = random.Random(self._luck.random()), node.machine
        while True:
            await asyncio.sleep(luck.uniform(0.1, 0.6))
            trouble = luck.random()
            if trouble < 0.25:
                machine.step_wall_clock(luck.choice(STEPS_S))
            elif trouble < 0.65:
                for call in luck.sample(self._passing(), luck.randint(1, 3)):
                    machine.fail(call, luck.choice((0.05, 0.3, 0.8)))
                await asyncio.sleep(luck.uniform(0.05, 0.5))
                machine.heal()
            elif trouble < 0.75:
                breaking = BREAKING if self._sound_lists else BREAKING + BREAKING_PEERS
                machine.fail(luck.choice(breaking), 0.02)
                await asyncio.sleep(luck.uniform(0.05, 0.2))
                machine.heal()
            elif trouble < 0.9:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(luck.uniform(0.02, 0.15))
                node.signal(signal.SIGCONT)
            else:
                await self._reload(node, luck)

    def _passing(self) -> tuple[Call, ...]:
        return HARMLESS_TO_LISTS if self._sound_lists else PASSING

    async def _reload(self, node: NodeProcess, luck: random.Random) -> None:
        """New configurations in a row; a file may be half written when the first signal comes."""
        text = json.dumps(self._configuration(node, 0 if self._sound_lists else luck.randrange(2)))
        if luck.random() < 0.5:
            node.config.write_text(text[: len(text) // 2])
            node.signal(signal.SIGHUP)
            await asyncio.sleep(luck.uniform(0.0, 0.1))
        node.config.write_text(text)
        for _ in range(luck.randint(1, 3)):
            node.signal(signal.SIGHUP)

    async def _spoil_servers(self) -> None:
        luck = random.Random(self._luck.random())
        while True:
            await asyncio.sleep(luck.uniform(0.2, 0.8))
            luck.choice(self.servers).mood = luck.choice(MOODS)

    async def _drain_one(self) -> None:
        """One server drains, later it is gone; what is still there then is cut."""
        luck = random.Random(self._luck.random())
        await asyncio.sleep(luck.uniform(0.5, 2.0))
        server = luck.choice(self.servers)
        server.state = "Terminating"
        self._tell(server)
        told = time.monotonic() + (0.0 if self._sound_lists else LIST_LATE_S)
        self.records.told_to_avoid[server.uid] = told
        await asyncio.sleep(luck.uniform(1.0, 3.0))
        server.state = "Gone"
        self._tell(server)
        server.stop()

    def _tell(self, server: FaultyServer) -> None:
        for fleet in self._fleets:
            fleet.tell(server)

    async def _spoil_discovery(self) -> None:
        luck = random.Random(self._luck.random())
        while True:
            await asyncio.sleep(luck.uniform(0.5, 2.5))
            fleet = luck.choice(self._fleets)
            fleet.down = True
            fleet.drop()
            await asyncio.sleep(luck.uniform(0.2, 1.5))
            fleet.down = False

    # The end.

    async def _replace(self, node: NodeProcess) -> None:
        """Start a second process beside the one that serves, and end the first."""
        before = node.process
        assert before is not None
        await self._start(node)
        await self._tell_to_end(node, before)
        await asyncio.sleep(1.0)

    async def _end(self, node: NodeProcess) -> None:
        """Signals in series; then the kill, as early as the protocol allows."""
        assert node.process is not None
        node.door.told_to_end = time.monotonic()
        await self._tell_to_end(node, node.process)
        await asyncio.sleep(0.05)  # for clients to read what was sent
        node.door.killed = True
        log = b"".join(node.log).decode()
        if "Traceback" in log or " faults=0" not in log:
            lines = [line for line in log.splitlines() if "Traceback" in line or "faults=" in line]
            self.records.node_faults.append("\n".join([f"n{node.number}: its log has a fault", *lines]))

    async def _tell_to_end(self, node: NodeProcess, process: asyncio.subprocess.Process) -> None:
        luck, began = random.Random(self._luck.random()), time.monotonic()
        _signal(process, signal.SIGTERM)
        for _ in range(luck.randint(0, 3)):
            await asyncio.sleep(luck.uniform(0.0, 0.5))
            _signal(process, luck.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        left = KILL_AFTER_S - (time.monotonic() - began)
        try:
            async with asyncio.timeout(left):
                await process.wait()
        except TimeoutError:
            self.records.node_faults.append(f"n{node.number}: still runs when SIGKILL comes")
            _signal(process, signal.SIGKILL)
        code = await process.wait()
        if code not in (0, -signal.SIGKILL):
            self.records.node_faults.append(f"n{node.number}: ended with {code}")


def _signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal, if the process still runs; asyncio's own way may reap it unseen."""
    if process.returncode is None:
        os.kill(process.pid, number)


async def _idle(door: Door, luck: random.Random) -> None:
    """A connection that says nothing."""
    while door.open:
        try:
            reader, writer = await asyncio.open_connection(HOST, door.port)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        try:
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()
        await asyncio.sleep(luck.uniform(0.0, 0.3))


def play(seed: int) -> Records:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_play(seed, Path(folder)))


async def _play(seed: int, folder: Path) -> Records:
    return await Run(seed, folder).play()
