"""Each request gets exactly one final answer, by its deadline."""

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
from tests.policy.driver import SECOND, Driver, entry, final_answers, of_type, plain_settings


def test_a_request_is_rejected_in_time_without_any_endpoint() -> None:
    driver = Driver(plain_settings())
    actions = driver.request(1)
    timers = [t for t in of_type(SetTimer, actions) if t.token >= FIRST_REQUEST_TOKEN]
    assert SECOND < max(t.delay_us for t in timers) < 2 * SECOND
    driver.now += max(t.delay_us for t in timers)
    assert final_answers(driver.feed(TimerFired(timers[0].token))) == [RejectRequest(1)]
    assert not driver.policy.requests


def test_a_request_without_a_reply_is_rejected_in_time_and_once() -> None:
    driver = Driver(plain_settings(), [entry(1)])
    [send] = of_type(StartAttempt, driver.request(1))
    driver.now += 2 * SECOND - 10_000
    assert final_answers(driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1))) == [RejectRequest(1)]
    assert not final_answers(driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))
    actions = driver.end(send, AttemptResult.TIMEOUT)
    assert not final_answers(actions) and not of_type(StartAttempt, actions)
    assert not driver.policy.requests


def test_an_attempt_that_times_out_at_the_deadline_leads_to_one_final_answer() -> None:
    driver = Driver(plain_settings(), [entry(1)])
    [send] = of_type(StartAttempt, driver.request(1))
    driver.now += 2 * SECOND
    assert len(final_answers(driver.end(send, AttemptResult.TIMEOUT))) == 1


def test_an_established_session_has_no_deadline() -> None:
    driver = Driver(plain_settings(), [entry(1)])
    [send] = of_type(StartAttempt, driver.request(1))
    driver.establish(send)
    driver.now += 10 * SECOND
    assert not final_answers(driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))


def test_events_of_finished_or_unknown_requests_are_ignored() -> None:
    driver = Driver(plain_settings(), [entry(1)])
    [send] = of_type(StartAttempt, driver.request(1))
    driver.end(send, AttemptResult.OK, is_final=True)
    for event in (
        AttemptEnded(1, 0, 1, AttemptResult.RESET, True, 5),
        AttemptEnded(9, 0, 8, AttemptResult.RESET, False, 5),
        SessionEstablished(1, 0, 1, 5),
        SessionReport(9, 0, 1, 1, 5.0),
        ClientDisconnected(9),
        TimerFired(FIRST_REQUEST_TOKEN + 9),
        HealthCheckEnded(77, 0, 5, (1.0,)),
    ):
        assert driver.feed(event) == []
