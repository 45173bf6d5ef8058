"""The schedule of the graceful shutdown."""

from __future__ import annotations

from datetime import timedelta

import pytest

from stepflow.node.process.shutdown_schedule import MIGRATION_START_SHARE, migration_delays, shutdown_schedule


@pytest.mark.parametrize("milliseconds", [1, 100, 250, 450, 600, 1000, 4800, 60_000])
def test_a_leave_keeps_sessions_for_half_of_its_time_and_ends_before_it_is_killed(milliseconds: int) -> None:
    """Moved at once, clients found no node: the one that restarted before was not yet back.

    Where no deadline was over 250 ms, the farewell went on past the kill.
    """
    longest = timedelta(milliseconds=milliseconds)
    until_kill = min(longest, timedelta(seconds=3)) + timedelta(milliseconds=700)
    plan = shutdown_schedule(longest)
    assert timedelta(milliseconds=400) < plan.listener_end <= plan.sessions_end < plan.exit
    assert plan.exit <= until_kill - timedelta(milliseconds=150)
    assert plan.exit - plan.sessions_end >= timedelta(milliseconds=100)
    waits = migration_delays(plan.sessions_end - plan.listener_end, 50, MIGRATION_START_SHARE)
    assert len(waits) == 50 and waits == sorted(waits) and plan.listener_end + waits[-1] == plan.sessions_end
    assert waits[0] >= (min(longest, timedelta(seconds=3)) - plan.listener_end) / 2
