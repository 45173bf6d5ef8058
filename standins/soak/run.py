"""One seeded run: nodes on faulty machines, endpoints, discovery, clients, and each node's shutdown."""

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
from standins.soak.clients import Client, Listener
from standins.soak.fault_injector import CLOCK_STEPS_S, FaultInjector, FaultPlan
from standins.soak.node_process import NodeProcess
from standins.soak.records import KINDS, MAX_DEADLINE_S, Records
from standins.soak.servers import FaultyEndpoint

LASTS_S = 5.0  # time until the first node is shut down
KILL_AFTER_S = MAX_DEADLINE_S + 0.7  # time from SIGTERM to SIGKILL
READY_TIMEOUT_S = 25.0
CLOCK_OFF_SHARE = 0.4  # share of starts on a machine with a wrong wall clock
FAILING_START_SHARE = 0.3  # share of starts on a machine with failing calls
ENDPOINTS, CLIENTS, IDLE_CLIENTS = 6, 30, 150
SOCKET_LIMIT = 256  # descriptors that a node may use
CLIENT_CALLS = (Call.RECV_ACCEPTED, Call.SEND_ACCEPTED)  # a failure breaks a client's connection
ENDPOINT_CALLS = (Call.RECV_DIALLED, Call.SEND_DIALLED)  # a failure must not break a client's connection
SCARCE = (Call.SCARCE_RECV, Call.SCARCE_SEND)
LIST_SAFE_CALLS = (
    Call.ACCEPT, Call.WAIT, Call.HELD_WAIT, Call.WATCH, Call.SHORT_RECV, Call.SHORT_SEND, *SCARCE, Call.OPEN,
)  # fmt: skip
TRANSIENT_CALLS = (*LIST_SAFE_CALLS, Call.SOCKET, Call.CONNECT)
BEHAVIORS = ("hung", "full", "resetting", "late", "healthy")
FAULT_TEXTS = ("Traceback", "connection not closed in time")
MAX_LIST_DELAY_S = 6.0  # time after which a list update counts as received, despite discovery's faults


@dataclass
class Node:
    """One node: its machine, listener, configuration file, serving process, faults and log."""

    number: int
    machine: Machine
    listener: Listener
    config: Path
    process: NodeProcess | None = None  # the serving process
    fault_injector: FaultInjector | None = None
    log: list[bytes] = field(default_factory=list)  # lines of all its processes

    @property
    def name(self) -> str:
        """The node's name in its configuration and in the records."""
        return f"n{self.number}"

    def injected_failures(self, calls: Sequence[Call]) -> int:
        """Return the number of failures that the machine has injected into these calls of the node."""
        return sum(self.machine.injected(call) for call in calls)


