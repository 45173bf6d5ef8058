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
from tests.policy.driver import SECOND, Driver, entry, of_type, placed_endpoint, plain_settings


@pytest.mark.parametrize("state", [Availability.DRAINING, Availability.GONE])
def test_a_draining_or_gone_endpoint_gets_no_new_requests(state: Availability) -> None:
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    driver.update_list(entry(1, availability=state))
    for id in range(50):
        assert placed_endpoint(driver, id) == 2


def test_an_endpoint_missing_from_a_full_list_is_gone() -> None:
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    driver.update_list(entry(2), kind=ListUpdateKind.FULL)
    for id in range(50):
        assert placed_endpoint(driver, id) == 2


def test_a_held_request_is_sent_to_an_endpoint_that_is_added() -> None:
    driver = Driver(plain_settings())
    assert not of_type(StartAttempt, driver.request(1))
    driver.update_list(entry(3))
    driver.now += attempts.RETRY_DELAY_US[1]
    sends = of_type(StartAttempt, driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))
    assert [send.endpoint for send in sends] == [3]


def test_failed_polls_are_repeated_with_backoff() -> None:
    driver = Driver(plain_settings(polls_endpoint_list=True), [entry(1)])
    assert POLL_TOKEN in [t.token for t in of_type(SetTimer, driver.actions)]
    assert driver.feed(TimerFired(POLL_TOKEN)) == [WatchEndpointList(True)]
    delays = []
    for _ in range(12):
        [timer] = of_type(SetTimer, driver.update_list(kind=ListUpdateKind.FAILED))
        delays.append(timer.delay_us)
    assert delays[0] < SECOND < delays[-1] < driver.policy.settings.rules.list_refresh_us
    driver.update_list()
    [timer] = of_type(SetTimer, driver.update_list(kind=ListUpdateKind.FAILED))
    assert timer.delay_us < SECOND
