"""The times between calls to an agent that pushes lists, in microseconds. No I/O.

Whatever the agent has counts as told (STANDING, "Hundreds of nodes"), whether or not a watch is open, and
nothing may be sent to a draining endpoint later than the settings' `drain_grace_us` after that. So while no
call is known to be alive, the node calls again and again: what the grace period leaves beside the time for
which a node may be held up is divided between the wait for a call and the call itself.
"""

from __future__ import annotations

from stepflow.interface import SafetyRules
from stepflow.upstream.poll_schedule import HEARTBEAT_US, MIN_CALL_INTERVAL_US

AGENT_HEARTBEAT_SLACK_US = 250_000  # an agent is on the node's own machine
SILENCE_LIMIT_US = HEARTBEAT_US + AGENT_HEARTBEAT_SLACK_US  # a watch silent for longer may be broken
HOLD_UP_US = 150_000  # between a decision and the write that follows from it
# Starts of endpoints have no grace period; the node hears of them this soon, however long that of drains is.
MAX_CALL_INTERVAL_US = 250_000


def call_interval_us(rules: SafetyRules) -> int:
    """Return the time between two calls while none is known to be alive."""
    interval_us = (rules.drain_grace_us - HOLD_UP_US) // 2
    return min(max(interval_us, MIN_CALL_INTERVAL_US), MAX_CALL_INTERVAL_US)
