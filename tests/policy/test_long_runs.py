"""Long runs, many endpoints and invalid input: state and work stay bounded, and errors name the cause."""

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
from tests.policy.driver import Driver, entry, of_type


def count_objects(root: object, seen: set[int] | None = None) -> int:
    """Count the objects that can be reached from `root` through attributes and containers."""
    seen = set() if seen is None else seen
    if id(root) in seen or isinstance(root, int | float | str | bytes | type | None) or callable(root):
        return 0
    seen.add(id(root))
    children: list[Any] = list(vars(root).values()) if hasattr(root, "__dict__") else []
    if isinstance(root, dict):
        children += list(root.values())
    elif isinstance(root, list | tuple):
        children += list(root)
    return 1 + sum(count_objects(item, seen) for item in children)


def churn(driver: Driver, requests: range) -> None:
    """Feed requests with all results, endpoints that are added and removed, and failing health checks."""
    results = list(AttemptResult)
    for id in requests:
        sends = of_type(StartAttempt, driver.request(id))
        endpoint = entry(1000 + id)
        driver.update_list(endpoint)
        driver.update_list(endpoint._replace(availability=2))
        if sends and id % 3:
            driver.establish(sends[0])
            driver.feed(SessionReport(id, 0, sends[0].endpoint, SessionReportKind.DELAY, 900.0))
            driver.end(sends[0], results[id % 8], is_final=True)
        elif sends:
            for again in of_type(StartAttempt, driver.end(sends[0], results[id % 8])):
                driver.end(again, AttemptResult.RESET, attempt=1, is_final=True)
        driver.feed(ClientDisconnected(id))
        driver.tick(0.1)
        for check in of_type(StartHealthCheck, driver.actions):
            driver.feed(HealthCheckEnded(check.endpoint, results[id % 4], 900, (0.5,) if id % 4 == 0 else ()))
        driver.actions.clear()


def test_state_does_not_grow_with_the_number_of_requests() -> None:
    classes = (RequestClass(message_latency_objective_us=60_000.0),)
    driver = Driver(Settings(classes=classes, load_report_fields=("x0",)), map(entry, range(10)))
    churn(driver, range(1000))
    before = count_objects(driver.policy)
    churn(driver, range(1000, 9000))
    assert not driver.policy.requests
    assert count_objects(driver.policy) <= before + 20


def test_weights_stay_finite_over_hours_and_a_recovered_endpoint_regains_its_share() -> None:
    settings = Settings(load_report_fields=("x0",))
    driver = Driver(settings, map(entry, range(4)))
    policy = driver.policy
    for hour in range(6):
        for second in range(0, 3600, 4):
            driver.tick(4.0)
            for id in range(4):  # endpoint 0 is overloaded in every other hour
                load = 3.0 if id == 0 and hour % 2 == 0 else 0.5
                driver.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (load,)))
            if second % 400 == 0 and hour % 2 == 0:
                driver.feed(HealthCheckEnded(0, AttemptResult.TIMEOUT, 250_000))
        driver.actions.clear()
    shares = {}
    for id in range(4):
        endpoint = policy.model.endpoints[id]
        assert math.isfinite(endpoint.predicted_load) and math.isfinite(endpoint.error_sum)
        shares[id] = endpoint.weight * endpoint.health
    assert shares[0] == pytest.approx(sum(shares.values()) / 4, rel=0.1)


def test_requests_are_placed_while_all_endpoints_fail() -> None:
    driver = Driver(Settings(), map(entry, range(5)))
    for endpoint in driver.policy.model.endpoints.values():
        for _ in range(50):
            endpoint.record_failure()
    driver.tick(5)
    assert of_type(StartAttempt, driver.request(1))


def test_the_only_endpoint_recovers_from_failures() -> None:
    driver = Driver(Settings(), [entry(1)])
    placed = 0
    for id in range(200):
        sends = of_type(StartAttempt, driver.request(id))
        if sends:
            driver.end(sends[0], AttemptResult.ERROR, is_final=False)
            driver.feed(ClientDisconnected(id))
        driver.tick(0.5)
    for id in range(200, 300):
        for send in of_type(StartAttempt, driver.request(id)):
            placed += 1
            driver.establish(send)
        driver.tick(0.5)
    assert placed > 80


@pytest.mark.parametrize("reports", [(), ("x0",)])
def test_work_for_a_request_does_not_grow_with_the_endpoints(
    reports: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Work is counted in calls of `SlowStart.is_warm`: 1000 endpoints cause about as many as 10."""
    counts = {}
    for size in (10, 1000):
        driver = Driver(Settings(load_report_fields=reports), map(entry, range(size)))
        driver.tick(5)
        call_count = 0
        original = SlowStart.is_warm

        def is_warm(self: SlowStart, endpoint: EndpointState) -> bool:
            nonlocal call_count
            call_count += 1
            return original(self, endpoint)  # noqa: B023

        monkeypatch.setattr(SlowStart, "is_warm", is_warm)
        for id in range(50):
            driver.request(id)
        monkeypatch.undo()
        counts[size] = call_count
    assert 0 < counts[1000] <= counts[10] + 50


@pytest.mark.parametrize(
    ("settings", "key"),
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
def test_an_impossible_setting_raises_an_error_that_names_it(settings: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        Settings(**settings)


def test_a_class_that_the_settings_lack_raises_an_error_that_names_it() -> None:
    with pytest.raises(ValueError, match="class 3"):
        Driver(Settings(), [entry(1)]).request(1, class_index=3)
