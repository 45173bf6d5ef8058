"""Candidates, their health checks, affinity groups, and admission."""

from __future__ import annotations

import pytest

from stepflow.interface import (
    AttemptResult,
    EndpointId,
    HealthCheckEnded,
    RejectRequest,
    StartAttempt,
    StartHealthCheck,
    TimerFired,
)
from stepflow.policy import admission, selection
from stepflow.policy.context import FIRST_REQUEST_TOKEN
from stepflow.rendezvous import preferred_endpoints
from tests.policy.driver import (
    REPORTING,
    SECOND,
    Driver,
    adopting_driver,
    entry,
    of_type,
    overloaded_driver,
    plain_settings,
)


def test_candidates_are_checked_and_the_best_one_is_chosen() -> None:
    # An instance with few requests never has fresh reports of many endpoints.
    driver = Driver(plain_settings(balancers=50, **REPORTING), [entry(i) for i in range(40)])
    check_count = 0
    for id in range(20):
        checks = of_type(StartHealthCheck, driver.request(id, wait_us=20 * SECOND))
        check_count += len(checks)
        assert 1 <= len(checks) <= selection.MAX_CANDIDATES
        loads = {check.endpoint: 0.1 * (k + 1) for k, check in enumerate(checks)}
        best = min(loads, key=lambda endpoint: loads[endpoint])
        sends = [
            s
            for p in checks
            for s in of_type(
                StartAttempt, driver.feed(HealthCheckEnded(p.endpoint, 0, 500, (loads[p.endpoint], 0.0)))
            )
        ]
        assert [s.endpoint for s in sends] == [best]
        driver.establish(sends[0])
        driver.end(sends[0], AttemptResult.OK, is_final=True)
        driver.now += 2 * SECOND
    assert check_count > 40


def test_a_candidate_that_does_not_answer_is_passed_over() -> None:
    driver = Driver(plain_settings(**REPORTING), [entry(i) for i in range(400)])
    [*silent, answered] = [p.endpoint for p in of_type(StartHealthCheck, driver.request(1))]
    assert silent
    assert not of_type(StartAttempt, driver.feed(HealthCheckEnded(answered, 0, 500, (0.5, 0.0))))
    driver.now += 100_000
    [send] = of_type(StartAttempt, driver.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))
    assert send.endpoint == answered


@pytest.mark.parametrize("class_index", [0, 1])
def test_near_saturation_the_lowest_priority_weight_is_rejected_first(class_index: int) -> None:
    assert admission.ADMISSION_LIMITS[0] < admission.ADMISSION_LIMITS[1]
    limit = admission.ADMISSION_LIMITS[class_index]
    assert of_type(StartAttempt, overloaded_driver(limit - 0.01).request(1, class_index))
    assert of_type(RejectRequest, overloaded_driver(limit + 0.01).request(1, class_index))


def test_a_burst_between_two_reports_is_rejected_once_it_fills_the_endpoint() -> None:
    """Sessions placed since the last report must count.

    Clients of two failed nodes arrived at once, and all were admitted on the basis of old reports.
    """
    driver = adopting_driver(0.5, 20)
    admitted = 0
    for id in range(100, 140):
        for send in of_type(StartAttempt, driver.request(id, load=1.0)):
            driver.establish(send)
            admitted += 1
    # A load of 0.5 is reported for 20 sessions and a pseudo load of 20: each session adds 0.0125.
    assert 10 <= admitted <= 20


def test_a_request_rejected_for_load_is_told_when_to_retry() -> None:
    # Without advice, clients retried at once, fifteen for each new client, and were rejected again.
    [rejection] = of_type(RejectRequest, overloaded_driver(2.0).request(1))
    assert 500_000 <= rejection.retry_after_us <= 1_000_000


def test_a_burst_is_spread_before_any_report() -> None:
    # Guards against sending all clients of a lost endpoint to the one with the lowest predicted load.
    driver = Driver(plain_settings(**REPORTING), [entry(1), entry(2)])
    for endpoint in (1, 2):
        driver.feed(HealthCheckEnded(endpoint, AttemptResult.OK, 500, (0.02 * endpoint, 0.0)))
    sent = {1: 0, 2: 0}
    for id in range(40):
        [send] = of_type(StartAttempt, driver.request(id, load=1.0))
        driver.establish(send)
        sent[int(str(send.endpoint))] += 1
    assert min(sent.values()) >= 5  # both endpoints end at the same predicted load


def test_an_affinity_group_stays_at_one_endpoint_until_that_is_overloaded() -> None:
    """Each endpoint with sessions of a group bears the group's shared work.

    Placement by load alone spread each group over all endpoints.
    """
    driver = Driver(plain_settings(load_report_fields=("x0",)), map(entry, range(6)))
    for id in range(6):
        driver.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.03,)))
    endpoints = []
    for id in range(20):
        [send] = of_type(StartAttempt, driver.request(id, affinity_group=7 + id % 2))
        driver.establish(send)
        endpoints.append(send.endpoint)
    assert len(set(endpoints[0::2])) == len(set(endpoints[1::2])) == 1
    other = Driver(plain_settings(load_report_fields=("x0",)), map(entry, range(6)), seed=99)
    for id in range(6):
        other.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.03,)))
    # Another instance prefers the same endpoint.
    assert of_type(StartAttempt, other.request(1, affinity_group=7))[0].endpoint == endpoints[0]
    for _ in range(3):
        driver.feed(HealthCheckEnded(endpoints[0], AttemptResult.OK, 900, (1.5,)))
    assert of_type(StartAttempt, driver.request(50, affinity_group=7))[0].endpoint != endpoints[0]


def test_instances_that_share_nothing_place_an_affinity_group_together() -> None:
    """Spread over 826 endpoints, 99 groups caused shared work that alone filled all endpoints."""
    settings = plain_settings(balancers=200, load_report_fields=("x0",))
    endpoints = [entry(i) for i in range(1, 41)]
    endpoints_by_group: dict[int, set[EndpointId]] = {}
    for seed in range(10):
        driver = Driver(settings, endpoints, seed=seed)
        for endpoint in endpoints:
            driver.feed(HealthCheckEnded(endpoint.id, AttemptResult.OK, 900, (0.2 + 0.01 * seed,)))
        for group in range(1, 21):
            [send] = of_type(StartAttempt, driver.request(group, affinity_group=group))
            driver.establish(send)
            endpoints_by_group.setdefault(group, set()).add(send.endpoint)
    assert sum(map(len, endpoints_by_group.values())) <= 1.2 * len(endpoints_by_group)
    assert len(set().union(*endpoints_by_group.values())) > 12  # different groups prefer different endpoints


def test_an_affinity_group_goes_to_its_second_endpoint_where_the_first_is_overloaded() -> None:
    settings = plain_settings(balancers=200, load_report_fields=("x0",))
    endpoints = [entry(i) for i in range(1, 41)]
    found = set()
    for seed in range(10):
        driver = Driver(settings, endpoints, seed=seed)
        for endpoint in endpoints:
            driver.feed(HealthCheckEnded(endpoint.id, AttemptResult.OK, 900, (0.5,)))
        [first, second] = preferred_endpoints(77, list(driver.policy.model.endpoints.values()), 2)
        driver.feed(HealthCheckEnded(first.id, AttemptResult.OK, 900, (3.0,)))
        [send] = of_type(StartAttempt, driver.request(1, affinity_group=77))
        found.add(send.endpoint)
    assert found == {second.id}
