"""Each request gets exactly one final answer, in time."""

from __future__ import annotations

from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    HealthCheckEnded,
    RejectRequest,
    SessionEstablished,
    SessionReport,
    SetTimer,
    StartAttempt,
    TimerFired,
)
from stepflow.policy.context import FIRST_REQUEST_TOKEN
from tests.policy.driver import SECOND, Driver, entry, final, only, plain_settings


def test_a_request_is_rejected_in_time_without_any_endpoint() -> None:
    drive = Driver(plain_settings())
    actions = drive.request(1)
    timers = [t for t in only(SetTimer, actions) if t.token >= FIRST_REQUEST_TOKEN]
    assert SECOND < max(t.delay_us for t in timers) < 2 * SECOND
    drive.now += max(t.delay_us for t in timers)
    assert final(drive.feed(TimerFired(timers[0].token))) == [RejectRequest(1)]
    assert not drive.policy.requests


def test_a_request_without_a_reply_is_rejected_in_time_and_once() -> None:
    drive = Driver(plain_settings(), [entry(1)])
    [send] = only(StartAttempt, drive.request(1))
    drive.now += 2 * SECOND - 10_000
    assert final(drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1))) == [RejectRequest(1)]
    assert not final(drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))
    actions = drive.end(send, AttemptResult.TIMEOUT)
    assert not final(actions) and not only(StartAttempt, actions)
    assert not drive.policy.requests


def test_a_timeout_at_the_deadline_is_answered() -> None:
    drive = Driver(plain_settings(), [entry(1)])
    [send] = only(StartAttempt, drive.request(1))
    drive.now += 2 * SECOND
    assert len(final(drive.end(send, AttemptResult.TIMEOUT))) == 1


def test_an_established_session_has_no_deadline() -> None:
    drive = Driver(plain_settings(), [entry(1)])
    [send] = only(StartAttempt, drive.request(1))
    drive.up(send)
    drive.now += 10 * SECOND
    assert not final(drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))


def test_events_of_finished_or_unknown_requests_are_ignored() -> None:
    drive = Driver(plain_settings(), [entry(1)])
    [send] = only(StartAttempt, drive.request(1))
    drive.end(send, AttemptResult.OK, complete=True)
    for event in (
        AttemptEnded(1, 0, 1, AttemptResult.RESET, True, 5),
        AttemptEnded(9, 0, 8, AttemptResult.RESET, False, 5),
        SessionEstablished(1, 0, 1, 5),
        SessionReport(9, 0, 1, 1, 5.0),
        ClientDisconnected(9),
        TimerFired(FIRST_REQUEST_TOKEN + 9),
        HealthCheckEnded(77, 0, 5, (1.0,)),
    ):
        assert drive.feed(event) == []
