"""The load model: session loads, learned costs, and predictions."""

from __future__ import annotations

import pytest

from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    HealthCheckEnded,
    RequestClass,
    SessionReport,
    SessionReportKind,
    StartAttempt,
)
from stepflow.policy import EndpointState, LoadModel, load_model
from tests.policy.driver import REPORTING, Driver, adopting_driver, entry, of_type, plain_settings


def test_a_cost_is_learned_from_load_reports() -> None:
    # 4 balancers, own load 50, pseudo load 50: cost = 0.8 / (4 * (50 + 50)).
    model = LoadModel(plain_settings(balancers=4, load_report_fields=("eps", "x0")))
    endpoint = model.endpoints[1] = EndpointState(entry(1), 0.0)
    endpoint.load = model.own_load = 50.0
    # The mean own load of the one endpoint is above MIN_PSEUDO_SESSIONS.
    assert model.pseudo_load() == pytest.approx(50.0)
    model.learn(1, endpoint, (0.0, 0.8))
    assert endpoint.cost == pytest.approx(0.8 / (4 * 100))
    assert endpoint.predicted_load == pytest.approx(0.8)
    # A second report at the same time has a weight of REPORT_WEIGHT; a later one would have more.
    model.learn(1, endpoint, (0.0, 1.6))
    assert endpoint.cost == pytest.approx((0.8 + load_model.REPORT_WEIGHT * 0.8) / 400)


@pytest.mark.parametrize("report", [(), (float("nan"),), (float("inf"),), (-1.0,)])
def test_impossible_load_reports_are_dropped(report: tuple[float, ...]) -> None:
    model = LoadModel(plain_settings(load_report_fields=("x0",)))
    endpoint = model.endpoints[1] = EndpointState(entry(1), 0.0)
    model.learn(0, endpoint, report)
    assert not endpoint.reported_us


def test_a_session_report_replaces_the_hint_until_the_session_ends() -> None:
    driver = Driver(plain_settings(), [entry(1)])
    [send] = of_type(StartAttempt, driver.request(1, load=8.0))
    endpoint = driver.policy.model.endpoints[1]
    assert endpoint.load == 8.0
    driver.establish(send)
    driver.feed(SessionReport(1, 0, 1, SessionReportKind.LOAD, 12.0))
    assert endpoint.load == 12.0
    driver.feed(SessionReport(1, 0, 1, SessionReportKind.LOAD, float("nan")))
    assert endpoint.load == 12.0
    driver.end(send, AttemptResult.OK, is_final=True)
    assert endpoint.load == 0.0
    assert not driver.policy.requests


def test_the_load_of_an_adopted_session_counts_until_it_ends() -> None:
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    driver.adopt(5, 2, load=3.0)
    assert driver.policy.model.endpoints[2].load == 3.0
    driver.feed(AttemptEnded(5, 0, 2, AttemptResult.OK, True, 0))
    assert driver.policy.model.endpoints[2].load == 0.0


def test_adopted_sessions_and_session_reports_do_not_count_as_placed() -> None:
    """Adopted sessions must not count as unreported load; 117 of them were counted as a load of 10.8."""
    driver = adopting_driver(0.5, 20)
    [send] = of_type(StartAttempt, driver.request(100, load=1.0))
    driver.establish(send)
    endpoint = driver.policy.model.endpoints[1]
    placed = endpoint.placed_load
    driver.adopt(101, 1)
    driver.feed(SessionReport(100, 0, 1, SessionReportKind.LOAD, 1.1))
    assert 0 < placed == endpoint.placed_load


def test_a_load_report_is_compared_with_the_load_of_its_time() -> None:
    """Compared with the current load, a late report would make each session look lighter than it is."""
    driver = adopting_driver(0.3, 20)
    driver.update_list(*(entry(id) for id in range(2, 6)))
    for id in range(100, 110):
        driver.adopt(id, 1)
    for _ in range(8):
        driver.feed(HealthCheckEnded(1, 0, 500, (0.3, 0.0)))  # the report lacks the ten new sessions
    assert driver.policy.model.endpoints[1].predicted_load > 0.38


def test_a_live_weight_is_not_taken_for_a_size() -> None:
    """The pseudo load must not follow the live size, which is thirty times larger at an empty endpoint."""
    driver = Driver(plain_settings(live_weights=True, **REPORTING), [entry(1, size=0.2), entry(2, size=6.0)])
    for id in range(30):
        driver.adopt(id, 1)
    driver.update_list(entry(1, size=0.2))
    for _ in range(3):
        driver.tick()
        driver.feed(HealthCheckEnded(1, 0, 500, (0.6, 0.0)))
    driver.tick(4.0)
    empty = driver.policy.model.endpoints[2]
    assert empty.relative_size == 1.0 and empty.predicted_load < 0.6


def test_the_first_reported_load_rescales_all_loads() -> None:
    """Costs learned while sessions count as 1 must not turn the first reported load into an overload."""
    driver = Driver(plain_settings(load_report_fields=("x0",)), [entry(1), entry(2)])
    for endpoint in (1, 2):
        driver.feed(HealthCheckEnded(endpoint, AttemptResult.OK, 900, (0.4,)))
    sends = [of_type(StartAttempt, driver.request(id))[0] for id in range(4)]
    for send in sends:
        driver.establish(send)
    driver.tick()
    before = {id: endpoint.predicted_load for id, endpoint in driver.policy.model.endpoints.items()}
    driver.feed(SessionReport(0, 0, sends[0].endpoint, SessionReportKind.LOAD, 25_000.0))
    driver.tick()
    endpoints = driver.policy.model.endpoints
    assert {id: endpoint.predicted_load for id, endpoint in endpoints.items()} == pytest.approx(
        before, rel=0.2
    )
    assert sum(endpoint.load for endpoint in endpoints.values()) == pytest.approx(100_000.0)


def test_placements_count_before_the_first_step() -> None:
    """Guards against counting placements as 0: a restarted node sent a second's requests to one endpoint."""
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    [send] = of_type(StartAttempt, driver.request(1))
    assert driver.policy.model.endpoints[send.endpoint].placed_load > 0


def test_a_missing_load_is_replaced_by_the_mean_of_its_class() -> None:
    driver = Driver(plain_settings(classes=(RequestClass(), RequestClass())), [entry(1)])
    driver.request(1, load=10.0)
    driver.request(2, class_index=1, load=60.0)
    driver.request(3, class_index=0)
    driver.request(4, class_index=1)
    assert driver.policy.model.endpoints[1].load == pytest.approx(140.0)


def test_costs_stay_valid_after_a_first_load_far_from_the_mean() -> None:
    """Costs in the unit of an atypical first load led to predicted loads of 15 to 60 at idle endpoints."""
    driver = Driver(plain_settings(balancers=40, load_report_fields=("x0",)), [entry(1), entry(2)])
    for id in (1, 2):
        driver.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.5,)))
    sends = [send for id in range(2) for send in of_type(StartAttempt, driver.request(id))]
    for send in sends:
        driver.establish(send)
    driver.feed(SessionReport(0, 0, sends[0].endpoint, SessionReportKind.LOAD, 210.0))
    for id in (1, 2):
        driver.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.5,)))
    driver.feed(SessionReport(1, 0, sends[1].endpoint, SessionReportKind.LOAD, 60_000.0))
    for _ in range(4):
        driver.tick()
    assert all(endpoint.predicted_load < 1.0 for endpoint in driver.policy.model.endpoints.values())
