"""Endpoints that are warming up get no more than their budget."""

from __future__ import annotations

from stepflow.budgets import slow_start
from stepflow.interface import AttemptResult, Limits, StartAttempt, StartHealthCheck, TimerFired
from stepflow.policy.context import FIRST_REQUEST_TOKEN
from tests.policy.driver import REPORTING, SECOND, START, Driver, entry, only, placed, plain_settings


def test_a_warming_endpoint_gets_no_more_than_its_budget() -> None:
    warm = [entry(i) for i in range(1, 10)]
    drive = Driver(plain_settings(), [*warm, entry(99, started=START)])
    sent = 0
    server = drive.policy.model.endpoints[99]
    server.slow_start_budget = 0.0
    for step in range(80):  # 8 s of 20 requests a second, each soon over
        for id in range(step * 10, step * 10 + 10):
            [send] = only(StartAttempt, drive.request(id))
            sent += send.endpoint == 99
            drive.up(send)
            drive.end(send, AttemptResult.OK, complete=True)
        drive.tick()
        if step == 0:
            assert sent == 0
    # 40 s at 2 requests a second and warm server, times multiple and safety and the share that is warm.
    assert 0 < sent <= 80 / 9 * 10 * slow_start.SAFETY_SHARE * 2.5


def test_retries_spend_the_budget_as_well() -> None:
    drive = Driver(plain_settings(limits=Limits(max_attempts=9)), [entry(9, started=START)])
    drive.policy.model.endpoints[9].slow_start_budget = 1.0
    [send] = only(StartAttempt, drive.request(1))
    assert not only(StartAttempt, drive.end(send, AttemptResult.FULL))


def test_a_held_request_is_sent_once_the_only_endpoint_is_warm() -> None:
    drive = Driver(plain_settings(), [entry(9, started=START)])
    drive.policy.model.endpoints[9].slow_start_budget = 0.0
    assert not only(StartAttempt, drive.request(1, wait_us=30 * SECOND))
    drive.now += 10 * SECOND
    assert len(only(StartAttempt, drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))) == 1


def test_a_warm_endpoint_is_not_limited_by_a_budget() -> None:
    drive = Driver(plain_settings(), [entry(9, started=START - 20 * SECOND)])
    for id in range(50):
        assert placed(drive, id) == 9


def test_a_warming_endpoint_with_a_budget_is_a_candidate() -> None:
    # With many proxies of few requests each, budgets were there but the draw hardly ever met them.
    warm = [entry(i) for i in range(100)]
    drive = Driver(plain_settings(balancers=200, **REPORTING), [*warm, entry(999, started=START)])
    drive.tick()
    drive.policy.model.endpoints[999].slow_start_budget = 1.0
    assert 999 in [probe.endpoint for probe in only(StartHealthCheck, drive.request(1))]
