"""The load model: session loads, learned costs, and predictions."""

from __future__ import annotations

import pytest

from stepflow.interface import (
    AttemptEnded,
    AttemptResult,
    HealthCheckEnded,
    Request,
    RequestClass,
    SessionAdopted,
    SessionReport,
    SessionReportKind,
    StartAttempt,
)
from stepflow.policy import EndpointState, LoadModel, load_model
from tests.policy.driver import REPORTING, Driver, entry, only, plain_settings, standing_driver


def test_cost_learning() -> None:
    # 4 balancers, own load 50, as much pseudo-load: cost = 0.8 / (4 * (50 + 50)).
    model = LoadModel(plain_settings(balancers=4, load_report_fields=("eps", "x0")))
    server = model.endpoints[1] = EndpointState(entry(1), 0.0)
    server.load = model.own_load = 50.0
    share = model.pseudo_load()
    assert share == pytest.approx(50.0)  # mean own load of the one server is above twenty connections
    model.learn(1, server, (0.0, 0.8))
    assert server.cost == pytest.approx(0.8 / (4 * 100))
    assert server.predicted_load == pytest.approx(0.8)
    # A second report at once counts LEARN, a later one more.
    model.learn(1, server, (0.0, 1.6))
    assert server.cost == pytest.approx((0.8 + load_model.REPORT_WEIGHT * 0.8) / 400)


@pytest.mark.parametrize("report", [(), (float("nan"),), (float("inf"),), (-1.0,)])
def test_impossible_load_reports_are_dropped(report: tuple[float, ...]) -> None:
    model = LoadModel(plain_settings(load_report_fields=("x0",)))
    server = model.endpoints[1] = EndpointState(entry(1), 0.0)
    model.learn(0, server, report)
    assert not server.seen_us


def test_a_session_report_replaces_the_hint_until_the_session_ends() -> None:
    drive = Driver(plain_settings(), [entry(1)])
    [send] = only(StartAttempt, drive.request(1, load=8.0))
    server = drive.policy.model.endpoints[1]
    assert server.load == 8.0
    drive.up(send)
    drive.feed(SessionReport(1, 0, 1, SessionReportKind.LOAD, 12.0))
    assert server.load == 12.0
    drive.feed(SessionReport(1, 0, 1, SessionReportKind.LOAD, float("nan")))
    assert server.load == 12.0
    drive.end(send, AttemptResult.OK, complete=True)
    assert server.load == 0.0
    assert not drive.policy.requests


def test_adopted_sessions_count() -> None:
    drive = Driver(plain_settings(), [entry(1), entry(2)])
    drive.feed(SessionAdopted(Request(5, 0, 0, 3.0), 2))
    assert drive.policy.model.endpoints[2].load == 3.0
    drive.feed(AttemptEnded(5, 0, 2, AttemptResult.OK, True, 0))
    assert drive.policy.model.endpoints[2].load == 0.0


def test_adopted_sessions_and_session_reports_do_not_count_as_placed() -> None:
    """At a start 117 adopted connections were held to be a load of 10.8 that no report shows yet."""
    drive = standing_driver(0.5, 20)
    [send] = only(StartAttempt, drive.request(100, load=1.0))
    drive.up(send)
    server = drive.policy.model.endpoints[1]
    placed = server.placed_load
    drive.feed(SessionAdopted(Request(101, 0, 0, 1.0), 1))
    drive.feed(SessionReport(100, 0, 1, SessionReportKind.LOAD, 1.1))
    assert 0 < placed == server.placed_load


def test_a_load_report_is_compared_with_the_load_of_its_time() -> None:
    """Held against the load of this moment, a late report made each connection look lighter than it is."""
    drive = standing_driver(0.3, 20)
    drive.news(*(entry(id) for id in range(2, 6)))
    for id in range(100, 110):
        drive.feed(SessionAdopted(Request(id, 0, 0, 1.0), 1))
    for _ in range(8):
        drive.feed(HealthCheckEnded(1, 0, 500, (0.3, 0.0)))  # it does not hold the ten yet
    assert drive.policy.model.endpoints[1].predicted_load > 0.38


def test_a_live_weight_is_not_taken_for_a_size() -> None:
    """An empty server's weight was thirty times a full one's, and so was its pseudo-load."""
    drive = Driver(plain_settings(live_weights=True, **REPORTING), [entry(1, size=0.2), entry(2, size=6.0)])
    for id in range(30):
        drive.feed(SessionAdopted(Request(id, 0, 0, 1.0), 1))
    drive.news(entry(1, size=0.2))
    for _ in range(3):
        drive.tick()
        drive.feed(HealthCheckEnded(1, 0, 500, (0.6, 0.0)))
    drive.tick(4.0)
    empty = drive.policy.model.endpoints[2]
    assert empty.relative_size == 1.0 and empty.predicted_load < 0.6


def test_the_first_reported_load_rescales_all_loads() -> None:
    """A new node counts untold connections as 1 each; costs learned so made the first told load a jam."""
    drive = Driver(plain_settings(load_report_fields=("x0",)), [entry(1), entry(2)])
    for server in (1, 2):
        drive.feed(HealthCheckEnded(server, AttemptResult.OK, 900, (0.4,)))
    sends = [only(StartAttempt, drive.request(id))[0] for id in range(4)]
    for send in sends:
        drive.up(send)
    drive.tick()
    before = {id: server.predicted_load for id, server in drive.policy.model.endpoints.items()}
    drive.feed(SessionReport(0, 0, sends[0].endpoint, SessionReportKind.LOAD, 25_000.0))
    drive.tick()
    servers = drive.policy.model.endpoints
    assert {id: server.predicted_load for id, server in servers.items()} == pytest.approx(before, rel=0.2)
    assert sum(server.load for server in servers.values()) == pytest.approx(100_000.0)


def test_placements_count_before_the_first_step() -> None:
    """A restarted node's first second went to one server: without a cost nothing placed there counted."""
    drive = Driver(plain_settings(), [entry(1), entry(2)])
    [send] = only(StartAttempt, drive.request(1))
    assert drive.policy.model.endpoints[send.endpoint].placed_load > 0


def test_a_missing_load_is_the_usual_one_of_its_class() -> None:
    drive = Driver(plain_settings(classes=(RequestClass(), RequestClass())), [entry(1)])
    drive.request(1, load=10.0)
    drive.request(2, cls=1, load=60.0)
    drive.request(3, cls=0)
    drive.request(4, cls=1)
    assert drive.policy.model.endpoints[1].load == pytest.approx(140.0)


def test_costs_outlive_a_first_load_that_is_far_from_the_mean() -> None:
    """A first told load may be any: by costs in its unit a node held fresh servers to be at 15 to 60."""
    drive = Driver(plain_settings(balancers=40, load_report_fields=("x0",)), [entry(1), entry(2)])
    for id in (1, 2):
        drive.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.5,)))
    sends = [send for id in range(2) for send in only(StartAttempt, drive.request(id))]
    for send in sends:
        drive.up(send)
    drive.feed(SessionReport(0, 0, sends[0].endpoint, SessionReportKind.LOAD, 210.0))
    for id in (1, 2):
        drive.feed(HealthCheckEnded(id, AttemptResult.OK, 900, (0.5,)))
    drive.feed(SessionReport(1, 0, sends[1].endpoint, SessionReportKind.LOAD, 60_000.0))
    for _ in range(4):
        drive.tick()
    assert all(server.predicted_load < 1.0 for server in drive.policy.model.endpoints.values())
