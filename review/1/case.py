"""A fleet of sixteen times the usual number of map servers, and a node of the same traffic and limits."""

from __future__ import annotations

import asyncio
import random
import select
import socket
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

USUAL_SERVERS, TIMES = 22, 16  # astana-main: big_servers up to 22; STANDING: up to sixteen times
SOCKETS = 256  # LATER: 256 to 1,024 descriptors
MAX_CLIENTS = SOCKETS // 3  # LATER: clients hold at most a third of the descriptors
CLIENTS_PER_S = 11.0  # BRIEF: about 11 new connections a second
LIFE_S = 4.0
GROUPS = 400
LASTS_S = 40.0
DEADLINE_S, SLACK_S = 1.2, 0.55  # half a second, and every limit is 50 ms longer


class Clients:
    """The clients, their number now and at most, and how their requests ended."""

    def __init__(self, node: kit.Node, record: kit.Record) -> None:
        self._node, self._record, self._rng = node, record, random.Random(5)
        self.open = self.most = 0
        self.ends: Counter[str] = Counter()

    async def request(self) -> None:
        """One client: it sends one request and keeps its session for a while."""
        rng, name = self._rng, kit.new_id(self._rng)
        line = f"OPEN {name} {kit.new_id(rng)} c=view,d=1200,g={rng.randrange(1, GROUPS):x}\r\n"
        try:
            sock = socket.create_connection((kit.HOST, self._node.port), 1.0)
        except OSError:
            self.ends["not taken: refused"] += 1
            return
        sock.sendall(line.encode())
        # Taken, if the last byte was written while the node's end was open: on the loopback interface an end
        # is seen here at once.
        poll = select.poll()
        poll.register(sock, select.POLLIN | select.POLLRDHUP)
        taken = not poll.poll(0)
        self.open += 1
        self.most = max(self.most, self.open)
        stream = kit.LineStream(*await asyncio.open_connection(sock=sock))
        try:
            answer = await asyncio.wait_for(stream.read(), DEADLINE_S + SLACK_S)
        except TimeoutError:
            answer = "no answer in time"
        if answer in ("", "RESET", "no answer in time"):
            end = "lost" if taken else "not taken: closed before"
            how = {"": "closed with a FIN", "RESET": "reset"}.get(answer, answer)
            self._record.write(f"client {name}: {end}: {how}, no answer")
        else:
            end = answer.split(" ")[0]
            self._record.write(f"client {name}: answered {answer!r}")
        self.ends[end] += 1
        if end == "UP":
            await asyncio.sleep(rng.expovariate(1 / LIFE_S))
        stream.close()
        self.open -= 1


async def play(record: kit.Record, work: Path, trouble: bool) -> int:
    """Play the case."""
    count = USUAL_SERVERS * (TIMES if trouble else 1)
    servers = [kit.Server(f"s-{n}", record, kit.serve_session) for n in range(count)]
    for server in servers:
        await server.start()
    discovery = kit.Discovery(servers)
    await discovery.start()
    config = {
        "discovery": discovery.address,
        "known": discovery.full(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "settings": kit.settings(classes=[kit.VIEW], costs={"probe": 0.004, "moves": 0.02}),
    }
    node = kit.Node(record, work, config)
    await node.start()
    record.write(f"platform: {count} map servers, {SOCKETS} descriptors")
    clients = Clients(node, record)
    try:
        tasks, rng, end = [], random.Random(6), time.monotonic() + LASTS_S
        while time.monotonic() < end:
            if clients.open < MAX_CLIENTS:
                tasks.append(asyncio.create_task(clients.request()))
            await asyncio.sleep(rng.expovariate(CLIENTS_PER_S))
        await asyncio.wait(tasks, timeout=DEADLINE_S + SLACK_S)
    finally:
        await node.stop()
        for task in tasks:
            task.cancel()
    record.write(f"at most {clients.most} clients at once; their requests: {dict(clients.ends)}")
    if clients.most > MAX_CLIENTS or not clients.ends["UP"]:
        return kit.NOT_RUN
    return kit.BROKEN if clients.ends["lost"] else kit.HELD


kit.main(play, FOLDER, 100.0)
