"""A toy discovery (port 8500) and two toy map servers (ports 7101 and 7102), on loopback."""

from __future__ import annotations

import asyncio
import json
from functools import partial

SERVERS = {"s-1": 7101, "s-2": 7102}


async def serve_map(uid: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept every session, answer health checks, and echo all other lines."""
    try:
        while line := await reader.readline():
            word = line.split(b" ")[0].strip()
            if word == b"OPEN":
                line = b"UP %s\r\n" % uid.encode()
            elif word == b"STATS":
                line = b"PONG x0=0.1,x1=0.0,util=0.1\r\n"
            elif word == b"PING":
                line = b"PONG\r\n"
            writer.write(line)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def serve_list(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a watch with the complete endpoint list, then send an empty line every 2 s."""
    targets = [
        {
            "uid": uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": "room",
            "model": "toy",
            "pod_group": 0,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for uid, port in SERVERS.items()
    ]
    try:
        while (await reader.readline()).strip():
            pass
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps({"rev": 1, "all": True, "targets": targets}).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(2)
            line = b"\n"
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve the toy map servers and the toy discovery until the process is stopped."""
    for uid, port in SERVERS.items():
        await asyncio.start_server(partial(serve_map, uid), "127.0.0.1", port)
    await asyncio.start_server(serve_list, "127.0.0.1", 8500)
    print("toy discovery and map servers are up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
