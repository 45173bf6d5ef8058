"""Case 6: a planned restart in a crowd of clients that stop in the middle of their first line."""

# ruff: noqa: D103, C901, PLR0912, PLR0915 (a script that is read from top to bottom)

from __future__ import annotations

import asyncio
import signal
import sys
import time
from itertools import pairwise
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

STANDING = 30
CROWD, CROWD_PROCESSES = 4000, 5  # below the listener's backlog and a process's 1,024 descriptors
SOCKETS = 1024  # as in the repository's example; the pages: "256 to 1,024 descriptors"
LINE_S = 0.25  # time between two lines of a client; the pages' 2 s would show a held line less exactly
HELD_BACK_S = 1.05  # "if a line is held back for more than a second"; "every time limit is 50 ms longer"
LONGEST_DEADLINE_S = 3.0  # of the classes, 4.8 s, "taken as 3 s where it is longer"
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7

# A part of the crowd: connects, writes the beginning of an OPEN line, reads what it is told, and stays.
CROWD_PROGRAM = """
import select, socket, sys, time
port, count = int(sys.argv[1]), int(sys.argv[2])
print("ready", flush=True)
sys.stdin.readline()
began, sockets = time.monotonic(), []
for _ in range(count):
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(("127.0.0.1", port))
    sockets.append(sock)
    try:
        sock.send(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4")
    except OSError:
        pass
print(f"{time.monotonic() - began:.3f}", flush=True)
until, open_, answers = time.monotonic() + 8, {s.fileno(): s for s in sockets}, 0
poll = select.poll()
for sock in sockets:
    poll.register(sock, select.POLLIN)
while open_ and time.monotonic() < until:
    for number, _ in poll.poll(200):
        try:
            data = open_[number].recv(100)
        except OSError:
            data = b""
        answers += data.startswith((b"BUSY", b"ERR"))
        if not data:
            poll.unregister(number)
            open_.pop(number).close()
print(answers, flush=True)
"""


class SteadyClient(Client):
    """Keeps when each of its lines was sent, and the longest time that one waited for its echo."""

    def longest_wait(self) -> float:
        """Return the longest time without a line from the node, while the connection stood."""
        times = [self.answered_at, *(at for at, line in self.lines), self.ended_at or time.monotonic()]
        return max(later - earlier for earlier, later in pairwise(times)) - LINE_S


async def play(record: Record, folder: str) -> int:
    servers = [await MapServer(f"s-{number}").start() for number in range(3)]
    discovery = await Discovery(servers).start()
    node = await Node(folder, "n1", settings(), discovery, sockets=SOCKETS).start()
    clients: list[SteadyClient] = []
    tasks: list[asyncio.Task[None]] = []
    crowd: list[asyncio.subprocess.Process] = []
    try:
        for number in range(2 * STANDING):
            client = SteadyClient(node.port, f"{number + 1:x}")
            if (await client.open() or "").startswith("UP"):
                clients.append(client)
                tasks.append(asyncio.create_task(client.hold(LINE_S)))
            if len(clients) == STANDING:
                break
            await asyncio.sleep(0.05)
        if len(clients) < STANDING:
            raise CannotRunError(f"only {len(clients)} connections came up")
        for _ in range(CROWD_PROCESSES):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                CROWD_PROGRAM,
                str(node.port),
                str(CROWD // CROWD_PROCESSES),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            crowd.append(process)
            assert process.stdout is not None
            await process.stdout.readline()
        await asyncio.sleep(1)
        record.note(f"{len(clients)} connections stand; SIGTERM")
        signalled = time.monotonic()
        node.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        if TROUBLE:
            record.note(f"{CROWD} clients connect, write a part of a line, and stay")
            for process in crowd:
                assert process.stdin is not None
                process.stdin.write(b"\n")
            spans = []
            for process in crowd:
                assert process.stdout is not None
                spans.append(float(await process.stdout.readline()))
            record.note(
                f"the crowd had connected {time.monotonic() - signalled:.3f} s after SIGTERM: {spans}"
            )
        assert node.process is not None
        try:
            async with asyncio.timeout(signalled + KILL_AFTER_S - time.monotonic()):
                await node.process.wait()
            record.note(f"the node ended {time.monotonic() - signalled:.3f} s after SIGTERM")
        except TimeoutError:
            record.note(f"SIGKILL {time.monotonic() - signalled:.3f} s after SIGTERM")
            await node.kill()
        await asyncio.wait(tasks, timeout=3)
        cut = [client for client in clients if not client.was_moved]
        waits = sorted(client.longest_wait() for client in clients)
        held = [wait for wait in waits if wait > HELD_BACK_S]
        for client in clients:
            record.note(
                f"client {client.id}: {len(client.lines)} lines, moved={client.was_moved}, end={client.end} "
                f"{client.ended_at - signalled:.3f} s after SIGTERM, waited {client.longest_wait():.3f} s"
            )
        record.note(
            f"{len(cut)} of {len(clients)} cut off without MOVE by a node that its map servers answer"
        )
        record.note(
            f"{len(held)} of {len(clients)} had a line held over {HELD_BACK_S} s, at most {waits[-1]:.2f} s"
        )
        record.note("the node's log: " + node.log()[-1500:])
        return BROKEN if cut or held else HELD
    finally:
        for process in crowd:
            if process.returncode is None:
                process.kill()
        for process in crowd:
            await process.wait()
        await node.kill()
        discovery.close()
        for server in servers:
            server.close()


main(__file__, play)
