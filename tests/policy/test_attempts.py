"""The throttle, outliers, timeouts, and retries."""

from __future__ import annotations

from stepflow.budgets import attempt_throttle
from stepflow.interface import AttemptResult, Limits, RejectRequest, SessionEstablished, StartAttempt
from stepflow.policy import state
from tests.policy.driver import Driver, entry, final, only, plain_settings


def test_failures_everywhere_close_the_throttle_and_time_opens_it() -> None:
    # All proxies' retries together overran the store that every set-up needs.
    drive = Driver(plain_settings(), [entry(i) for i in range(9)])
    for id in range(40):
        for send in only(StartAttempt, drive.request(id)):
            drive.end(send, AttemptResult.ERROR)
    assert len(only(StartAttempt, drive.done)) <= attempt_throttle.FREE_ATTEMPTS + 1
    assert not final(drive.done)
    drive.tick(30.0)
    assert only(StartAttempt, drive.request(100))


def test_full_endpoints_do_not_close_the_throttle() -> None:
    drive = Driver(plain_settings(), [entry(i) for i in range(9)])
    for id in range(40):
        [send] = only(StartAttempt, drive.request(id))
        [again] = only(StartAttempt, drive.end(send, AttemptResult.FULL))
        drive.up(again, attempt=1)


def test_a_failing_endpoint_loses_its_health_and_regains_it() -> None:
    drive = Driver(plain_settings(), [entry(1), entry(2)])
    server = drive.policy.model.endpoints[1]
    for _ in range(5):
        server.record_failure()
    assert server.health == state.HEALTH_FLOOR
    for _ in range(40):
        drive.tick()
    assert server.health == 1.0


def test_a_session_reset_at_once_does_not_count_as_established() -> None:
    # Jammed servers accept a connection and drop it: set up again and again, it wore all servers down.
    drive = Driver(plain_settings(), [entry(i) for i in range(9)])
    for id in range(40):
        for send in only(StartAttempt, drive.request(id)):
            drive.up(send)
            drive.end(send, AttemptResult.RESET, complete=True)
    assert (
        len(only(StartAttempt, drive.done))
        <= attempt_throttle.FREE_ATTEMPTS * attempt_throttle.ATTEMPTS_PER_SUCCESS + 1
    )


def test_timeouts_follow_the_usual_latency() -> None:
    """After a wave set-ups took 0.4 to 1 s, and attempts cut at half of what was left filled the store."""
    drive = Driver(plain_settings(limits=Limits(max_attempts=6)), map(entry, range(4)))
    for id in range(100, 160):
        for send in only(StartAttempt, drive.request(id)):
            drive.feed(SessionEstablished(id, 0, send.endpoint, 500_000))
    [send] = only(StartAttempt, drive.request(1, wait_us=1_200_000))
    assert send.timeout_us == 1_200_000  # all of it: half would end before the usual set-up
    drive.now += 800_000
    again = drive.end(send, AttemptResult.CONNECT_FAILED)
    assert not only(StartAttempt, again) and only(
        RejectRequest, again
    )  # what is left is less than a set-up takes
    [send] = only(StartAttempt, drive.request(2, wait_us=4_800_000))
    assert send.timeout_us <= 2_400_000  # where there is room for another, it stays


def test_an_outlier_does_not_close_the_throttle_for_others() -> None:
    """One that answers errors at once closed the throttle for all, and kept its health meanwhile."""
    drive = Driver(plain_settings(), map(entry, range(3)))
    came_up = 0
    for id in range(200):
        sends = only(StartAttempt, drive.request(id))
        while sends and sends[0].endpoint == 0:
            attempt = drive.policy.requests[id].attempts - 1
            sends = only(StartAttempt, drive.end(sends[0], AttemptResult.ERROR, attempt))
        if sends:
            drive.up(sends[0], drive.policy.requests[id].attempts - 1)
            came_up += 1
    assert came_up > 190  # all but those before the others were known to serve
    assert drive.policy.model.endpoints[0].health == state.HEALTH_FLOOR
