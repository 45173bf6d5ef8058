"""Steps of the machine's wall clock, under real processes: every span is one of real time.

The machine is a library under the process (standins/preload.py); its monotonic clock runs on.
"""

from __future__ import annotations

import time

import pytest

from standins.preload import Machine
from tests.node.machine_kit import on
from tests.node_kit import PATIENCE, Node, Peer, opening

HOUR = 3600.0
WATCHED = 1.2  # seconds in which a step is detected
SLACK = 0.5  # seconds after its time in which an answer still counts


def test_a_request_is_answered_in_its_time_after_the_wall_clock_went_back(machine: Machine) -> None:
    """Its attempt hangs: only a timer can end it, and none came until the clock had caught up."""
    with on(machine, Node(Peer("s-1", OPEN=None))) as node:
        machine.step_wall_clock(-HOUR)
        time.sleep(WATCHED)  # what was armed before the step is overdue by now
        client = node.client(opening(d=1000))
        client.sock.settimeout(1.0 + SLACK)
        began = time.monotonic()
        assert client.read() in ("BUSY", "ERR")
        assert time.monotonic() - began < 1.0 + SLACK
        node.wait_counted("clock_steps", 1)
        assert 'event="the wall clock was stepped"' in node.seen
        node.wait_counted("overdue", 0)


@pytest.mark.parametrize("seconds", [-HOUR, -2.0, 2.0, HOUR])
def test_a_graceful_shutdown_keeps_its_schedule_across_wall_clock_steps(
    machine: Machine, seconds: float
) -> None:
    with on(machine, Node(peer := Peer("s-1"))) as node:
        client = node.client(opening())
        assert client.read() == "UP r1"
        peer.standing.get(timeout=PATIENCE)
        node.terminate()
        node.wait_log("event=leaves")
        began = time.monotonic()
        machine.step_wall_clock(seconds)
        assert client.read() == "MOVE"
        assert node.process.wait(PATIENCE) == 0
        assert 0.4 < time.monotonic() - began < 1.2 + 0.7
