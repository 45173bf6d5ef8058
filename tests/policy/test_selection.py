"""Candidates, their health checks, affinity groups, and admission."""

from __future__ import annotations

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
    entry,
    only,
    overloaded_driver,
    plain_settings,
    standing_driver,
)


def test_candidates_are_checked_and_the_best_one_is_chosen() -> None:
    # A proxy with few requests never holds fresh reports of a large fleet.
    drive = Driver(plain_settings(balancers=50, **REPORTING), [entry(i) for i in range(40)])
    probed_count = 0
    for id in range(20):
        probes = only(StartHealthCheck, drive.request(id, wait_us=20 * SECOND))
        probed_count += len(probes)
        assert 1 <= len(probes) <= selection.MAX_CANDIDATES
        loads = {probe.endpoint: 0.1 * (k + 1) for k, probe in enumerate(probes)}
        best = min(loads, key=lambda server: loads[server])
        sends = [
            s
            for p in probes
            for s in only(
                StartAttempt, drive.feed(HealthCheckEnded(p.endpoint, 0, 500, (loads[p.endpoint], 0.0)))
            )
        ]
        assert [s.endpoint for s in sends] == [best]
        drive.up(sends[0])
        drive.end(sends[0], AttemptResult.OK, complete=True)
        drive.now += 2 * SECOND
    assert probed_count > 40


def test_a_candidate_that_does_not_answer_is_passed_over() -> None:
    drive = Driver(plain_settings(**REPORTING), [entry(i) for i in range(400)])
    [*silent, answered] = [p.endpoint for p in only(StartHealthCheck, drive.request(1))]
    assert silent
    assert not only(StartAttempt, drive.feed(HealthCheckEnded(answered, 0, 500, (0.5, 0.0))))
    drive.now += 100_000
    [send] = only(StartAttempt, drive.feed(TimerFired(FIRST_REQUEST_TOKEN + 1)))
    assert send.endpoint == answered


def test_near_saturation_the_least_priority_weight_is_rejected_first() -> None:
    low, high = admission.ADMISSION_LIMITS
    assert only(StartAttempt, overloaded_driver(low - 0.01).request(1, cls=0))
    assert only(RejectRequest, overloaded_driver(low + 0.01).request(1, cls=0))
    assert only(StartAttempt, overloaded_driver(high - 0.01).request(1, cls=1))
    assert only(RejectRequest, overloaded_driver(high + 0.01).request(1, cls=1))


def test_a_burst_between_two_reports_is_rejected_once_it_fills_the_endpoint() -> None:
    """Bogota, overload: two boxes' clients came together and were all let in by reports of before."""
    drive = standing_driver(0.5, 20)
    let_in = 0
    for id in range(100, 140):
        for send in only(StartAttempt, drive.request(id, load=1.0)):
            drive.up(send)
            let_in += 1
    # 20 connections are reported as 0.5, with a pseudo-load of 20 beside them: each is held to add 0.0125.
    assert 10 <= let_in <= 20


def test_a_request_rejected_for_load_is_told_when_to_retry() -> None:
    # Refused clients came again at once, fifteen for each new one, and were refused again.
    [refuse] = only(RejectRequest, overloaded_driver(2.0).request(1))
    assert 500_000 <= refuse.retry_after_us <= 1_000_000


def test_a_burst_is_spread_before_any_report() -> None:
    # Seen on a day with a hang: all clients of the lost server went to the one held emptiest.
    drive = Driver(plain_settings(**REPORTING), [entry(1), entry(2)])
    for server in (1, 2):
        drive.feed(HealthCheckEnded(server, AttemptResult.OK, 500, (0.02 * server, 0.0)))
    sent = {1: 0, 2: 0}
    for id in range(40):
        [send] = only(StartAttempt, drive.request(id, load=1.0))
        drive.up(send)
        sent[int(str(send.endpoint))] += 1
    assert min(sent.values()) >= 5  # and both end at the same predicted load


def test_an_affinity_group_stays_together_where_load_allows() -> None:
    """Every server that holds any of a group pays for it; by load alone each group was everywhere."""
    drive = Driver(plain_settings(load_report_fields=("x0",)), map(entry, range(6)))
    for id in range(6):
        drive.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.03,)))
    servers = []
    for id in range(20):
        [send] = only(StartAttempt, drive.request(id, affinity_group=7 + id % 2))
        drive.up(send)
        servers.append(send.endpoint)
    assert len(set(servers[0::2])) == len(set(servers[1::2])) == 1
    other = Driver(plain_settings(load_report_fields=("x0",)), map(entry, range(6)), seed=99)
    for id in range(6):
        other.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.03,)))
    assert (
        only(StartAttempt, other.request(1, affinity_group=7))[0].endpoint == servers[0]
    )  # instances look alike
    for _ in range(3):
        drive.feed(HealthCheckEnded(servers[0], AttemptResult.OK, 900, (1.5,)))
    assert only(StartAttempt, drive.request(50, affinity_group=7))[0].endpoint != servers[0]


def test_instances_that_share_nothing_place_an_affinity_group_together() -> None:
    """On roll+mass, seed 3, 99 groups came to stand in 826 places, and that load alone filled the fleet."""
    settings = plain_settings(balancers=200, load_report_fields=("x0",))
    servers = [entry(i) for i in range(1, 41)]
    where: dict[int, set[EndpointId]] = {}
    for seed in range(10):
        drive = Driver(settings, servers, seed=seed)
        for server in servers:
            drive.feed(HealthCheckEnded(server.id, AttemptResult.OK, 900, (0.2 + 0.01 * seed,)))
        for group in range(1, 21):
            [send] = only(StartAttempt, drive.request(group, affinity_group=group))
            drive.up(send)
            where.setdefault(group, set()).add(send.endpoint)
    assert sum(map(len, where.values())) <= 1.2 * len(where)
    assert len(set().union(*where.values())) > 12  # and the groups themselves lie apart


def test_an_affinity_group_goes_to_its_second_endpoint_where_the_first_is_overloaded() -> None:
    settings = plain_settings(balancers=200, load_report_fields=("x0",))
    servers = [entry(i) for i in range(1, 41)]
    found = set()
    for seed in range(10):
        drive = Driver(settings, servers, seed=seed)
        for server in servers:
            drive.feed(HealthCheckEnded(server.id, AttemptResult.OK, 900, (0.5,)))
        [home, second] = preferred_endpoints(77, list(drive.policy.model.endpoints.values()), 2)
        drive.feed(HealthCheckEnded(home.id, AttemptResult.OK, 900, (3.0,)))
        [send] = only(StartAttempt, drive.request(1, affinity_group=77))
        found.add(send.endpoint)
    assert found == {second.id}
