"""Case 10: a process is replaced; a drain that the old one was told of is not known to the new one."""

# ruff: noqa: D103, PLR0915 (a script that is read from top to bottom)

from __future__ import annotations

import asyncio
import signal
import sys
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Client,
    Discovery,
    MapServer,
    Node,
    Record,
    main,
    settings,
)

SEEDS = ("8c1f30d27a5be964", "1", "3", "6")  # the first is the one of the deployment page's example
ANSWER_S = 1.2  # discovery's time for a call while it is slow; a call that waits 2 s or longer may fail
BINDS_S = 2.0  # "What discovery tells binds 2 s after the yes."
GRACE_S = 0.55  # `safety.drain_grace_us`, and "every time limit is 50 ms longer"
OWN_DELAY_S = 0.05  # for the stand-ins, which may note a line late
STOPS_AFTER_S = 4.0  # from the yes to the end of the map server that drains
REQUEST_INTERVAL_S = 0.03
NUMBERS = count(1)


class SlowDiscovery(Discovery):
    """Answers calls `answer_s` after they came; what it writes to open watches is not slow."""

    answer_s = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.record is not None:
            self.record.note(f"discovery on port {self.port} got a call")
        await asyncio.sleep(self.answer_s)
        await super()._serve(reader, writer)


async def request(client: Client, uid: str, bound: list[float]) -> None:
    """Open a connection; hold it if it came up at this server after the time in `bound`, else close it."""
    is_there = (await client.open() or "").startswith(f"UP {uid}-")
    if is_there and bound and client.answered_at > bound[0]:
        await client.hold()
    client.close()


async def send_requests(port: int, until: float, uid: str, bound: list[float]) -> list[Client]:
    clients, tasks = [], []
    while time.monotonic() < until:
        clients.append(Client(port, f"{next(NUMBERS):x}"))
        tasks.append(asyncio.create_task(request(clients[-1], uid, bound)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.wait(tasks, timeout=2)
    return clients


async def play_upgrade(record: Record, folder: str, number: int, seed: str) -> list[float]:
    """Replace one node's process; return how late each late send was, counted from when the drain binds."""
    name = f"n{number}"
    servers = [await MapServer(f"{name}-s{i}").start() for i in range(3)]
    discovery = SlowDiscovery(servers, record)
    await discovery.start()
    node = await Node(folder, name, settings(), discovery, seed=seed).start()
    old = node.process
    assert old is not None
    try:
        until = time.monotonic() + 10
        while not discovery.watches and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if not discovery.watches:
            raise CannotRunError("the node did not watch the list")
        standing = [Client(node.port, f"{next(NUMBERS):x}") for _ in range(10)]
        await asyncio.gather(*(client.open() for client in standing))
        holds = [asyncio.create_task(client.hold()) for client in standing if client.answer]
        if TROUBLE:
            discovery.answer_s = ANSWER_S
            record.note(f"{name}: discovery takes {ANSWER_S} s for a call from now on")
        await node.start(second=True)
        yes = time.monotonic()
        draining, bound = servers[0], yes + BINDS_S + GRACE_S
        discovery.change(draining, "Terminating")
        record.note(
            f"{name}: the new process says yes; {draining.uid} drains, "
            f"as discovery writes to {discovery.watches} open watches of the node"
        )
        await asyncio.sleep(0.05)
        old.send_signal(signal.SIGTERM)
        traffic = asyncio.create_task(send_requests(node.port, yes + 6, draining.uid, [bound]))
        try:
            async with asyncio.timeout(3.7):  # the longest deadline counts as 3 s, and 0.7 s more
                await old.wait()
            record.note(f"{name}: the old process ended {time.monotonic() - yes:.3f} s after the yes")
        except TimeoutError:
            old.kill()
            await old.wait()
            record.note(f"{name}: the old process was killed")
        await asyncio.sleep(max(0.0, yes + STOPS_AFTER_S - time.monotonic()))
        draining.close()
        record.note(f"{name}: {draining.uid} has stopped")
        clients = await traffic
        cut = [c for c in clients if c.ended_at and not c.was_moved and c.answered_at > bound]
        late = [at - yes - BINDS_S for at, _ in draining.opens if at - yes > BINDS_S + GRACE_S + OWN_DELAY_S]
        record.note(
            f"{name}, seed {seed}: {draining.uid} got {len(late)} over {GRACE_S} s after the drain bound: "
            + ", ".join(f"{span:.3f}" for span in late)
            + f"; {len(cut)} of these were brought up and cut off when it stopped"
        )
        for task in holds:
            task.cancel()
        return late
    finally:
        if old.returncode is None:
            old.kill()
            await old.wait()
        await node.kill()
        discovery.close()
        for server in servers:
            server.close()


async def play(record: Record, folder: str) -> int:
    results = await asyncio.gather(
        *(play_upgrade(record, folder, number, seed) for number, seed in enumerate(SEEDS, 1))
    )
    return BROKEN if any(results) else HELD


main(__file__, play)
