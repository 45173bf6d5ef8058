"""Case 9: lists are pushed; discovery is down, and a map server begins to drain while it is."""

# ruff: noqa: D103 (a script that is read from top to bottom)

from __future__ import annotations

import asyncio
import sys
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand import BROKEN, HELD, TROUBLE, Client, Discovery, MapServer, Node, Record, main, settings

# "The server list is out of reach for 7.8 to 23 s." A node for each, with its own agent and map servers.
OUTAGES_S = (9.0, 9.25, 9.5, 9.75, 10.0, 10.25, 10.5, 10.75)
GRACE_S = 0.55  # `safety.drain_grace_us`, and "every time limit is 50 ms longer"
OWN_DELAY_S = 0.05  # for the stand-ins, which may note a line late
STOPS_AFTER_S = 2.0  # from the change to the end of the map server that drains
REQUEST_INTERVAL_S = 0.04
NUMBERS = count(1)


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


async def play_outage(record: Record, folder: str, number: int, outage_s: float) -> tuple[int, float]:
    """Play one outage; return the number of late sends, and how late the last one was."""
    name = f"n{number}"
    servers = [await MapServer(f"{name}-s{i}").start() for i in range(3)]
    agent = await Discovery(servers, record).start()
    node = await Node(folder, name, settings(discovery="pushed"), agent, seed=f"{number:x}").start()
    try:
        await asyncio.sleep(2.5)
        began = time.monotonic()
        bound: list[float] = []
        traffic = asyncio.create_task(send_requests(node.port, began + outage_s + 3, servers[0].uid, bound))
        if TROUBLE:
            agent.silent = True
            record.note(f"{name}: discovery is down, its agent says nothing")
        await asyncio.sleep(outage_s)
        draining, told = servers[0], time.monotonic()
        bound.append(told + GRACE_S)
        agent.change(draining, "Terminating")  # written to the open watches, unless silent
        if TROUBLE:
            agent.silent = False
            agent.write_changes()
        record.note(
            f"{name}: discovery is back after {outage_s} s, its agent has {draining.uid} as Terminating"
        )
        await asyncio.sleep(STOPS_AFTER_S)
        draining.close()
        record.note(f"{name}: {draining.uid} has stopped")
        clients = await traffic
        cut = [c for c in clients if c.ended_at and not c.was_moved and c.answered_at > bound[0]]
        late = [at - told for at, _ in draining.opens if at - told > GRACE_S + OWN_DELAY_S]
        before = sum(at <= told for at, _ in draining.opens)
        record.note(
            f"{name}: {draining.uid} got {before} requests before that, {len(late)} over {GRACE_S} s after: "
            + ", ".join(f"{span:.3f}" for span in late)
            + f"; {len(cut)} of these were brought up and cut off when it stopped"
        )
        return len(late), max(late, default=0.0)
    finally:
        await node.kill()
        agent.close()
        for server in servers:
            server.close()


async def play(record: Record, folder: str) -> int:
    results = await asyncio.gather(
        *(play_outage(record, folder, number, outage) for number, outage in enumerate(OUTAGES_S, 1))
    )
    for outage, (late, latest) in zip(OUTAGES_S, results, strict=True):
        record.note(
            f"outage of {outage} s: {late} late sends, the last {latest:.3f} s after the agent had the change"
        )
    return BROKEN if any(late for late, _ in results) else HELD


main(__file__, play)
