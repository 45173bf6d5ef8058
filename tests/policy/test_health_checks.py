"""Health checks in rotation."""

from __future__ import annotations

from stepflow.interface import AttemptResult, HealthCheckEnded, Limits, Prices, StartAttempt, StartHealthCheck
from tests.policy.driver import REPORTING, Driver, entry, of_type, plain_settings


def test_no_health_check_starts_where_none_is_permitted() -> None:
    driver = Driver(plain_settings(limits=Limits(health_checks=False), **REPORTING), [entry(1), entry(2)])
    for id in range(20):
        driver.request(id)
        driver.tick()
    assert not of_type(StartHealthCheck, driver.actions) and of_type(StartAttempt, driver.actions)


def test_open_sessions_allow_checks_in_rotation_without_new_requests() -> None:
    prices = Prices(probe=0.004)
    driver = Driver(plain_settings(prices=prices, **REPORTING), [entry(i) for i in range(4)])
    for id in range(240):  # open sessions, but no new requests
        driver.adopt(id, id % 4)
    checks = [check for _ in range(20) for check in of_type(StartHealthCheck, driver.tick())]
    assert len(checks) >= 4


def test_checks_go_to_the_endpoint_checked_longest_ago() -> None:
    """A random choice left some endpoints unchecked for several seconds, and missed their overload."""
    driver = Driver(plain_settings(prices=Prices(probe=0.004), **REPORTING), map(entry, range(4)))
    for id in range(240):
        driver.adopt(id, id % 4)
    checked: list[int] = []
    while len(checked) < 12:
        for check in of_type(StartHealthCheck, driver.tick()):
            driver.feed(HealthCheckEnded(check.endpoint, AttemptResult.OK, 900, (0.5, 0.0)))
            checked.append(int(str(check.endpoint)))
    assert sorted(checked[:4]) == sorted(checked[4:8]) == sorted(checked[8:12]) == [0, 1, 2, 3]
