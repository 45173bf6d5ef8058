"""Outages of discovery, where lists are pushed and where they are asked for: a real node."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable
from copy import deepcopy
from itertools import count
from pathlib import Path
from typing import Any

import pytest

from standins.agent import Agent, Outage
from standins.fleet import HOST, MapServer
from standins.node import running_node
from tests.node_kit import SETTINGS, TIMEOUT_S

GRACE_S = 0.5
ASK_WITHIN_S = 1.0
SLACK_S = 0.05  # "every time limit is 50 ms longer"
OUTAGE_S = 4.0  # at least; the return then waits for the moment in which the news is heard last
LONGEST_OUTAGE_S = 7.0
REQUEST_INTERVAL_S = 0.04
REQUEST_NUMBERS = count(1)


class RecordingServer(MapServer):
    """A map server that keeps the time of each OPEN line."""

    def __init__(self, uid: str) -> None:
        super().__init__(uid)
        self.opened_at: list[float] = []

    def answer(self, line: bytes, writer: asyncio.StreamWriter) -> bytes:
        if line.startswith(b"OPEN"):
            self.opened_at.append(time.monotonic())
        return super().answer(line, writer)


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    until = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < until:
        await asyncio.sleep(0.001)


async def wait_for_worst_moment(agent: Agent) -> None:
    """Wait until the last open call that the agent would answer ends, or a call begins that it won't."""
    calls, now = agent.calls, time.monotonic()
    if agent.outage == Outage.HELD:
        await wait_until(
            lambda: agent.open_calls == 0 and agent.last_call_ended_at > now, LONGEST_OUTAGE_S - OUTAGE_S
        )
    else:
        await wait_until(lambda: agent.calls > calls, LONGEST_OUTAGE_S - OUTAGE_S)


async def send_requests(port: int) -> None:
    while True:
        reader, writer = await asyncio.open_connection(HOST, port)
        number = next(REQUEST_NUMBERS)
        writer.write(b"OPEN %016x %x c=view,d=1200\r\n" % (number, number))
        assert await reader.readline()
        writer.close()
        await asyncio.sleep(REQUEST_INTERVAL_S)


def write_configuration(path: Path, agent: Agent, discovery: str) -> None:
    settings: dict[str, Any] = deepcopy(SETTINGS)
    settings["discovery"] = discovery
    settings["safety"] = {"drain_grace_us": round(GRACE_S * 1e6), "ask_within_us": round(ASK_WITHIN_S * 1e6)}
    config = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": agent.address,
        "seed": "5",
        "limits": {"sockets": 1024},
        "known": agent.known(),
        "settings": settings,
    }
    path.write_text(json.dumps(config))


async def play_outage(folder: Path, outage: Outage, discovery: str) -> list[float]:
    """Return how long after the return each OPEN line came to the endpoint that drains.

    `discovery`: how the list reaches the node, as the settings name it.
    """
    drained, other = RecordingServer("s-1"), RecordingServer("s-2")
    servers = [drained, other]
    listeners = [await asyncio.start_server(server.serve, HOST, 0) for server in servers]
    for server, listener in zip(servers, listeners, strict=True):
        server.port = listener.sockets[0].getsockname()[1]
    agent = Agent(servers)
    await agent.begin()
    agent.begin_outage(outage)
    write_configuration(folder / "config.json", agent, discovery)
    env = {"TMPDIR": str(folder), "STEPFLOW_CONF": os.devnull}
    try:
        async with running_node(folder / "config.json", env) as port:
            traffic = asyncio.create_task(send_requests(port))
            await asyncio.sleep(OUTAGE_S)
            await wait_for_worst_moment(agent)
            agent.end_outage(drained, "Terminating")
            await asyncio.sleep(2.5)
            assert not traffic.done()
            traffic.cancel()
        assert 0 < agent.heard_at - agent.told_at < TIMEOUT_S
        assert any(at < agent.told_at for at in drained.opened_at)
        return [at - agent.told_at for at in drained.opened_at if at > agent.told_at]
    finally:
        agent.close()
        for listener in listeners:
            listener.close()


@pytest.mark.parametrize("outage", list(Outage))
def test_drain_that_the_agent_has_at_its_return_binds_within_the_grace_period(
    tmp_path: Path, outage: Outage
) -> None:
    """Guards against a node that pauses between calls to a silent agent, and hears of a drain too late."""
    after = asyncio.run(play_outage(tmp_path, outage, "pushed"))
    assert [span for span in after if span > GRACE_S + SLACK_S] == []


@pytest.mark.parametrize("outage", list(Outage))
def test_drain_that_discovery_has_at_its_return_binds_within_the_time_for_asking(
    tmp_path: Path, outage: Outage
) -> None:
    """Guards against a node that waits for a call without an answer longer than the settings allow."""
    after = asyncio.run(play_outage(tmp_path, outage, "on_request"))
    assert [span for span in after if span > ASK_WITHIN_S + GRACE_S + SLACK_S] == []