class Run:
    """One seed, played once; `play` returns the records."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng, self._outage_rng = random.Random(seed), random.Random(f"outages of {seed}")
        self._folder, self.records = folder, Records()
        self.endpoints = [
            FaultyEndpoint(f"s-{n}", records=self.records, rng=random.Random(seed * 100 + n))
            for n in range(ENDPOINTS)
        ]
        self._fleets = [Fleet(list(self.endpoints)), Fleet(list(self.endpoints))]  # discovery's two addresses
        self._replaces_nodes = seed % 5 == 0  # each node's process is replaced before the shutdown
        self._reliable_lists = seed % 3 == 0  # no discovery faults: a list update counts as received at once
        self._pushes_lists = seed % 3 == 1  # discovery mode "pushed": lists go to an agent
        self._is_crowded = self.records.crowded = seed % 4 == 0
        self._nodes = [self._build_node(seed, n) for n in range(1 + seed % 3)]
        self._processes: list[NodeProcess] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _build_node(self, seed: int, number: int) -> Node:
        machine = Machine(self._folder, seed * 10 + number + 1)
        return Node(number, machine, Listener(number), self._folder / f"node-{number}.json")

    async def play(self) -> Records:
        """Play the seed: start all processes, inject faults, shut the nodes down and return the records."""
        for fleet, opens_endpoints in zip(self._fleets, (True, False), strict=True):
            await fleet.begin(opens_endpoints)
        self._spawn(self._measure_loop_delay())
        try:
            await asyncio.gather(*(self._start_process(node) for node in self._nodes))
            if self.records.node_faults:
                return self.records
            for node in self._nodes:
                self._start_clients(node)
            for node in self._nodes:
                self._start_faults(node)
            self._spawn(self._inject_endpoint_faults())
            self._spawn(self._drain_endpoint())
            if not self._reliable_lists:
                self._spawn(self._inject_discovery_faults())
            await asyncio.sleep(LASTS_S)
            for node in self._nodes:
                if self._replaces_nodes:
                    await self._replace_process(node)
                await self._shut_down(node)
        finally:
            await self._close()
        for node in self._nodes:
            self.records.broken_client_connections[node.number] = node.injected_failures(CLIENT_CALLS)
            self.records.broken_endpoint_connections[node.number] = node.injected_failures(ENDPOINT_CALLS)
            self.records.logs[node.number] = b"".join(node.log).decode()
        return self.records

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
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
        for result in (*stopped, *done):
            if isinstance(result, Exception):
                raise result

    async def _measure_loop_delay(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.records.loop_delay_s = max(self.records.loop_delay_s, time.monotonic() - before - 0.02)

    # Nodes.

    async def _start_process(self, node: Node) -> None:
        """Start the node's process or its replacement, on a machine that may have faults already."""
        if self._rng.random() < CLOCK_OFF_SHARE:
            node.machine.step_wall_clock(self._rng.choice(CLOCK_STEPS_S))
        has_failing_calls = self._rng.random() < FAILING_START_SHARE
        if has_failing_calls:
            for call in (Call.SOCKET, Call.OPEN, Call.WAIT, Call.WATCH):
                node.machine.fail(call, 0.3)
        if node.process is None:
            node.config.write_text(json.dumps(self._configuration(node, 0)))
        operator_file = self._folder / "stepflow.conf"
        operator_file.write_text("log {\n    level debug\n}\n")
        env = {**node.machine.env, "TMPDIR": str(self._folder), "STEPFLOW_CONF": str(operator_file)}
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                process, node.listener.port = await start_node(node.config, env)
        except (TimeoutError, RuntimeError) as error:
            self.records.node_faults.append(f"{node.name}: not ready: {error!r}")
            return
        node.machine.heal()
        node.process = NodeProcess(node.name, process, self.records)
        self._processes.append(node.process)
        if node.fault_injector is not None:
            node.fault_injector.switch_to(node.process)
        assert process.stderr is not None
        self._spawn(self._read_log(node, process.stderr))

    @staticmethod
    async def _read_log(node: Node, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            node.log.append(line)

    def _configuration(self, node: Node, fleet_index: int) -> dict[str, Any]:
        classes = [
            {
                "name": kind.name,
                "aim_us": 300_000,
                "give_up_us": int(kind.deadline_s * 1e6),
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
            "discovery": self._fleets[fleet_index].address,
            "seed": f"{node.number + 5:x}",
            "limits": {"sockets": SOCKET_LIMIT},
            "known": self._fleets[0].known(),
            "settings": {
                "group_size": len(self._nodes),
                "position": node.number,
                "discovery": "pushed" if self._pushes_lists else "on_request",
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

    def _start_clients(self, node: Node) -> None:
        for _ in range(CLIENTS):
            rng = random.Random(self._rng.random())
            client = Client(node.listener, self.records, rng, self._is_stopped)
            self._spawn(client.run())
        if self._is_crowded:
            for _ in range(IDLE_CLIENTS):
                self._spawn(_hold_idle_connections(node.listener, random.Random(self._rng.random())))

    def _is_stopped(self, uid: str) -> bool:
        return any(endpoint.uid == uid and endpoint.stopped for endpoint in self.endpoints)

    # Faults.

    def _start_faults(self, node: Node) -> None:
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
            failing_calls=LIST_SAFE_CALLS if self._reliable_lists else TRANSIENT_CALLS,
            breaking_calls=CLIENT_CALLS if self._reliable_lists else CLIENT_CALLS + ENDPOINT_CALLS,
            config=node.config,
            new_configuration=lambda rng: self._new_configuration(node, rng),
        )

    def _new_configuration(self, node: Node, rng: random.Random) -> str:
        return json.dumps(self._configuration(node, 0 if self._reliable_lists else rng.randrange(2)))

    async def _inject_endpoint_faults(self) -> None:
        rng = random.Random(self._rng.random())
        while True:
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            rng.choice(self.endpoints).behavior = rng.choice(BEHAVIORS)

    async def _drain_endpoint(self) -> None:
        """Drain one endpoint, later report it as gone and abort its remaining sessions."""
        rng = random.Random(self._rng.random())
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        endpoint = rng.choice(self.endpoints)
        endpoint.state = "Terminating"
        self._send_update(endpoint)
        announced_at = time.monotonic() + (0.0 if self._reliable_lists else MAX_LIST_DELAY_S)
        self.records.drain_announced_at[endpoint.uid] = announced_at
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        endpoint.state = "Gone"
        self._send_update(endpoint)
        endpoint.stop()

    def _send_update(self, endpoint: FaultyEndpoint) -> None:
        for fleet in self._fleets:
            fleet.tell(endpoint)

    async def _inject_discovery_faults(self) -> None:
        rng = random.Random(self._rng.random())
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.5))
            fleet = rng.choice(self._fleets)
            # An agent that pushes lists says nothing while discovery is down.
            is_silent = self._pushes_lists and self._outage_rng.choice((False, True))
            if is_silent:
                fleet.fall_silent()
            else:
                fleet.down = True
                fleet.drop()
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            if is_silent:
                fleet.resume(0.0)
            else:
                fleet.down = False

    # Shutdown.

    async def _replace_process(self, node: Node) -> None:
        """Start a second process beside the serving process, then end the first."""
        predecessor = node.process
        assert predecessor is not None
        await self._start_process(node)
        await self._end_process(node, predecessor)
        await asyncio.sleep(1.0)

    async def _shut_down(self, node: Node) -> None:
        """End the node's process, stop its faults and check its log."""
        assert node.process is not None
        node.listener.shutdown_started_at = time.monotonic()
        await self._end_process(node, node.process)
        await self._stop_faults(node)
        await asyncio.sleep(0.05)  # lets clients read the last data
        node.listener.node_killed = True
        self._check_log(node)

    def _check_log(self, node: Node) -> None:
        """Record log lines that show a fault, and a log without `faults=0`."""
        log = b"".join(node.log).decode()
        if any(text in log for text in FAULT_TEXTS) or " faults=0" not in log:
            texts = (*FAULT_TEXTS, "faults=")
            lines = [line for line in log.splitlines() if any(text in line for text in texts)]
            self.records.node_faults.append("\n".join([f"{node.name}: its log shows a fault", *lines]))

    async def _end_process(self, node: Node, process: NodeProcess) -> None:
        """Send SIGTERM and random signals, then SIGKILL if the process outlives the allowed time."""
        rng, started_at = random.Random(self._rng.random()), time.monotonic()
        process.request_end()
        for _ in range(rng.randint(0, 3)):
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            process.send_signal(rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        left_s = KILL_AFTER_S - (time.monotonic() - started_at)
        if not await process.wait(left_s):
            self.records.node_faults.append(f"{node.name}: still running when SIGKILL is due")
            process.kill()
        await process.wait()


async def _hold_idle_connections(listener: Listener, rng: random.Random) -> None:
    """Hold an idle connection, and open another one whenever it ends."""
    while listener.takes_new_clients:
        try:
            reader, writer = await asyncio.open_connection(HOST, listener.port)
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
    """Play one seed in a temporary folder of its own and return its records."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_play(seed, Path(folder)))


async def _play(seed: int, folder: Path) -> Records:
    return await Run(seed, folder).play()
