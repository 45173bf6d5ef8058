"""Never twice in effect: what is allowed when an attempt is decided, and again when its line goes out."""

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


def driver(cls: RequestClass, servers: int = 3) -> Driver:
    settings = plain_settings(classes=(cls,), limits=Limits(max_attempts=6))
    return Driver(settings, [entry(id, cell=id) for id in range(servers)])


def test_a_rejected_retry_keeps_the_request_bound_to_the_first_endpoint() -> None:
    """The first may have run at the same server; its repeat's refusal unbound the request for all servers."""
    drive = driver(KEYED)
    [first] = of_type(StartAttempt, drive.request(1))
    drive.end(first, AttemptResult.TIMEOUT)  # it may run yet; only its own cell drops a repeat
    drive.now += 100_000
    again = of_type(StartAttempt, drive.feed(TimerFired(16 + 1)))
    assert [send.endpoint for send in again] == [first.endpoint]
    drive.end(again[0], AttemptResult.FULL, attempt=1)
    for _ in range(8):
        drive.now += 100_000
        drive.feed(TimerFired(16 + 1))
    sent = of_type(StartAttempt, drive.actions)
    assert {send.endpoint for send in sent} == {first.endpoint}
    assert not of_type(RejectRequest, drive.actions)


@pytest.mark.parametrize("cls", [ONCE, KEYED])
def test_a_request_that_may_have_run_is_not_safe_to_reject(cls: RequestClass) -> None:
    drive = driver(cls)
    assert drive.policy.is_safe_to_reject(1)  # it was never sent
    [send] = of_type(StartAttempt, drive.request(1))
    assert not drive.policy.is_safe_to_reject(1)
    drive.end(send, AttemptResult.CONNECT_FAILED)
    drive.feed(ClientDisconnected(1))
    anywhere = driver(replace(KEYED, deduplication_scope=DeduplicationScope.ALL))
    anywhere.request(1)
    assert anywhere.policy.is_safe_to_reject(1)


def test_no_line_is_sent_to_an_endpoint_that_began_to_drain_during_the_connect() -> None:
    drive = driver(RequestClass())
    [send] = of_type(StartAttempt, drive.request(1))
    assert drive.policy.may_send_attempt(drive.now, 1)
    drive.update_list(entry(send.endpoint, cell=int(str(send.endpoint)), availability=1))
    assert not drive.policy.may_send_attempt(drive.now, 1)


def test_no_line_is_sent_to_a_removed_endpoint_or_for_a_disconnected_client() -> None:
    drive = driver(RequestClass())
    [send] = of_type(StartAttempt, drive.request(1))
    drive.update_list(entry(send.endpoint, availability=2))
    assert not drive.policy.may_send_attempt(drive.now, 1)
    [other] = of_type(StartAttempt, drive.request(2))
    assert drive.policy.may_send_attempt(drive.now, 2)
    drive.feed(ClientDisconnected(2))
    assert not drive.policy.may_send_attempt(drive.now, 2)


def test_no_retry_is_sent_after_the_deduplication_window_of_the_first_attempt() -> None:
    """Decided within the window and dialled for longer than was left of it, it would have run twice."""
    drive = driver(KEYED)
    [first] = of_type(StartAttempt, drive.request(1, wait_us=5 * SECOND))
    assert drive.policy.may_send_attempt(drive.now + SECOND, 1)  # the first attempt opens the window
    drive.now += 250_000
    drive.end(first, AttemptResult.RESET)
    drive.feed(TimerFired(16 + 1))
    [_, again] = of_type(StartAttempt, drive.actions)
    assert again.endpoint == first.endpoint
    assert drive.policy.may_send_attempt(drive.now, 1)
    assert not drive.policy.may_send_attempt(drive.now + 50_000, 1)
