"""No request takes effect twice."""

from __future__ import annotations

import pytest

from stepflow.interface import (
    AttemptResult,
    DeduplicationScope,
    FailRequest,
    Idempotency,
    Limits,
    RejectRequest,
    RequestClass,
    StartAttempt,
    TimerFired,
)
from stepflow.policy.context import FIRST_REQUEST_TOKEN
from tests.policy.driver import SECOND, Driver, entry, final_answers, of_type, plain_settings


def class_driver(idempotency: Idempotency, scope: DeduplicationScope = DeduplicationScope.ALL) -> Driver:
    cls = RequestClass(idempotency=idempotency, deduplication_scope=scope, deduplication_window_us=SECOND)
    endpoints = [entry(i, zone=i % 2, cell=i % 2) for i in range(1, 9)]
    return Driver(plain_settings(classes=(cls,), limits=Limits(max_attempts=4)), endpoints)


@pytest.mark.parametrize(
    "result", [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]
)
def test_a_request_that_may_have_run_is_not_retried(result: AttemptResult) -> None:
    driver = class_driver(Idempotency.NOT_IDEMPOTENT)
    [send] = of_type(StartAttempt, driver.request(1))
    actions = driver.end(send, result)
    assert not of_type(StartAttempt, actions)
    while not final_answers(driver.actions):
        actions = driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1))
    assert final_answers(driver.actions) == [FailRequest(1)]


@pytest.mark.parametrize("result", [AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT])
def test_a_request_that_never_ran_is_retried_elsewhere(result: AttemptResult) -> None:
    driver = class_driver(Idempotency.NOT_IDEMPOTENT)
    [send] = of_type(StartAttempt, driver.request(1))
    [again] = of_type(StartAttempt, driver.end(send, result))
    assert again.endpoint != send.endpoint


def test_a_request_with_an_active_attempt_at_its_deadline_is_failed_not_rejected() -> None:
    driver = class_driver(Idempotency.NOT_IDEMPOTENT)
    driver.request(1)
    driver.now += 2 * SECOND
    assert final_answers(driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1))) == [FailRequest(1)]


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_retries_by_key_stay_in_the_deduplication_scope(scope: DeduplicationScope) -> None:
    for id in range(20):
        driver = class_driver(Idempotency.BY_KEY, scope)
        [send] = of_type(StartAttempt, driver.request(id))
        [again] = of_type(StartAttempt, driver.end(send, AttemptResult.RESET))
        assert isinstance(again.endpoint, int) and isinstance(send.endpoint, int)
        assert again.endpoint % 2 == send.endpoint % 2
        driver.end(again, AttemptResult.RESET, attempt=1)
        driver.now += 2 * SECOND
        driver.feed(TimerFired(FIRST_REQUEST_TOKEN + id))
        assert RejectRequest(id) not in driver.actions


def test_a_request_is_not_retried_by_key_after_the_deduplication_window() -> None:
    driver = class_driver(Idempotency.BY_KEY)
    [send] = of_type(StartAttempt, driver.request(1))
    driver.now += SECOND - 1
    [again] = of_type(StartAttempt, driver.end(send, AttemptResult.RESET))
    driver.now += 1
    assert not of_type(StartAttempt, driver.end(again, AttemptResult.RESET, attempt=1))
    assert final_answers(driver.actions) == [RejectRequest(1)]


def test_attempts_never_overlap_and_keep_to_the_limit() -> None:
    driver = Driver(plain_settings(limits=Limits(max_attempts=2)), [entry(i) for i in range(5)])
    [send] = of_type(StartAttempt, driver.request(1))
    assert not of_type(StartAttempt, driver.tick())
    [again] = of_type(StartAttempt, driver.end(send, AttemptResult.FULL))
    assert not of_type(StartAttempt, driver.end(again, AttemptResult.FULL, attempt=1))
    assert len(final_answers(driver.actions)) == 1
