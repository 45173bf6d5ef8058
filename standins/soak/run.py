"""One seeded run: the nodes, their machines, what goes wrong, and the end of each node."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import tempfile
import time
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.fleet import HOST, Fleet
from standins.node import start_node
from standins.preload import Call, Machine
from standins.soak.clients import Client, Door
from standins.soak.fault_injector import CLOCK_STEPS_S, FaultInjector, FaultPlan
from standins.soak.node_process import NodeProcess
from standins.soak.records import KINDS, LONGEST_S, Records
from standins.soak.servers import FaultyServer

LASTS_S = 5.0  # until the first node is told to end
KILL_AFTER_S = LONGEST_S + 0.7  # from SIGTERM
READY_S = 25.0
CLOCK_OFF_SHARE = 0.4  # of starts on a machine whose wall clock is off
FAILING_START_SHARE = 0.3  # of starts on a machine whose calls fail
SERVERS, CLIENTS, CROWD = 6, 30, 150
SOCKETS = 256  # descriptors that a node may hold
BREAKING = (Call.RECV_ACCEPTED, Call.SEND_ACCEPTED)  # these cost a client its connection
BREAKING_PEERS = (Call.RECV_DIALLED, Call.SEND_DIALLED)  # and these must not
SCARCE = (Call.SCARCE_RECV, Call.SCARCE_SEND)
HARMLESS_TO_LISTS = (
    Call.ACCEPT, Call.WAIT, Call.HELD_WAIT, Call.WATCH, Call.SHORT_RECV, Call.SHORT_SEND, *SCARCE, Call.OPEN,
)  # fmt: skip
PASSING = (*HARMLESS_TO_LISTS, Call.SOCKET, Call.CONNECT)
MOODS = ("hung", "full", "resetting", "late", "sound")
FAULT_WORDS = ("Traceback", "a connection has outlived its end")
LIST_LATE_S = 6.0  # what discovery has to tell counts as told so late, whatever went wrong


@dataclass
class Node:
    """One node, its machine, its door and what goes wrong on it."""

    number: int
    machine: Machine
    door: Door
    config: Path
    process: NodeProcess | None = None  # the one that serves
    fault_injector: FaultInjector | None = None
    log: list[bytes] = field(default_factory=list)  # of all its processes

    @property
    def name(self) -> str:
        """The name in its configuration and in the records."""
        return f"n{self.number}"

    def broken(self, calls: Sequence[Call]) -> int:
        """How many connections the machine has broken under the node at these calls."""
        return sum(self.machine.injected(call) for call in calls)


class Run:
    """One seed, played once; `play` returns what was seen."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._folder, self.records = folder, Records()
        self.servers = [
            FaultyServer(f"s-{n}", records=self.records, rng=random.Random(seed * 100 + n))
            for n in range(SERVERS)
        ]
        self._fleets = [Fleet(list(self.servers)), Fleet(list(self.servers))]  # discovery's two addresses
        self._replaced = seed % 5 == 0  # each node by another process, before its end
        self._sound_lists = seed % 3 == 0  # what discovery writes arrives: it counts as told at once
        self._pushed = seed % 3 == 1  # lists are pushed to an agent
        self._crowded = self.records.crowded = seed % 4 == 0
        self._nodes = [self._node(seed, n) for n in range(1 + seed % 3)]
        self._processes: list[NodeProcess] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _node(self, seed: int, number: int) -> Node:
        machine = Machine(self._folder, seed * 10 + number + 1)
        return Node(number, machine, Door(number), self._folder / f"node-{number}.json")

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
            for node in self._nodes:
                self._begin_faults(node)
            self._begin(self._inject_server_faults())
            self._begin(self._drain_one())
            if not self._sound_lists:
                self._begin(self._inject_discovery_faults())
            await asyncio.sleep(LASTS_S)
            for node in self._nodes:
                if self._replaced:
                    await self._replace(node)
                await self._end(node)
        finally:
            await self._close()
        for node in self._nodes:
            self.records.broken[node.number] = node.broken(BREAKING)
            self.records.broken_peers[node.number] = node.broken(BREAKING_PEERS)
            self.records.logs[node.number] = b"".join(node.log).decode()
        return self.records

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _close(self) -> None:
        stopped = await asyncio.gather(
            *(self._stop_faults(node) for node in self._nodes), return_exceptions=True
        )
        for process in self._processes:
            process.kill()
            await process.wait()
        for task in self._tasks:
            task.cancel()
        done = await asyncio.gather(*self._tasks, return_exceptions=True)
        for fleet in self._fleets:
            fleet.close()
        for fault in (*stopped, *done):
            if isinstance(fault, Exception):
                raise fault

    async def _watch_own_loop(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.records.late_loop_s = max(self.records.late_loop_s, time.monotonic() - before - 0.02)

    # Nodes.

    async def _start(self, node: Node) -> None:
        """Start it, or a process that is to replace it, on a machine that may be in trouble already."""
        if self._rng.random() < CLOCK_OFF_SHARE:
            node.machine.step_wall_clock(self._rng.choice(CLOCK_STEPS_S))
        troubled = self._rng.random() < FAILING_START_SHARE
        if troubled:
            for call in (Call.SOCKET, Call.OPEN, Call.WAIT, Call.WATCH):
                node.machine.fail(call, 0.3)
        if node.process is None:
            node.config.write_text(json.dumps(self._configuration(node, 0)))
        told = self._folder / "stepflow.conf"
        told.write_text("log {\n    level debug\n}\n")
        env = {**node.machine.env, "TMPDIR": str(self._folder), "STEPFLOW_CONF": str(told)}
        try:
            async with asyncio.timeout(READY_S):
                process, node.door.port = await start_node(node.config, env)
        except (TimeoutError, RuntimeError) as fault:
            self.records.node_faults.append(f"{node.name}: not ready: {fault!r}")
            return
        node.machine.heal()
        node.process = NodeProcess(node.name, process, self.records)
        self._processes.append(node.process)
        if node.fault_injector is not None:
            node.fault_injector.switch_to(node.process)
        assert process.stderr is not None
        self._begin(self._read_log(node, process.stderr))

    @staticmethod
    async def _read_log(node: Node, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            node.log.append(line)

    def _configuration(self, node: Node, at: int) -> dict[str, Any]:
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
            "name": node.name,
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

    def _begin_clients(self, node: Node) -> None:
        for _ in range(CLIENTS):
            rng = random.Random(self._rng.random())
            client = Client(node.door, self.records, rng, self._has_stopped)
            self._begin(client.live())
        if self._crowded:
            for _ in range(CROWD):
                self._begin(_idle(node.door, random.Random(self._rng.random())))

    def _has_stopped(self, uid: str) -> bool:
        return any(server.uid == uid and server.stopped for server in self.servers)

    # What goes wrong.

    def _begin_faults(self, node: Node) -> None:
        """Inject faults until the last process of the node has exited."""
        assert node.process is not None
        rng = random.Random(self._rng.random())
        node.fault_injector = FaultInjector(node.process, node.machine, self._fault_plan(node), rng)
        node.fault_injector.start()

    @staticmethod
    async def _stop_faults(node: Node) -> None:
        if node.fault_injector is not None:
            await node.fault_injector.stop()

    def _fault_plan(self, node: Node) -> FaultPlan:
        return FaultPlan(
            failing_calls=HARMLESS_TO_LISTS if self._sound_lists else PASSING,
            breaking_calls=BREAKING if self._sound_lists else BREAKING + BREAKING_PEERS,
            config=node.config,
            new_configuration=lambda rng: self._new_configuration(node, rng),
        )

    def _new_configuration(self, node: Node, rng: random.Random) -> str:
        return json.dumps(self._configuration(node, 0 if self._sound_lists else rng.randrange(2)))

    async def _inject_server_faults(self) -> None:
        rng = random.Random(self._rng.random())
        while True:
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            rng.choice(self.servers).mood = rng.choice(MOODS)

    async def _drain_one(self) -> None:
        """One server drains, later it is gone; what is still there then is cut."""
        rng = random.Random(self._rng.random())
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        server = rng.choice(self.servers)
        server.state = "Terminating"
        self._tell(server)
        told = time.monotonic() + (0.0 if self._sound_lists else LIST_LATE_S)
        self.records.told_to_avoid[server.uid] = told
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        server.state = "Gone"
        self._tell(server)
        server.stop()

    def _tell(self, server: FaultyServer) -> None:
        for fleet in self._fleets:
            fleet.tell(server)

    async def _inject_discovery_faults(self) -> None:
        rng = random.Random(self._rng.random())
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.5))
            fleet = rng.choice(self._fleets)
            fleet.down = True
            fleet.drop()
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            fleet.down = False

    # The end.

    async def _replace(self, node: Node) -> None:
        """Start a second process beside the one that serves, and end the first."""
        before = node.process
        assert before is not None
        await self._start(node)
        await self._tell_to_end(node, before)
        await asyncio.sleep(1.0)

    async def _end(self, node: Node) -> None:
        """Signals in series; then the kill, as early as the protocol allows."""
        assert node.process is not None
        node.door.told_to_end = time.monotonic()
        await self._tell_to_end(node, node.process)
        await self._stop_faults(node)
        await asyncio.sleep(0.05)  # for clients to read what was sent
        node.door.killed = True
        self._check_log(node)

    def _check_log(self, node: Node) -> None:
        """Record what a sound node never logs, and a count of faults other than none."""
        log = b"".join(node.log).decode()
        if any(word in log for word in FAULT_WORDS) or " faults=0" not in log:
            told = (*FAULT_WORDS, "faults=")
            lines = [line for line in log.splitlines() if any(word in line for word in told)]
            self.records.node_faults.append("\n".join([f"{node.name}: its log has a fault", *lines]))

    async def _tell_to_end(self, node: Node, process: NodeProcess) -> None:
        """Send SIGTERM, more signals while the process ends, and SIGKILL when its time is over."""
        rng, began = random.Random(self._rng.random()), time.monotonic()
        process.request_end()
        for _ in range(rng.randint(0, 3)):
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            process.send_signal(rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        left_s = KILL_AFTER_S - (time.monotonic() - began)
        if not await process.wait(left_s):
            self.records.node_faults.append(f"{node.name}: still runs when SIGKILL comes")
            process.kill()
        await process.wait()


async def _idle(door: Door, rng: random.Random) -> None:
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
        await asyncio.sleep(rng.uniform(0.0, 0.3))


def play(seed: int) -> Records:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_play(seed, Path(folder)))


async def _play(seed: int, folder: Path) -> Records:
    return await Run(seed, folder).play()
