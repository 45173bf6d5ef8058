"""The PID controller of the weights, the draw, and the price of crossings."""

from __future__ import annotations

import random

import pytest

from stepflow.interface import Availability, EndpointId, HealthCheckEnded, Prices, StartAttempt
from stepflow.policy import EndpointState, LoadModel, WeightController, weights
from tests.policy.driver import REPORTING, Driver, entry, only, placed, plain_settings


def test_pid_step_arithmetic() -> None:
    # One step of 1 s, average 1: errors 0.6 * +-0.5 = +-0.3, integrals 0.5 * +-0.3 = +-0.15,
    # derivatives 0.125 * (0 - +-0.3) = -+0.0375; changes +-0.4125, from equal weights and costs.
    settings = plain_settings()
    model = LoadModel(settings)
    controller = WeightController(settings, model, random.Random(1))
    members = [EndpointState(entry(i), 0.0) for i in (1, 2)]
    for server, predicted in zip(members, (1.5, 0.5), strict=True):
        server.cost, server.predicted_load = 1.0, predicted
    controller.adjust(members, 1.0, 1.0, 1.0)
    assert members[0].weight == pytest.approx(1 - 0.4125)
    assert members[1].weight == pytest.approx(1 + 0.4125)


def test_integral_and_weights_are_bounded() -> None:
    settings = plain_settings()
    controller = WeightController(settings, LoadModel(settings), random.Random(1))
    server = EndpointState(entry(1), 0.0)
    server.cost, server.predicted_load = 1.0, 50.0
    for _ in range(1000):
        controller.adjust([server], 1.0, 1.0, 1.0)
    assert server.error_sum == weights.MAX_ERROR_SUM
    assert server.weight == weights.WEIGHT_SPAN[0]
    server.predicted_load = 0.0
    for _ in range(20):
        controller.adjust([server], 1.0, 1.0, 1.0)
    assert server.weight == weights.WEIGHT_SPAN[1]


def test_the_draw_follows_the_weights() -> None:
    drive = Driver(plain_settings(), [entry(1), entry(2)])
    drive.policy.model.endpoints[1].weight = 3.0
    drive.policy.controller.tabulate(drive.now)
    counts: dict[EndpointId, int] = {1: 0, 2: 0}
    for id in range(400):
        counts[placed(drive, id)] += 1
    assert 260 <= counts[1] <= 340


def test_another_zone_is_used_once_the_gain_exceeds_its_price() -> None:
    """Near servers take what comes until they are jammed; then the far ones are worth the crossing."""
    settings = plain_settings(zone=1, zones=("a", "b"), prices=Prices(cross_zone=0.03), **REPORTING)
    for near_load, crosses in ((0.5, False), (1.2, True)):
        drive = Driver(settings, [entry(1, zone=1), entry(2, zone=0)])
        for _ in range(8):
            for server, load in ((1, near_load), (2, 0.05)):
                drive.feed(HealthCheckEnded(server, 0, 500, (load, 0.0)))
            drive.tick()
        sends = []
        for id in range(20):
            sends += only(StartAttempt, drive.request(id, load=0.001))
            drive.up(sends[-1])
        far = sum(send.endpoint == 2 for send in sends)
        assert far > 10 if crosses else far == 0


def test_a_zone_without_endpoints_does_not_keep_sessions_from_other_zones() -> None:
    # A lost zone's last load was kept, and kept its proxies' clients from the other zones.
    settings = plain_settings(prices=Prices(cross_zone=0.1))
    drive = Driver(settings, [entry(1), entry(2, zone=1), entry(3, zone=1)])
    drive.tick(10.0)
    assert [s.id for s in drive.policy.controller.listed] == [1]
    drive.news(entry(1, state=Availability.GONE))
    drive.tick(10.0)
    assert [s.id for s in drive.policy.controller.listed] == [2, 3]


def test_few_requests_take_few_controller_steps() -> None:
    # 739 proxies of 289 servers each ran out of CPU on their controller steps.
    drive = Driver(plain_settings(), [entry(i) for i in range(300)])
    steps = set()
    for _ in range(40):
        drive.tick()
        steps.add(drive.policy.controller.stepped_us)
    assert 4 <= len(steps) <= 6
