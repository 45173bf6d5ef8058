"""Start times of endpoints on a process's own clock."""

from __future__ import annotations

import pytest

from stepflow.interface import Availability, Endpoint
from stepflow.upstream.start_times import USUAL_DELAY_US, StartTimes

BOOT_US = 1_800_000_000_000_000  # microseconds of Unix time
SECOND = 1_000_000


def started(uid: str, boot_us: int) -> Endpoint:
    return Endpoint(uid, 0, 0, 0, Availability.READY, 1.0, boot_us)


@pytest.mark.parametrize("ahead_s", [-3600, -3, 0, 3, 3600])
def test_the_age_of_an_endpoint_survives_steps_of_the_wall_clock(ahead_s: int) -> None:
    """A step of the wall clock must not make a process take cold endpoints for warm ones, or the reverse."""
    times, ahead = StartTimes(), ahead_s * SECOND
    times.localize(BOOT_US + ahead, True, (started("s-0", 0),))
    for number, lag in enumerate((2 * SECOND, SECOND, 3 * SECOND)):
        boot = BOOT_US + 60 * SECOND * (number + 1)
        now = boot + lag + ahead
        [entry] = times.localize(now, False, (started(f"s-{number + 1}", boot),))
        age = now - entry.started_us
        # A clock that is seconds ahead looks like a slow message, except for what exceeds the usual delay.
        assert 0 <= age <= lag + min(USUAL_DELAY_US, max(0, ahead_s * SECOND))
        if ahead_s == 0:
            assert age == lag
        [again] = times.localize(now + 9 * SECOND, False, (started(f"s-{number + 1}", boot),))
        assert again == entry  # the same start in another message


def test_implausible_start_times_in_a_first_list_are_replaced_by_the_time_now() -> None:
    recent, future, ancient = BOOT_US - 3 * SECOND, BOOT_US + 3600 * SECOND, BOOT_US - 3600 * SECOND
    entries = (started("a", recent), started("b", future), started("c", ancient), started("d", 0))
    found = StartTimes().localize(BOOT_US, True, entries)
    assert [entry.started_us for entry in found] == [recent, BOOT_US, BOOT_US, 0]


def test_a_restart_is_a_new_start_and_an_unlisted_endpoint_is_dropped() -> None:
    times = StartTimes()
    times.localize(BOOT_US, True, (started("a", 0), started("b", BOOT_US - SECOND)))
    [entry] = times.localize(BOOT_US + 9 * SECOND, False, (started("b", BOOT_US + 8 * SECOND),))
    assert entry.started_us == BOOT_US + 8 * SECOND
    times.localize(BOOT_US + 10 * SECOND, True, (started("a", 0),))
    assert times._known_starts == {}
