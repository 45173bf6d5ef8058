"""The times between calls to an agent that pushes lists."""

from __future__ import annotations

import pytest

from stepflow.interface import SafetyRules
from stepflow.upstream.agent_schedule import HOLD_UP_US, MAX_CALL_INTERVAL_US, call_interval_us


@pytest.mark.parametrize("grace_us", [250_000, 400_000, 500_000, 900_000, 1_000_000, 4_000_000, 1 << 40])
def test_a_call_of_the_length_of_an_interval_ends_within_the_grace_period(grace_us: int) -> None:
    interval_us = call_interval_us(SafetyRules(drain_grace_us=grace_us))
    assert 2 * interval_us + HOLD_UP_US <= grace_us
    assert interval_us <= MAX_CALL_INTERVAL_US


@pytest.mark.parametrize("grace_us", [0, 1, 100_000])
def test_calls_are_not_made_without_a_pause(grace_us: int) -> None:
    assert call_interval_us(SafetyRules(drain_grace_us=grace_us)) == 50_000
