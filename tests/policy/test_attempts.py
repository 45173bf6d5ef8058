"""The throttle, outliers, timeouts, and retries."""

from __future__ import annotations

from stepflow.budgets import attempt_throttle
from stepflow.interface import AttemptResult, Limits, RejectRequest, SessionEstablished, StartAttempt
from stepflow.policy import state
from tests.policy.driver import Driver, entry, final_answers, of_type, plain_settings


def test_failures_at_all_endpoints_close_the_throttle_until_time_has_passed() -> None:
    # Without the throttle, the retries of all instances would overload the store that every session needs.
    driver = Driver(plain_settings(), [entry(i) for i in range(9)])
    for id in range(40):
        for send in of_type(StartAttempt, driver.request(id)):
            driver.end(send, AttemptResult.ERROR)
    assert len(of_type(StartAttempt, driver.actions)) <= attempt_throttle.UNCONDITIONAL_ATTEMPTS + 1
    assert not final_answers(driver.actions)
    driver.tick(30.0)
    assert of_type(StartAttempt, driver.request(100))


def test_full_endpoints_do_not_close_the_throttle() -> None:
    driver = Driver(plain_settings(), [entry(i) for i in range(9)])
    for id in range(40):
        [send] = of_type(StartAttempt, driver.request(id))
        [again] = of_type(StartAttempt, driver.end(send, AttemptResult.FULL))
        driver.establish(again, attempt=1)


def test_failures_lower_the_health_of_an_endpoint_and_time_restores_it() -> None:
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    endpoint = driver.policy.model.endpoints[1]
    for _ in range(5):
        endpoint.record_failure()
    assert endpoint.health == state.MIN_HEALTH
    for _ in range(40):
        driver.tick()
    assert endpoint.health == 1.0


def test_a_session_reset_at_once_does_not_count_as_established() -> None:
    # Overloaded endpoints accept a connection and reset it; counted as established, such sessions let further
    # setups overload all endpoints.
    driver = Driver(plain_settings(), [entry(i) for i in range(9)])
    for id in range(40):
        for send in of_type(StartAttempt, driver.request(id)):
            driver.establish(send)
            driver.end(send, AttemptResult.RESET, is_final=True)
    assert (
        len(of_type(StartAttempt, driver.actions))
        <= attempt_throttle.UNCONDITIONAL_ATTEMPTS * attempt_throttle.ATTEMPTS_PER_SUCCESS + 1
    )


def test_timeouts_follow_the_smoothed_latency() -> None:
    """Timeouts must not cut off slow setups.

    After a restart, setups took 0.4 to 1 s, and timeouts of half the time left overloaded the store.
    """
    driver = Driver(plain_settings(limits=Limits(max_attempts=6)), map(entry, range(4)))
    for id in range(100, 160):
        for send in of_type(StartAttempt, driver.request(id)):
            driver.feed(SessionEstablished(id, 0, send.endpoint, 500_000))
    [send] = of_type(StartAttempt, driver.request(1, wait_us=1_200_000))
    # All the time left, since that is less than TIMEOUT_FACTOR times the smoothed latency.
    assert send.timeout_us == 1_200_000
    driver.now += 800_000
    again = driver.end(send, AttemptResult.CONNECT_FAILED)
    # The time left is less than the smoothed latency.
    assert not of_type(StartAttempt, again) and of_type(RejectRequest, again)
    [send] = of_type(StartAttempt, driver.request(2, wait_us=4_800_000))
    assert send.timeout_us <= 2_400_000  # there is time for another attempt


def test_an_outlier_does_not_close_the_throttle_for_others() -> None:
    """Immediate errors of one endpoint must lower its health, not limit attempts at all other endpoints."""
    driver = Driver(plain_settings(), map(entry, range(3)))
    established = 0
    for id in range(200):
        sends = of_type(StartAttempt, driver.request(id))
        while sends and sends[0].endpoint == 0:
            attempt = driver.policy.requests[id].attempts - 1
            sends = of_type(StartAttempt, driver.end(sends[0], AttemptResult.ERROR, attempt))
        if sends:
            driver.establish(sends[0], driver.policy.requests[id].attempts - 1)
            established += 1
    assert established > 190  # all but the first few, before attempts elsewhere were known to succeed
    assert driver.policy.model.endpoints[0].health == state.MIN_HEALTH
