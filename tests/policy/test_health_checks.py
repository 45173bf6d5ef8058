"""Health checks in rotation."""

from __future__ import annotations

from stepflow.interface import (
    AttemptResult,
    HealthCheckEnded,
    Limits,
    Prices,
    Request,
    SessionAdopted,
    StartAttempt,
    StartHealthCheck,
)
from tests.policy.driver import REPORTING, Driver, entry, only, plain_settings


def test_no_health_check_starts_where_none_is_permitted() -> None:
    drive = Driver(plain_settings(limits=Limits(health_checks=False), **REPORTING), [entry(1), entry(2)])
    for id in range(20):
        drive.request(id)
        drive.tick()
    assert not only(StartHealthCheck, drive.done) and only(StartAttempt, drive.done)


def test_open_sessions_pay_for_checks_in_rotation() -> None:
    prices = Prices(probe=0.004)
    drive = Driver(plain_settings(prices=prices, **REPORTING), [entry(i) for i in range(4)])
    for id in range(240):  # and nothing new comes
        drive.feed(SessionAdopted(Request(id, 0, 0, 1.0), id % 4))
    probes = [probe for _ in range(20) for probe in only(StartHealthCheck, drive.tick())]
    assert len(probes) >= 4


def test_checks_go_to_the_endpoint_checked_longest_ago() -> None:
    """Drawn by chance, some waited for several seconds, and a jam there went on unseen."""
    drive = Driver(plain_settings(prices=Prices(probe=0.004), **REPORTING), map(entry, range(4)))
    for id in range(240):
        drive.feed(SessionAdopted(Request(id, 0, 0, 1.0), id % 4))
    asked: list[int] = []
    while len(asked) < 12:
        for probe in only(StartHealthCheck, drive.tick()):
            drive.feed(HealthCheckEnded(probe.endpoint, AttemptResult.OK, 900, (0.5, 0.0)))
            asked.append(int(str(probe.endpoint)))
    assert sorted(asked[:4]) == sorted(asked[4:8]) == sorted(asked[8:12]) == [0, 1, 2, 3]
