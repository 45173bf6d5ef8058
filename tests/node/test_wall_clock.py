"""Steps of the machine's wall clock while real processes run: timeouts do not depend on it.

A preloaded library (standins/preload.py) steps the wall clock of the process; the monotonic clock is
unaffected.
"""

from __future__ import annotations

import time

import pytest

from standins.preload import Machine
from tests.node.machine_kit import with_faults
from tests.node_kit import TIMEOUT_S, FakeEndpoint, Node, open_line

HOUR = 3600.0
STEP_DETECTION_S = 1.2  # time within which a step is detected
SLACK_S = 0.5  # time after the deadline in which an answer is still accepted


def test_a_request_is_answered_in_time_after_the_wall_clock_was_set_back(machine: Machine) -> None:
    """The attempt hangs, so only a timer can end it; no timer fired until the clock had caught up."""
    with with_faults(machine, Node(FakeEndpoint("s-1", OPEN=None))) as node:
        machine.step_wall_clock(-HOUR)
        time.sleep(STEP_DETECTION_S)  # timers set before the step are overdue by now
        client = node.client(open_line(wait_ms=1000))
        client.sock.settimeout(1.0 + SLACK_S)
        began = time.monotonic()
        assert client.read() in ("BUSY", "ERR")
        assert time.monotonic() - began < 1.0 + SLACK_S
        node.wait_for_counter("clock_steps", 1)
        assert 'event="wall clock stepped"' in node.log_text
        node.wait_for_counter("overdue", 0)


@pytest.mark.parametrize("seconds", [-HOUR, -2.0, 2.0, HOUR])
def test_a_graceful_shutdown_keeps_its_schedule_across_wall_clock_steps(
    machine: Machine, seconds: float
) -> None:
    with with_faults(machine, Node(endpoint := FakeEndpoint("s-1"))) as node:
        client = node.client(open_line())
        assert client.read() == "UP r1"
        endpoint.connections.get(timeout=TIMEOUT_S)
        node.terminate()
        node.wait_for_log('event="shutdown started"')
        began = time.monotonic()
        machine.step_wall_clock(seconds)
        assert client.read() == "MOVE"
        assert node.process.wait(TIMEOUT_S) == 0
        assert 0.4 < time.monotonic() - began < 1.2 + 0.7
