"""Sessions are migrated off overloaded endpoints, and only off those."""

from __future__ import annotations

import pytest

from stepflow.interface import (
    AttemptResult,
    Availability,
    HealthCheckEnded,
    MigrateSession,
    Prices,
    SessionReport,
    SessionReportKind,
    StartAttempt,
    StartHealthCheck,
)
from stepflow.policy import migration
from tests.policy.driver import REPORTING, SECOND, Driver, entry, of_type, overloaded_driver, plain_settings


def test_no_session_is_migrated_while_no_endpoint_is_overloaded() -> None:
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    [send] = of_type(StartAttempt, driver.request(1))
    driver.establish(send)
    for _ in range(100):
        assert not of_type(MigrateSession, driver.tick())


def test_sessions_of_the_lowest_priority_weight_are_migrated_off_an_overloaded_endpoint() -> None:
    driver = overloaded_driver(0.01)
    for id in range(40):
        [send] = of_type(StartAttempt, driver.request(id, class_index=id % 2))
        driver.establish(send)
        driver.now += 100_000
    for _ in range(9):
        driver.now += SECOND
        driver.feed(HealthCheckEnded(1, 0, 500, (1.7, 0.0)))
    migrated = [m.request_id for m in of_type(MigrateSession, driver.tick())]
    # As many as lower the load from 1.7 to TARGET_LOAD, within the budget of migrations.
    assert 5 <= len(migrated) <= 40 * (1 - migration.TARGET_LOAD / 1.7) + 1
    assert all(id % 2 == 0 for id in migrated)
    assert not of_type(MigrateSession, driver.tick())  # the same report is not acted on twice


@pytest.mark.parametrize(("delay_ms", "is_watched"), [(99.0, False), (100.0, True)])
def test_an_endpoint_is_watched_once_its_delay_reaches_the_shortest_objective(
    delay_ms: float, is_watched: bool
) -> None:
    # Delays are reported from a third of the shortest objective on; migrations at such delays never ended.
    driver = overloaded_driver(0.1)
    [send] = of_type(StartAttempt, driver.request(1))
    driver.establish(send)
    driver.feed(SessionReport(1, 0, 1, SessionReportKind.DELAY, delay_ms))
    assert (1 in driver.policy.migration.watched) == is_watched


def test_an_overload_is_found_and_relieved_with_few_new_requests() -> None:
    # Without delay reports, health checks in rotation alone took 9 s to detect the overload.
    prices = Prices(probe=0.004, moves=0.02)
    driver = Driver(plain_settings(prices=prices, **REPORTING), [entry(1), entry(2)])
    for id in range(100):
        driver.adopt(id, 1 + id % 2)
    actions = driver.request(1000) + driver.tick(4.0)
    for _ in range(12):
        checks, actions = of_type(StartHealthCheck, actions), driver.tick()
        for check in checks:
            driver.feed(
                HealthCheckEnded(
                    check.endpoint, AttemptResult.OK, 500, (1.4 if check.endpoint == 1 else 0.2, 0.0)
                )
            )
    migrations = of_type(MigrateSession, driver.actions)
    assert all(action.request_id % 2 == 0 for action in migrations)
    assert len(migrations) > 8  # a rate from new requests alone allowed 4 in an overload of 10 s


def test_an_overloaded_endpoint_is_checked_once_a_second() -> None:
    """Checks at each tick brought no newer reports, and cost 0.01 points with 40 nodes."""
    prices = Prices(probe=0.004, moves=1.0)  # migrations are too expensive: the overload lasts
    driver = Driver(plain_settings(prices=prices, **REPORTING), [entry(1), entry(2)])
    for id in range(100):
        driver.adopt(id, 1 + id % 2)
    driver.request(1000)
    check_count = 0
    for step in range(28):
        for check in of_type(StartHealthCheck, driver.tick()):
            check_count += check.endpoint == 1 and step >= 8
            driver.feed(
                HealthCheckEnded(
                    check.endpoint, AttemptResult.OK, 500, (1.4 if check.endpoint == 1 else 0.2, 0.0)
                )
            )
    assert 3 <= check_count <= 11  # about one check a second, over ten seconds


@pytest.mark.parametrize("load", [0.1, 0.3, 0.9])
def test_sessions_of_a_draining_endpoint_are_not_migrated(load: float) -> None:
    """All nodes would migrate them at once, and fill the other endpoints before a replacement has started."""
    driver = Driver(plain_settings(load_report_fields=("x0",)), [entry(1), entry(2)])
    for id in range(6):
        driver.adopt(id, 2 if id < 3 else 1)
    driver.update_list(entry(2, availability=Availability.DRAINING))
    for _ in range(60):
        driver.feed(HealthCheckEnded(1, AttemptResult.OK, 900, (load,)))
        assert [action for action in of_type(MigrateSession, driver.tick()) if action.request_id < 3] == []
