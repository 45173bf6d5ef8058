"""What long runs, large fleets and wrong use must not do."""

from __future__ import annotations

import math
from typing import Any

import pytest

from stepflow.interface import (
    AttemptResult,
    ClientDisconnected,
    HealthCheckEnded,
    Limits,
    Prices,
    RequestClass,
    SafetyRules,
    SessionReport,
    SessionReportKind,
    Settings,
    StartAttempt,
    StartHealthCheck,
)
from stepflow.policy import EndpointState
from stepflow.policy.slow_start import SlowStart
from tests.policy.driver import Driver, entry, only


def reachable(thing: object, seen: set[int] | None = None) -> int:
    """How many objects a policy holds, all containers followed."""
    seen = set() if seen is None else seen
    if id(thing) in seen or isinstance(thing, int | float | str | bytes | type | None) or callable(thing):
        return 0
    seen.add(id(thing))
    inner: list[Any] = list(vars(thing).values()) if hasattr(thing, "__dict__") else []
    if isinstance(thing, dict):
        inner += list(thing.values())
    elif isinstance(thing, list | tuple):
        inner += list(thing)
    return 1 + sum(reachable(one, seen) for one in inner)


def churn(driver: Driver, requests: range) -> None:
    """Requests that end in every way, servers that come and go, probes that fail."""
    results = list(AttemptResult)
    for id in requests:
        sends = only(StartAttempt, driver.request(id))
        server = entry(1000 + id)
        driver.news(server)
        driver.news(server._replace(availability=2))
        if sends and id % 3:
            driver.up(sends[0])
            driver.feed(SessionReport(id, 0, sends[0].endpoint, SessionReportKind.DELAY, 900.0))
            driver.end(sends[0], results[id % 8], complete=True)
        elif sends:
            for again in only(StartAttempt, driver.end(sends[0], results[id % 8])):
                driver.end(again, AttemptResult.RESET, attempt=1, complete=True)
        driver.feed(ClientDisconnected(id))
        driver.tick(0.1)
        for probe in only(StartHealthCheck, driver.done):
            driver.feed(HealthCheckEnded(probe.endpoint, results[id % 4], 900, (0.5,) if id % 4 == 0 else ()))
        driver.done.clear()


def test_state_does_not_grow() -> None:
    classes = (RequestClass(message_latency_objective_us=60_000.0),)
    driver = Driver(Settings(classes=classes, load_report_fields=("x0",)), map(entry, range(10)))
    churn(driver, range(1000))
    before = reachable(driver.policy)
    churn(driver, range(1000, 9000))
    assert not driver.policy.requests
    assert reachable(driver.policy) <= before + 20


def test_hours_leave_weights_sane_and_a_recovered_server_has_its_share() -> None:
    settings = Settings(load_report_fields=("x0",))
    driver = Driver(settings, map(entry, range(4)))
    policy = driver.policy
    for hour in range(6):
        for second in range(0, 3600, 4):
            driver.tick(4.0)
            for id in range(4):  # server 0 is jammed in every other hour
                load = 3.0 if id == 0 and hour % 2 == 0 else 0.5
                driver.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (load,)))
            if second % 400 == 0 and hour % 2 == 0:
                driver.feed(HealthCheckEnded(0, AttemptResult.TIMEOUT, 250_000))
        driver.done.clear()
    shares = {}
    for id in range(4):
        server = policy.model.endpoints[id]
        assert math.isfinite(server.predicted_load) and math.isfinite(server.error_sum)
        shares[id] = server.weight * server.health
    assert shares[0] == pytest.approx(sum(shares.values()) / 4, rel=0.1)


def test_a_fleet_wholly_ejected_still_places() -> None:
    driver = Driver(Settings(), map(entry, range(5)))
    for server in driver.policy.model.endpoints.values():
        for _ in range(50):
            server.record_failure()
    driver.tick(5)
    assert only(StartAttempt, driver.request(1))


def test_a_lone_server_is_never_starved() -> None:
    driver = Driver(Settings(), [entry(1)])
    placed = 0
    for id in range(200):
        sends = only(StartAttempt, driver.request(id))
        if sends:
            driver.end(sends[0], AttemptResult.ERROR, complete=False)
            driver.feed(ClientDisconnected(id))
        driver.tick(0.5)
    for id in range(200, 300):
        for send in only(StartAttempt, driver.request(id)):
            placed += 1
            driver.up(send)
        driver.tick(0.5)
    assert placed > 80


@pytest.mark.parametrize("reports", [(), ("x0",)])
def test_work_for_a_request_does_not_grow_with_the_fleet(
    reports: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Counted in tests of servers and weighings: as many for 1000 servers as for 10."""
    counts = {}
    for size in (10, 1000):
        driver = Driver(Settings(load_report_fields=reports), map(entry, range(size)))
        driver.tick(5)
        looked = 0
        plain = SlowStart.is_warm

        def is_warm(self: SlowStart, server: EndpointState) -> bool:
            nonlocal looked
            looked += 1
            return plain(self, server)  # noqa: B023

        monkeypatch.setattr(SlowStart, "is_warm", is_warm)
        for id in range(50):
            driver.request(id)
        monkeypatch.undo()
        counts[size] = looked
    assert 0 < counts[1000] <= counts[10] + 50


@pytest.mark.parametrize(
    ("wrong", "named"),
    [
        ({"balancers": 0}, "balancers"),
        ({"classes": ()}, "classes"),
        ({"classes": (RequestClass(priority_weight=math.nan),)}, "worth"),
        ({"limits": Limits(max_attempts=0)}, "max_attempts"),
        ({"rules": SafetyRules(slow_start_share=-0.1)}, "cold_share"),
        ({"rules": SafetyRules(overload_multiple=math.inf)}, "fall_multiple"),
        ({"prices": Prices(probe=-1.0)}, "probe"),
        ({"tick_us": 0}, "tick_us"),
    ],
)
def test_impossible_settings_are_named(wrong: dict[str, Any], named: str) -> None:
    with pytest.raises(ValueError, match=named):
        Settings(**wrong)


def test_a_class_that_the_settings_lack_is_named() -> None:
    with pytest.raises(ValueError, match="class 3"):
        Driver(Settings(), [entry(1)]).request(1, cls=3)
