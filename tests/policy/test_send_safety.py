"""No request takes effect twice: checks when an attempt is started, and again before its line is sent."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stepflow.interface import (
    AttemptResult,
    ClientDisconnected,
    DeduplicationScope,
    Idempotency,
    Limits,
    RejectRequest,
    RequestClass,
    StartAttempt,
    TimerFired,
)
from tests.policy.driver import SECOND, Driver, entry, of_type, plain_settings

ONCE = RequestClass("pay", idempotency=Idempotency.NOT_IDEMPOTENT)
KEYED = RequestClass(
    "hold",
    idempotency=Idempotency.BY_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_us=300_000,
)


def make_driver(cls: RequestClass, endpoint_count: int = 3) -> Driver:
    settings = plain_settings(classes=(cls,), limits=Limits(max_attempts=6))
    return Driver(settings, [entry(id, cell=id) for id in range(endpoint_count)])


def test_a_rejected_retry_keeps_the_request_bound_to_the_first_endpoint() -> None:
    """The first endpoint rejects the retry; the request must still not go to another endpoint.

    The first attempt may have run.
    """
    driver = make_driver(KEYED)
    [first] = of_type(StartAttempt, driver.request(1))
    driver.end(first, AttemptResult.TIMEOUT)  # the attempt may still run; only its cell drops a repeat
    driver.now += 100_000
    again = of_type(StartAttempt, driver.feed(TimerFired(16 + 1)))
    assert [send.endpoint for send in again] == [first.endpoint]
    driver.end(again[0], AttemptResult.FULL, attempt=1)
    for _ in range(8):
        driver.now += 100_000
        driver.feed(TimerFired(16 + 1))
    sent = of_type(StartAttempt, driver.actions)
    assert {send.endpoint for send in sent} == {first.endpoint}
    assert not of_type(RejectRequest, driver.actions)


@pytest.mark.parametrize("cls", [ONCE, KEYED])
def test_a_request_that_may_have_run_is_not_safe_to_reject(cls: RequestClass) -> None:
    driver = make_driver(cls)
    assert driver.policy.is_safe_to_reject(1)  # the request was never sent
    [send] = of_type(StartAttempt, driver.request(1))
    assert not driver.policy.is_safe_to_reject(1)
    driver.end(send, AttemptResult.CONNECT_FAILED)
    driver.feed(ClientDisconnected(1))
    shared_keys_driver = make_driver(replace(KEYED, deduplication_scope=DeduplicationScope.ALL))
    shared_keys_driver.request(1)
    assert shared_keys_driver.policy.is_safe_to_reject(1)


def test_no_line_is_sent_to_an_endpoint_that_began_to_drain_during_the_connect() -> None:
    driver = make_driver(RequestClass())
    [send] = of_type(StartAttempt, driver.request(1))
    assert driver.policy.may_send_attempt(driver.now, 1)
    driver.update_list(entry(send.endpoint, cell=int(str(send.endpoint)), availability=1))
    assert not driver.policy.may_send_attempt(driver.now, 1)


def test_no_line_is_sent_to_a_removed_endpoint_or_for_a_disconnected_client() -> None:
    driver = make_driver(RequestClass())
    [send] = of_type(StartAttempt, driver.request(1))
    driver.update_list(entry(send.endpoint, availability=2))
    assert not driver.policy.may_send_attempt(driver.now, 1)
    [other] = of_type(StartAttempt, driver.request(2))
    assert driver.policy.may_send_attempt(driver.now, 2)
    driver.feed(ClientDisconnected(2))
    assert not driver.policy.may_send_attempt(driver.now, 2)


def test_no_retry_is_sent_after_the_deduplication_window_of_the_first_attempt() -> None:
    """A retry that starts within the window but connects after its end could run a second time."""
    driver = make_driver(KEYED)
    [first] = of_type(StartAttempt, driver.request(1, wait_us=5 * SECOND))
    assert driver.policy.may_send_attempt(driver.now + SECOND, 1)  # the first attempt opens the window
    driver.now += 250_000
    driver.end(first, AttemptResult.RESET)
    driver.feed(TimerFired(16 + 1))
    [_, again] = of_type(StartAttempt, driver.actions)
    assert again.endpoint == first.endpoint
    assert driver.policy.may_send_attempt(driver.now, 1)
    assert not driver.policy.may_send_attempt(driver.now + 50_000, 1)
