"""The PID controller of the weights, the draw, and the price of crossing zones."""

from __future__ import annotations

import random

import pytest

from stepflow.interface import Availability, EndpointId, HealthCheckEnded, Prices, StartAttempt
from stepflow.policy import EndpointState, LoadModel, WeightController, weights
from tests.policy.driver import REPORTING, Driver, entry, of_type, placed_endpoint, plain_settings


def test_a_pid_step_changes_the_weights_by_the_calculated_amounts() -> None:
    # One step of 1 s, mean 1: errors 0.6 * +-0.5 = +-0.3, integrals 0.5 * +-0.3 = +-0.15,
    # derivatives 0.125 * (0 - +-0.3) = -+0.0375; changes +-0.4125, from equal weights and costs.
    settings = plain_settings()
    model = LoadModel(settings)
    controller = WeightController(settings, model, random.Random(1))
    members = [EndpointState(entry(i), 0.0) for i in (1, 2)]
    for endpoint, predicted in zip(members, (1.5, 0.5), strict=True):
        endpoint.cost, endpoint.predicted_load = 1.0, predicted
    controller.adjust(members, 1.0, 1.0, 1.0)
    assert members[0].weight == pytest.approx(1 - 0.4125)
    assert members[1].weight == pytest.approx(1 + 0.4125)


def test_integral_and_weights_are_bounded() -> None:
    settings = plain_settings()
    controller = WeightController(settings, LoadModel(settings), random.Random(1))
    endpoint = EndpointState(entry(1), 0.0)
    endpoint.cost, endpoint.predicted_load = 1.0, 50.0
    for _ in range(1000):
        controller.adjust([endpoint], 1.0, 1.0, 1.0)
    assert endpoint.error_sum == weights.MAX_ERROR_SUM
    assert endpoint.weight == weights.WEIGHT_RANGE[0]
    endpoint.predicted_load = 0.0
    for _ in range(20):
        controller.adjust([endpoint], 1.0, 1.0, 1.0)
    assert endpoint.weight == weights.WEIGHT_RANGE[1]


def test_the_draw_follows_the_weights() -> None:
    driver = Driver(plain_settings(), [entry(1), entry(2)])
    driver.policy.model.endpoints[1].weight = 3.0
    driver.policy.weights.rebuild_draw_table(driver.now)
    counts: dict[EndpointId, int] = {1: 0, 2: 0}
    for id in range(400):
        counts[placed_endpoint(driver, id)] += 1
    assert 260 <= counts[1] <= 340


@pytest.mark.parametrize(("own_zone_load", "crosses"), [(0.5, False), (1.2, True)])
def test_another_zone_is_used_once_the_gain_exceeds_its_price(own_zone_load: float, crosses: bool) -> None:
    """Endpoints of the own zone are preferred until they are overloaded."""
    settings = plain_settings(zone=1, zones=("a", "b"), prices=Prices(cross_zone=0.03), **REPORTING)
    driver = Driver(settings, [entry(1, zone=1), entry(2, zone=0)])
    for _ in range(8):
        for endpoint, load in ((1, own_zone_load), (2, 0.05)):
            driver.feed(HealthCheckEnded(endpoint, 0, 500, (load, 0.0)))
        driver.tick()
    sends = []
    for id in range(20):
        sends += of_type(StartAttempt, driver.request(id, load=0.001))
        driver.establish(sends[-1])
    crossings = sum(send.endpoint == 2 for send in sends)
    assert crossings > 10 if crosses else crossings == 0


def test_a_zone_without_endpoints_does_not_keep_sessions_from_other_zones() -> None:
    # When the last load of a lost zone was kept, its clients never reached the other zones.
    settings = plain_settings(prices=Prices(cross_zone=0.1))
    driver = Driver(settings, [entry(1), entry(2, zone=1), entry(3, zone=1)])
    driver.tick(10.0)
    assert [s.id for s in driver.policy.weights.drawable] == [1]
    driver.update_list(entry(1, availability=Availability.GONE))
    driver.tick(10.0)
    assert [s.id for s in driver.policy.weights.drawable] == [2, 3]


def test_few_requests_take_few_controller_steps() -> None:
    # Too many steps use up the CPU, as with 739 instances of 289 endpoints each.
    driver = Driver(plain_settings(), [entry(i) for i in range(300)])
    steps = set()
    for _ in range(40):
        driver.tick()
        steps.add(driver.policy.weights.stepped_us)
    assert 4 <= len(steps) <= 6
