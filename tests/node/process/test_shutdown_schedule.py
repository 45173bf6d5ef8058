"""The schedule of the graceful shutdown."""

from __future__ import annotations

from datetime import timedelta

import pytest

from stepflow.node.process.shutdown_schedule import MIGRATION_START_SHARE, migration_delays, shutdown_schedule


@pytest.mark.parametrize("milliseconds", [1, 100, 250, 450, 600, 1000, 4800, 60_000])
def test_shutdown_keeps_sessions_for_half_of_its_time_and_ends_before_sigkill(milliseconds: int) -> None:
    """Regression: clients migrated at once found no node, as the node that restarted before was not back yet.

    With no deadline over 250 ms, the shutdown lasted beyond the SIGKILL.
    """
    longest = timedelta(milliseconds=milliseconds)
    until_kill = min(longest, timedelta(seconds=3)) + timedelta(milliseconds=700)
    schedule = shutdown_schedule(longest)
    assert timedelta(milliseconds=400) < schedule.listener_end <= schedule.sessions_end < schedule.exit
    assert schedule.exit <= until_kill - timedelta(milliseconds=150)
    assert schedule.exit - schedule.sessions_end >= timedelta(milliseconds=100)
    delays = migration_delays(schedule.sessions_end - schedule.listener_end, 50, MIGRATION_START_SHARE)
    assert (
        len(delays) == 50
        and delays == sorted(delays)
        and schedule.listener_end + delays[-1] == schedule.sessions_end
    )
    assert delays[0] >= (min(longest, timedelta(seconds=3)) - schedule.listener_end) / 2
