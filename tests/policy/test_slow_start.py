"""Endpoints that are warming up get no more than their budget."""

from __future__ import annotations

from stepflow.budgets import slow_start
from stepflow.interface import AttemptResult, Limits, StartAttempt, StartHealthCheck, TimerFired
from stepflow.policy.context import FIRST_REQUEST_TOKEN
from tests.policy.driver import (
    REPORTING,
    SECOND,
    START,
    Driver,
    entry,
    of_type,
    placed_endpoint,
    plain_settings,
)


def test_a_warming_endpoint_gets_no_more_than_its_budget() -> None:
    warm = [entry(i) for i in range(1, 10)]
    driver = Driver(plain_settings(), [*warm, entry(99, started_us=START)])
    sent = 0
    endpoint = driver.policy.model.endpoints[99]
    endpoint.slow_start_budget = 0.0
    for step in range(80):  # 40 s of 20 requests a second; each session ends at once
        for id in range(step * 10, step * 10 + 10):
            [send] = of_type(StartAttempt, driver.request(id))
            sent += send.endpoint == 99
            driver.establish(send)
            driver.end(send, AttemptResult.OK, is_final=True)
        driver.tick()
        if step == 0:
            assert sent == 0
    # 40 s at 2 requests a second for each warm endpoint, times `overload_multiple` and SAFETY_SHARE.
    assert 0 < sent <= 80 / 9 * 10 * slow_start.SAFETY_SHARE * 2.5


def test_retries_spend_the_budget_as_well() -> None:
    driver = Driver(plain_settings(limits=Limits(max_attempts=9)), [entry(9, started_us=START)])
    driver.policy.model.endpoints[9].slow_start_budget = 1.0
    [send] = of_type(StartAttempt, driver.request(1))
    assert not of_type(StartAttempt, driver.end(send, AttemptResult.FULL))


def test_a_held_request_is_sent_once_the_only_endpoint_is_warm() -> None:
    driver = Driver(plain_settings(), [entry(9, started_us=START)])
    driver.policy.model.endpoints[9].slow_start_budget = 0.0
    assert not of_type(StartAttempt, driver.request(1, wait_us=30 * SECOND))
    driver.now += 10 * SECOND
    assert len(of_type(StartAttempt, driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))) == 1


def test_a_warm_endpoint_is_not_limited_by_a_budget() -> None:
    driver = Driver(plain_settings(), [entry(9, started_us=START - 20 * SECOND)])
    for id in range(50):
        assert placed_endpoint(driver, id) == 9


def test_a_warming_endpoint_with_a_budget_is_a_candidate() -> None:
    # With few requests at each of many instances, the draw hardly ever hits an endpoint with a budget.
    warm = [entry(i) for i in range(100)]
    driver = Driver(plain_settings(balancers=200, **REPORTING), [*warm, entry(999, started_us=START)])
    driver.tick()
    driver.policy.model.endpoints[999].slow_start_budget = 1.0
    assert 999 in [check.endpoint for check in of_type(StartHealthCheck, driver.request(1))]
