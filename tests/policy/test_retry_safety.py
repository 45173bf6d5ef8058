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
from tests.policy.driver import SECOND, Driver, entry, final, only, plain_settings


def effect_driver(effect: Idempotency, scope: DeduplicationScope = DeduplicationScope.ALL) -> Driver:
    cls = RequestClass(idempotency=effect, deduplication_scope=scope, deduplication_window_us=SECOND)
    servers = [entry(i, zone=i % 2, cell=i % 2) for i in range(1, 9)]
    return Driver(plain_settings(classes=(cls,), limits=Limits(max_attempts=4)), servers)


@pytest.mark.parametrize(
    "result", [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]
)
def test_a_request_that_may_have_run_is_not_retried(result: AttemptResult) -> None:
    drive = effect_driver(Idempotency.NOT_IDEMPOTENT)
    [send] = only(StartAttempt, drive.request(1))
    actions = drive.end(send, result)
    assert not only(StartAttempt, actions)
    while not final(drive.done):
        actions = drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1))
    assert final(drive.done) == [FailRequest(1)]


@pytest.mark.parametrize("result", [AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT])
def test_a_request_that_never_ran_is_retried_elsewhere(result: AttemptResult) -> None:
    drive = effect_driver(Idempotency.NOT_IDEMPOTENT)
    [send] = only(StartAttempt, drive.request(1))
    [again] = only(StartAttempt, drive.end(send, result))
    assert again.endpoint != send.endpoint


def test_a_request_with_an_active_attempt_at_its_deadline_is_failed_not_rejected() -> None:
    drive = effect_driver(Idempotency.NOT_IDEMPOTENT)
    drive.request(1)
    drive.now += 2 * SECOND
    assert final(drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1))) == [FailRequest(1)]


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_retries_by_key_stay_in_the_deduplication_scope(scope: DeduplicationScope) -> None:
    for id in range(20):
        drive = effect_driver(Idempotency.BY_KEY, scope)
        [send] = only(StartAttempt, drive.request(id))
        [again] = only(StartAttempt, drive.end(send, AttemptResult.RESET))
        assert isinstance(again.endpoint, int) and isinstance(send.endpoint, int)
        assert again.endpoint % 2 == send.endpoint % 2
        drive.end(again, AttemptResult.RESET, attempt=1)
        drive.now += 2 * SECOND
        drive.feed(TimerFired(FIRST_REQUEST_TOKEN + id))
        assert RejectRequest(id) not in drive.done


def test_a_request_is_not_retried_by_key_after_the_deduplication_window() -> None:
    drive = effect_driver(Idempotency.BY_KEY)
    [send] = only(StartAttempt, drive.request(1))
    drive.now += SECOND - 1
    [again] = only(StartAttempt, drive.end(send, AttemptResult.RESET))
    drive.now += 1
    assert not only(StartAttempt, drive.end(again, AttemptResult.RESET, attempt=1))
    assert final(drive.done) == [RejectRequest(1)]


def test_attempts_never_overlap_and_keep_to_the_limit() -> None:
    drive = Driver(plain_settings(limits=Limits(max_attempts=2)), [entry(i) for i in range(5)])
    [send] = only(StartAttempt, drive.request(1))
    assert not only(StartAttempt, drive.tick())
    [again] = only(StartAttempt, drive.end(send, AttemptResult.FULL))
    assert not only(StartAttempt, drive.end(again, AttemptResult.FULL, attempt=1))
    assert len(final(drive.done)) == 1
