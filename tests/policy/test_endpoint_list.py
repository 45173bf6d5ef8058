"""Updates of the endpoint list, draining endpoints, and polls."""

from __future__ import annotations

import pytest

from stepflow.interface import (
    Availability,
    ListUpdateKind,
    SetTimer,
    StartAttempt,
    TimerFired,
    WatchEndpointList,
)
from stepflow.policy import attempts
from stepflow.policy.context import FIRST_REQUEST_TOKEN, POLL_TOKEN
from tests.policy.driver import SECOND, Driver, entry, only, placed, plain_settings


@pytest.mark.parametrize("state", [Availability.DRAINING, Availability.GONE])
def test_a_draining_or_gone_endpoint_gets_no_new_requests(state: Availability) -> None:
    drive = Driver(plain_settings(), [entry(1), entry(2)])
    drive.news(entry(1, state=state))
    for id in range(50):
        assert placed(drive, id) == 2


def test_an_endpoint_missing_from_a_full_list_is_gone() -> None:
    drive = Driver(plain_settings(), [entry(1), entry(2)])
    drive.news(entry(2), form=ListUpdateKind.FULL)
    for id in range(50):
        assert placed(drive, id) == 2


def test_a_held_request_is_sent_to_an_endpoint_that_is_added() -> None:
    drive = Driver(plain_settings())
    assert not only(StartAttempt, drive.request(1))
    drive.news(entry(3))
    drive.now += attempts.RETRY_DELAY_US[1]
    assert [s.endpoint for s in only(StartAttempt, drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))] == [3]


def test_failed_polls_are_repeated_with_backoff() -> None:
    drive = Driver(plain_settings(polls_endpoint_list=True), [entry(1)])
    assert POLL_TOKEN in [t.token for t in only(SetTimer, drive.done)]
    assert drive.feed(TimerFired(POLL_TOKEN)) == [WatchEndpointList(True)]
    waits = []
    for _ in range(12):
        [timer] = only(SetTimer, drive.news(form=ListUpdateKind.FAILED))
        waits.append(timer.delay_us)
    assert waits[0] < SECOND < waits[-1] < drive.policy.settings.rules.list_refresh_us
    drive.news()
    [timer] = only(SetTimer, drive.news(form=ListUpdateKind.FAILED))
    assert timer.delay_us < SECOND
