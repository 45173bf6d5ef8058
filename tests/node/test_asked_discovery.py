"""How soon a node that asks discovery hears of news: one client on a virtual clock, outages of any kind."""

from __future__ import annotations

import random

import pytest
from twisted.internet.task import Clock as VirtualClock

from stepflow.interface import SafetyRules
from stepflow.node.discovery_call import IDLE_TIMEOUT
from tests.node.discovery_kit import DiscoveryServer, NodeClient

ASK_WITHIN_US = (400_000, 1_000_000, 2_000_000, 3_500_000, 5_900_000, 6_000_000, 10_000_000)
LONGEST_S = 6.0  # whatever the settings name
OUTAGES = ("hangs", "refuses", "unreachable")
SILENT_FOR_GOOD = ("hangs", "unreachable")  # what becomes of watches that were open


class AskingClient(NodeClient):
    """A node's client of a discovery that is asked."""

    def __init__(self, ask_within_us: int, state: str = "up", seed: int = 1) -> None:
        server = DiscoveryServer(VirtualClock())
        server.state = state
        super().__init__(server, SafetyRules(list_refresh_us=ask_within_us), polls=True, seed=seed)

    def end_outage(self) -> None:
        """Let discovery answer again, with news."""
        self.server.revision += 1
        self.server.set_state("up")


def heard_within_s(ask_within_us: int) -> float:
    """Return the time within which a node without a watch has to hear of what discovery has."""
    return min(ask_within_us / 1e6, LONGEST_S)


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("ask_within_us", ASK_WITHIN_US)
def test_news_of_an_outage_is_heard_within_the_time_for_asking(ask_within_us: int, outage: str) -> None:
    """Guards against a call without an answer that is waited for longer than the settings allow."""
    rng = random.Random(f"{ask_within_us} {outage}")
    node = AskingClient(ask_within_us, seed=rng.randrange(1 << 30))
    node.run(3.0)
    for _ in range(15):
        assert node.seconds_until_heard() == 0
        node.run(rng.uniform(0.05, 5))
        node.server.set_state(outage)
        silent_s = rng.choice((rng.uniform(0.05, 4), rng.uniform(4, 25)))
        node.run(silent_s)
        node.end_outage()
        # A watch that falls silent for good is known to be broken only once a heartbeat is missing.
        broken_s = IDLE_TIMEOUT.total_seconds() - silent_s if outage in SILENT_FOR_GOOD else 0.0
        assert node.seconds_until_heard() <= max(0.0, broken_s) + heard_within_s(ask_within_us)


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("length_s", [0.3, 0.7, 1.05, 3.0, 3.4, 23.0])
@pytest.mark.parametrize("ask_within_us", ASK_WITHIN_US)
def test_news_is_heard_in_time_by_a_node_that_starts_during_the_outage(
    ask_within_us: int, length_s: float, outage: str
) -> None:
    node = AskingClient(ask_within_us, state=outage)
    node.run(length_s)
    node.end_outage()
    assert node.seconds_until_heard() <= heard_within_s(ask_within_us)


def test_calls_of_an_outage_are_half_of_the_time_for_asking_apart_and_two_are_open_at_most() -> None:
    node = AskingClient(1_000_000)
    node.run(5)
    calls = node.server.calls
    node.server.set_state("hangs")
    node.run(3)  # until the watch is known to be broken
    for _ in range(200):
        node.run(0.05)
        assert sum(transport.open for transport in node.server.unanswered) <= 2
    assert 10 <= node.server.calls - calls <= 2 * 13 + 1


@pytest.mark.parametrize("ask_within_us", ASK_WITHIN_US)
def test_a_discovery_that_takes_longer_than_that_for_an_answer_is_heard_nevertheless(
    ask_within_us: int,
) -> None:
    """Guards against calls that are given up, and lose their place in the queue, again and again."""
    node = AskingClient(ask_within_us, state="hangs")
    node.server.SERVICE_TIME_S = 2.2
    node.end_outage()
    assert node.seconds_until_heard() <= LONGEST_S


def test_new_settings_change_how_soon_another_call_is_made() -> None:
    """Guards against a node that goes by the time of the settings that it was started with."""
    node = AskingClient(10_000_000, state="hangs")
    node.run(4)
    node.client.update_rules(SafetyRules(list_refresh_us=400_000))
    node.run(4)
    node.end_outage()
    assert node.seconds_until_heard() <= heard_within_s(400_000)


def test_a_call_that_fails_beside_another_one_is_not_reported_to_the_policy() -> None:
    """Guards against a poll of the policy that would replace the call that may still bring a list."""
    node = AskingClient(1_000_000, state="hangs")
    node.run(1.1)
    node.server.set_state("refuses")
    first = node.server.unanswered[0]
    node.run(0.7)
    assert first.open
