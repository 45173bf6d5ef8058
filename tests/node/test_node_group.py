"""A group of real nodes under load, through restarts and faults: whatever happens, the rules are kept.

No client goes unanswered, no session is cut or served twice, and no draining server gets a request.
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
from tests.node_kit import PATIENCE, SETTINGS

NODES, CLIENTS, SERVERS = 4, 24, 5
PORT = 7070
DRAIN_GRACE_S = 0.55  # from the update that a server drains on; 50 ms of it are the protocol's


class NodeGroup:
    """Nodes at fixed addresses, and their map servers, which share one ledger of what they have served."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.ledger = folder, Ledger()
        self.servers = [LedgerServer(f"s-{n}", "k", ledger=self.ledger) for n in range(SERVERS)]
        self.fleet = Fleet(list(self.servers))
        # Addresses of their own: a free port of the shared one may be another test's a moment later.
        pid = os.getpid()
        self.addresses = [(f"127.{100 + n}.{pid >> 8 & 255}.{pid & 255}", PORT) for n in range(NODES)]
        self.nodes: list[asyncio.subprocess.Process] = []
        self._logs: list[asyncio.Task[bytes]] = []

    async def start(self, number: int, fleet: Fleet | None = None) -> None:
        """Start a node, or start it again, at a discovery of its own if need be."""
        path = self.configure(number, fleet or self.fleet)
        process, _ = await start_node(path, {"TMPDIR": str(path.parent), "STEPFLOW_CONF": os.devnull})
        self.nodes[number : number + 1] = [process]
        assert process.stderr is not None
        self._logs.append(asyncio.create_task(process.stderr.read()))

    def configure(self, number: int, fleet: Fleet) -> Path:
        """Write a node's configuration, with this fleet's discovery."""
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
        """Signal a node and wait for its exit."""
        self.nodes[number].send_signal(how)
        return await asyncio.wait_for(self.nodes[number].wait(), PATIENCE)

    async def run(self, scenario: Callable[[NodeGroup, Crowd], Awaitable[None]]) -> None:
        """Start everything, have the crowd served, run the scenario, stop everything, and check the rules."""
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
    """All nodes are restarted under load, two at a time: each migrates or answers what it has, and exits."""
    for pair in ((0, 1), (2, 3)):
        assert await asyncio.gather(*(group.stop(n, signal.SIGTERM) for n in pair)) == [0, 0]
        await asyncio.gather(*(group.start(n) for n in pair))
        await crowd.stand()
    assert crowd.seen.moved >= CLIENTS // 2


async def nodes_killed(group: NodeGroup, crowd: Crowd) -> None:
    """Three of four are killed at once: their clients come again, and no request runs twice."""
    crowd.killed = set(group.addresses[:3])
    await asyncio.gather(*(group.stop(n, signal.SIGKILL) for n in range(3)))
    await asyncio.gather(*(group.start(n) for n in range(3)))


async def discovery_address_changes(group: NodeGroup, crowd: Crowd) -> None:
    """SIGHUP brings a new address of discovery, which is slow and has an update: a server drains."""
    other = Fleet(list(group.servers), rev=5, late_s=0.3)
    group.servers[0].state = "Terminating"
    await other.begin(serve=False)
    for number, node in enumerate(group.nodes):
        group.configure(number, other)
        node.send_signal(signal.SIGHUP)
    await other.told(NODES)
    group.ledger.shut["s-0"] = time.monotonic()
    for moved in range(2):  # all sessions are migrated, twice: none comes to the draining server
        assert await group.stop(moved, signal.SIGTERM) == 0
        await group.start(moved, other)
    other.close()


async def discovery_refuses(group: NodeGroup, crowd: Crowd) -> None:
    """Discovery rejects calls and answers late while nodes come back: they serve by the list they had."""
    group.fleet.refuse, group.fleet.late_s = 6, 0.5
    group.fleet.drop()
    await nodes_killed(group, crowd)
    group.servers[1].state = "Terminating"
    group.fleet.tell(group.servers[1])
    await group.fleet.told(NODES)
    group.ledger.shut["s-1"] = time.monotonic()
    assert group.fleet.refuse == 0


async def connections_reset(group: NodeGroup, crowd: Crowd) -> None:
    """A server resets connections under their requests: those are tried elsewhere, one at a time."""
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
def test_the_rules_are_kept(scenario: Callable[[NodeGroup, Crowd], Awaitable[None]], tmp_path: Path) -> None:
    asyncio.run(NodeGroup(tmp_path).run(scenario))
