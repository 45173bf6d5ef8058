"""Starts a real node as a process, waits until it listens, and ends it."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path


async def start_node(
    config: Path, env: Mapping[str, str], root: Path | None = None
) -> tuple[asyncio.subprocess.Process, int]:
    """Start a node of a checkout (`root`, or this one) and wait until it listens.

    Returns its process and port; raises RuntimeError if it exits before it listens.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "stepflow",
        cwd=root,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(config), **env},
    )
    assert process.stderr is not None
    # This also matches event=listens, which older checkouts log.
    while b"event=listen" not in (line := await process.stderr.readline()):
        if not line:
            raise RuntimeError("the node exited before it listened")
    address = line.rsplit(b"address=", 1)[1].split()[0]
    return process, int(address.rsplit(b":", 1)[1])


@asynccontextmanager
async def running_node(config: Path, env: Mapping[str, str], root: Path | None = None) -> AsyncIterator[int]:
    """Start a node as `start_node` does, read and drop its log, and kill it at the end; yields its port."""
    process, port = await start_node(config, env, root)
    assert process.stderr is not None
    log = asyncio.create_task(process.stderr.read())
    try:
        yield port
    finally:
        process.kill()
        await process.wait()
        await log
