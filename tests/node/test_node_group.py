"""A small fleet of real nodes through what only sockets show: each rule is kept, whatever the score."""

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
GRACE_S = 0.55  # from the word that a server drains on; 50 ms of it are the protocol's


class Wave:
    """Nodes at fixed addresses, their map servers with one ledger, and a crowd."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.ledger = folder, Ledger()
        self.servers = [LedgerServer(f"s-{n}", "k", ledger=self.ledger) for n in range(SERVERS)]
        self.fleet = Fleet(list(self.servers))
        # Addresses of their own: a free port of the shared one may be another test's a moment later.
        pid = os.getpid()
        self.at = [(f"127.{100 + n}.{pid >> 8 & 255}.{pid & 255}", PORT) for n in range(NODES)]
        self.nodes: list[asyncio.subprocess.Process] = []
        self._logs: list[asyncio.Task[bytes]] = []

    async def begin(self, number: int, fleet: Fleet | None = None) -> None:
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
        told: dict[str, Any] = {
            "name": f"n{number}",
            "listen": ":".join(map(str, self.at[number])),
            "discovery": fleet.address,
            "seed": f"{number:x}",
            "limits": {"sockets": 1024},
            "known": self.fleet.known(),
            "settings": settings,
        }
        path.write_text(json.dumps(told))
        return path

    async def end(self, number: int, how: signal.Signals) -> int:
        """Signal a node and wait for its exit."""
        self.nodes[number].send_signal(how)
        return await asyncio.wait_for(self.nodes[number].wait(), PATIENCE)

    async def play(self, story: Callable[[Wave, Crowd], Awaitable[None]]) -> None:
        """Everything up, the crowd served, the story, and everything down."""
        await self.fleet.begin()
        for number in range(NODES):
            await self.begin(number)
        crowd = Crowd(self.at, CLIENTS)
        try:
            await crowd.stand()
            await story(self, crowd)
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
        assert [late for late in self.ledger.late if late[1] > GRACE_S] == []


async def rolled(wave: Wave, crowd: Crowd) -> None:
    """All nodes are restarted under load, two at a time: each moves or answers what it has, and exits."""
    for pair in ((0, 1), (2, 3)):
        assert await asyncio.gather(*(wave.end(n, signal.SIGTERM) for n in pair)) == [0, 0]
        await asyncio.gather(*(wave.begin(n) for n in pair))
        await crowd.stand()
    assert crowd.seen.moved >= CLIENTS // 2


async def killed(wave: Wave, crowd: Crowd) -> None:
    """Seven in ten are killed at once: what they held comes again, and nothing of it runs twice."""
    crowd.killed = set(wave.at[:3])
    await asyncio.gather(*(wave.end(n, signal.SIGKILL) for n in range(3)))
    await asyncio.gather(*(wave.begin(n) for n in range(3)))


async def discovery_moves(wave: Wave, crowd: Crowd) -> None:
    """SIGHUP tells a new address of discovery, which is slow and has news: a server drains."""
    other = Fleet(list(wave.servers), rev=5, late_s=0.3)
    wave.servers[0].state = "Terminating"
    await other.begin(serve=False)
    for number, node in enumerate(wave.nodes):
        wave.configure(number, other)
        node.send_signal(signal.SIGHUP)
    await other.told(NODES)
    wave.ledger.shut["s-0"] = time.monotonic()
    for moved in range(2):  # all who stand come again, twice: none of them comes to the drained one
        assert await wave.end(moved, signal.SIGTERM) == 0
        await wave.begin(moved, other)
    other.close()


async def discovery_refuses(wave: Wave, crowd: Crowd) -> None:
    """Discovery turns calls away and answers late while nodes come back: they serve by the list they had."""
    wave.fleet.refuse, wave.fleet.late_s = 6, 0.5
    wave.fleet.drop()
    await killed(wave, crowd)
    wave.servers[1].state = "Terminating"
    wave.fleet.tell(wave.servers[1])
    await wave.fleet.told(NODES)
    wave.ledger.shut["s-1"] = time.monotonic()
    assert wave.fleet.refuse == 0


async def resets(wave: Wave, crowd: Crowd) -> None:
    """A server resets connections under their requests: those are tried elsewhere, one at a time."""
    before = wave.ledger.opened["s-2"]
    wave.servers[2].reset = lambda: True
    assert await wave.end(0, signal.SIGTERM) == 0
    await wave.begin(0)
    crowd.killed = {wave.at[1]}
    await wave.end(1, signal.SIGKILL)
    await wave.begin(1)
    await crowd.stand()
    assert wave.ledger.opened["s-2"] > before
    wave.servers[2].reset = lambda: False


@pytest.mark.parametrize("story", [rolled, killed, discovery_moves, discovery_refuses, resets])
def test_a_fleet_keeps_the_rules_through(
    story: Callable[[Wave, Crowd], Awaitable[None]], tmp_path: Path
) -> None:
    asyncio.run(Wave(tmp_path).play(story))
