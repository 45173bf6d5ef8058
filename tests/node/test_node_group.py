"""A group of real nodes under load, during restarts and faults.

Every request is answered, no session is cut or served twice, and no draining endpoint gets a request.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from standins.crowd import Crowd, Ledger, LedgerServer
from standins.fleet import Fleet
from standins.node import start_node
from tests.node_kit import SETTINGS, TIMEOUT_S

NODES, CLIENTS, SERVERS = 4, 24, 5
PORT = 7070
DRAIN_GRACE_S = 0.55  # from the update that reports an endpoint as draining; 50 ms of it are the protocol's


class NodeGroup:
    """Nodes at fixed addresses, and their endpoints, which record all requests in one shared ledger."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.ledger = folder, Ledger()
        self.servers = [LedgerServer(f"s-{n}", "k", ledger=self.ledger) for n in range(SERVERS)]
        self.fleet = Fleet(list(self.servers))
        # Addresses used by this test only: a free port of a shared address may be taken by another test.
        pid = os.getpid()
        self.addresses = [(f"127.{100 + n}.{pid >> 8 & 255}.{pid & 255}", PORT) for n in range(NODES)]
        self.nodes: list[asyncio.subprocess.Process] = []
        self._logs: list[asyncio.Task[bytes]] = []

    async def start(self, number: int, fleet: Fleet | None = None) -> None:
        """Start or restart a node, with the discovery of `fleet` if given."""
        path = self.configure(number, fleet or self.fleet)
        process, _ = await start_node(path, {"TMPDIR": str(path.parent), "STEPFLOW_CONF": os.devnull})
        self.nodes[number : number + 1] = [process]
        assert process.stderr is not None
        self._logs.append(asyncio.create_task(process.stderr.read()))

    def configure(self, number: int, fleet: Fleet) -> Path:
        """Write a node's configuration, with the discovery of `fleet`."""
        path = self.folder / f"n{number}" / "config.json"
        path.parent.mkdir(exist_ok=True)
        settings = {**SETTINGS, "group_size": NODES, "position": number}
        settings["kinds"], settings["azs"] = ["k"], ["room"]
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": ":".join(map(str, self.addresses[number])),
            "discovery": fleet.address,
            "seed": f"{number:x}",
            "limits": {"sockets": 1024},
            "known": self.fleet.known(),
            "settings": settings,
        }
        path.write_text(json.dumps(config))
        return path

    async def stop(self, number: int, how: signal.Signals) -> int:
        """Send a signal to a node and wait for its exit; return its exit code."""
        self.nodes[number].send_signal(how)
        return await asyncio.wait_for(self.nodes[number].wait(), TIMEOUT_S)

    async def run(self, scenario: Callable[[NodeGroup, Crowd], Awaitable[None]]) -> None:
        """Start the nodes and the clients, run the scenario, stop everything, and check the results."""
        await self.fleet.begin()
        for number in range(NODES):
            await self.start(number)
        crowd = Crowd(self.addresses, CLIENTS)
        try:
            await crowd.stand()
            await scenario(self, crowd)
            await crowd.stand()
            await crowd.end()
        finally:
            for node in self.nodes:
                if node.returncode is None:
                    node.kill()
                    await node.wait()
            self.fleet.close()
            await asyncio.gather(*self._logs)
        seen = crowd.seen
        assert (seen.unanswered, seen.cut, seen.extra, self.ledger.overlaps) == (0, 0, 0, 0)
        assert seen.held_s < 1.05 and seen.answers["UP"] >= CLIENTS
        assert [late for late in self.ledger.late if late[1] > DRAIN_GRACE_S] == []


async def rolling_restart(group: NodeGroup, crowd: Crowd) -> None:
    """All nodes are restarted under load, two at a time.

    Each node migrates its sessions, answers its requests and exits.
    """
    for pair in ((0, 1), (2, 3)):
        assert await asyncio.gather(*(group.stop(n, signal.SIGTERM) for n in pair)) == [0, 0]
        await asyncio.gather(*(group.start(n) for n in pair))
        await crowd.stand()
    assert crowd.seen.moved >= CLIENTS // 2


async def nodes_killed(group: NodeGroup, crowd: Crowd) -> None:
    """Three of four nodes are killed at once: their clients reconnect, and no request runs twice."""
    crowd.killed = set(group.addresses[:3])
    await asyncio.gather(*(group.stop(n, signal.SIGKILL) for n in range(3)))
    await asyncio.gather(*(group.start(n) for n in range(3)))


async def discovery_address_changes(group: NodeGroup, crowd: Crowd) -> None:
    """SIGHUP changes the address of discovery; the new one is slow and reports that an endpoint drains."""
    other = Fleet(list(group.servers), rev=5, late_s=0.3)
    group.servers[0].state = "Terminating"
    await other.begin(serve=False)
    for number, node in enumerate(group.nodes):
        group.configure(number, other)
        node.send_signal(signal.SIGHUP)
    await other.told(NODES)
    group.ledger.shut["s-0"] = time.monotonic()
    for restarted in range(2):  # each exit migrates the node's sessions: none goes to the draining endpoint
        assert await group.stop(restarted, signal.SIGTERM) == 0
        await group.start(restarted, other)
    other.close()


async def discovery_refuses(group: NodeGroup, crowd: Crowd) -> None:
    """Discovery refuses calls and answers late while nodes restart: they use their last known list."""
    group.fleet.refuse, group.fleet.late_s = 6, 0.5
    group.fleet.drop()
    await nodes_killed(group, crowd)
    group.servers[1].state = "Terminating"
    group.fleet.tell(group.servers[1])
    await group.fleet.told(NODES)
    group.ledger.shut["s-1"] = time.monotonic()
    assert group.fleet.refuse == 0


async def connections_reset(group: NodeGroup, crowd: Crowd) -> None:
    """An endpoint resets connections after OPEN: requests are retried elsewhere, one attempt at a time."""
    before = group.ledger.opened["s-2"]
    group.servers[2].reset = lambda: True
    assert await group.stop(0, signal.SIGTERM) == 0
    await group.start(0)
    crowd.killed = {group.addresses[1]}
    await group.stop(1, signal.SIGKILL)
    await group.start(1)
    await crowd.stand()
    assert group.ledger.opened["s-2"] > before
    group.servers[2].reset = lambda: False


@pytest.mark.parametrize(
    "scenario",
    [rolling_restart, nodes_killed, discovery_address_changes, discovery_refuses, connections_reset],
)
def test_no_request_or_session_is_lost_duplicated_or_sent_to_a_draining_endpoint(
    scenario: Callable[[NodeGroup, Crowd], Awaitable[None]], tmp_path: Path
) -> None:
    asyncio.run(NodeGroup(tmp_path).run(scenario))
