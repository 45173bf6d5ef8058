"""SIGTERM, while map servers write their lines in pieces that end amid a line."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

CLIENTS = 20
LOAD_EVERY_S = 0.2  # a connection's load changes this often
LINE_EVERY_S = 2.0  # clients send a line every 2 s
KILL_AFTER_S = 3.7  # the longest deadline, taken as 3 s where it is longer, and 0.7 s more
VIEW = {**kit.VIEW, "give_up_us": 4800000}


def streaming(in_pieces: bool) -> kit.Behavior:
    """Return the behavior of a sound server that echoes each line at once and tells a changed load."""

    async def serve(server: kit.Server, stream: kit.LineStream, line: str) -> None:
        rng, client = random.Random(line), line.split(" ")[1]
        half = ""  # the part of the next LOAD line that is written already

        def write(*lines: str) -> None:
            nonlocal half
            load = f"LOAD {rng.uniform(1000, 30000):.1f}"
            text = "".join(f"{item}\r\n" for item in (load, *lines))[len(half) :]
            half = "LOAD "[: rng.randint(1, 5)] if in_pieces else ""
            stream.writer.write((text + half).encode())

        async def tell_load() -> None:
            while True:
                write()
                await asyncio.sleep(LOAD_EVERY_S)

        stream.send(f"UP r-{server.uid}")
        teller = asyncio.create_task(tell_load())
        try:
            while (text := await stream.read()) not in ("", "RESET"):
                write(text)
            server.record.write(f"server {server.uid}: the node has ended {client}: {text or 'FIN'}")
        finally:
            teller.cancel()

    return serve


async def client(node: kit.Node, record: kit.Record, rng: random.Random) -> str:
    """One client: it sends a line every 2 s and returns how its connection ended."""
    stream, name = await node.connect(), kit.new_id(rng)
    stream.send(f"OPEN {name} {kit.new_id(rng)} c=view,d=4800")
    answer = await asyncio.wait_for(stream.read(), 6.0)
    record.write(f"client {name}: answered {answer!r}")
    if not answer.startswith("UP "):
        return "no session"

    async def send_lines() -> None:
        await asyncio.sleep(rng.uniform(0.0, LINE_EVERY_S))
        for number in range(100):
            with suppress(ConnectionError):
                stream.send(f"M {number}")
            await asyncio.sleep(LINE_EVERY_S)

    sender = asyncio.create_task(send_lines())
    last_echo, moved, end, data = time.monotonic(), False, "FIN", b""
    try:
        while data := await stream.reader.readline():
            if not data.endswith(b"\r\n"):
                break
            moved = moved or data == b"MOVE\r\n"
            if data.startswith(b"M "):
                last_echo = time.monotonic()
    except ConnectionError:
        end = "reset"
    sender.cancel()
    stream.close()
    age = time.monotonic() - last_echo
    how = "moved" if moved else "cut off without MOVE"
    record.write(f"client {name}: {how}, {end} behind {data!r}, {age:.1f} s after the last echo")
    return how


async def play(record: kit.Record, work: Path, trouble: bool) -> int:
    """Play the case."""
    rng = random.Random(11)
    servers = [kit.Server(f"s-{n}", record, streaming(trouble)) for n in (1, 2, 3)]
    discovery = kit.Discovery(servers)
    for part in (*servers, discovery):
        await part.start()
    config = {"discovery": discovery.address, "known": discovery.full()}
    node = kit.Node(record, work, {**config, "settings": kit.settings(classes=[VIEW])})
    process = await node.start()
    try:
        clients = []
        for _ in range(CLIENTS):
            clients.append(asyncio.create_task(client(node, record, random.Random(rng.random()))))
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        ended_early = sum(task.done() for task in clients)
        node.signal(signal.SIGTERM)
        record.write(f"platform: SIGTERM sent, connections ended before: {ended_early}")
        try:
            await asyncio.wait_for(process.wait(), KILL_AFTER_S)
            record.write(f"platform: the node has exited with {process.returncode}")
        except TimeoutError:
            record.write("platform: SIGKILL sent")
        await node.stop()
        ends = await asyncio.gather(*clients)
    finally:
        await node.stop()
    record.write(", ".join(f"{how}: {ends.count(how)}" for how in sorted(set(ends))))
    if ended_early or ends.count("no session"):
        return kit.NOT_RUN
    return kit.BROKEN if "cut off without MOVE" in ends else kit.HELD


kit.main(play, FOLDER, 100.0)
