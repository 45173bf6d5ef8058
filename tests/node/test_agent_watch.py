"""How soon a node hears of what its agent has: one client on a virtual clock, and outages of any kind."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest
from twisted.internet.task import Clock as VirtualClock

from stepflow.address import Address
from stepflow.interface import SafetyRules
from stepflow.node.agent_watch import SILENCE_LIMIT
from stepflow.upstream.agent_schedule import HOLD_UP_US, call_interval_us
from tests.node.discovery_kit import STEP_S, DiscoveryServer, NodeClient, ServerTransport

GRACES_US = (250_000, 500_000, 900_000, 4_000_000)
OUTAGES = ("holds", "hangs", "refuses", "unreachable")
SILENT_FOR_GOOD = ("hangs", "unreachable")  # what becomes of watches that were open


class AgentServer(DiscoveryServer):
    """The agent: one caller, calls of any age are answered, and outages in which calls and watches go on."""

    SERVICE_TIME_S, MAX_QUEUE_TIME_S = 0.001, 1e9

    def __init__(self, clock: VirtualClock) -> None:
        self.held: list[ServerTransport] = []
        super().__init__(clock)

    def request_received(self, transport: ServerTransport) -> None:
        super().request_received(transport)
        if self.state == "holds":
            self.queue.append((self.clock.seconds(), transport))

    def _serve(self) -> None:
        if self.state == "holds":
            self.clock.callLater(self.SERVICE_TIME_S, self._serve)
        else:
            super()._serve()

    def begin_outage(self, state: str) -> None:
        if state == "holds":
            self.state, self.held, self.transports = state, self.transports, []
        else:
            self.set_state(state)

    def end_outage(self) -> None:
        """Speak again, with news."""
        self.revision += 1
        if self.state == "holds":
            self.transports, self.held = self.held, []
            self.tell()
        self.state = "up"

    def tell(self) -> None:
        """Send the list to all open watches."""
        for transport in self.transports:
            if transport.alive:
                transport.send(self.whole_list())


class AgentClient(NodeClient):
    """A node's client of its agent."""

    def __init__(self, grace_us: int, state: str = "up") -> None:
        self.agent = AgentServer(VirtualClock())
        self.agent.state = state
        super().__init__(self.agent, SafetyRules(drain_grace_us=grace_us), polls=False)


def heard_within_s(grace_us: int) -> float:
    """Return the time within which a node has to hear of what its agent has."""
    return (grace_us - HOLD_UP_US) / 1e6


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("grace_us", GRACES_US)
def test_news_of_an_outage_is_heard_within_the_grace_period_whatever_its_length(
    grace_us: int, outage: str
) -> None:
    """Guards against waits between calls that grow with an outage, beyond what the settings allow."""
    rng = random.Random(f"{grace_us} {outage}")
    node = AgentClient(grace_us)
    for _ in range(15):
        node.run(rng.uniform(0.05, 5))
        assert node.seconds_until_heard() == 0
        node.agent.begin_outage(outage)
        silent_s = rng.choice((rng.uniform(0.05, 4), rng.uniform(4, 25)))
        node.run(silent_s)
        node.agent.end_outage()
        # A watch that falls silent for good is known to be broken only once a heartbeat is missing.
        broken_s = SILENCE_LIMIT.total_seconds() - silent_s if outage in SILENT_FOR_GOOD else 0.0
        assert node.seconds_until_heard() <= max(0.0, broken_s) + heard_within_s(grace_us)


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("length_s", [0.3, 0.7, 1.05, 3.0, 3.4, 23.0])
def test_news_is_heard_in_time_by_a_node_that_starts_during_the_outage(length_s: float, outage: str) -> None:
    node = AgentClient(500_000, state=outage)
    node.run(length_s)
    node.agent.end_outage()
    assert node.seconds_until_heard() <= heard_within_s(500_000)


@pytest.mark.parametrize("outage", OUTAGES)
def test_news_is_heard_in_time_after_a_change_of_address_during_the_outage(outage: str) -> None:
    node = AgentClient(500_000)
    node.run(3.1)
    node.agent.begin_outage(outage)
    node.run(7.3)
    node.client.change_address(Address("h", 2))
    node.run(4.1)
    node.agent.end_outage()
    assert node.seconds_until_heard() <= heard_within_s(500_000)


@pytest.mark.parametrize("outage", OUTAGES)
def test_new_settings_change_how_soon_news_is_heard(outage: str) -> None:
    """Guards against a node that goes by the grace period of the settings that it was started with."""
    node = AgentClient(4_000_000)
    node.run(3)
    node.agent.begin_outage(outage)
    node.run(6)
    node.client.update_rules(SafetyRules(drain_grace_us=250_000))
    for _ in range(10):
        node.run(1.237)
        node.agent.end_outage()
        assert node.seconds_until_heard() <= heard_within_s(250_000)
        node.agent.begin_outage(outage)
        node.run(3)


def test_change_that_stops_amid_its_value_is_heard_from_a_new_call() -> None:
    """Guards against a node that waits for the rest of a change as long as for a heartbeat."""
    node = AgentClient(500_000)
    node.run(3.3)
    node.agent.revision += 1
    for transport in node.agent.transports:
        transport.send(node.agent.whole_list()[:10])
    assert node.seconds_until_heard() <= heard_within_s(500_000)


def test_watch_that_has_missed_a_heartbeat_is_replaced_though_it_speaks_again() -> None:
    """Guards against trust in a watch that may have missed changes while it was silent."""
    node = AgentClient(500_000)
    node.run(5)
    silent = node.agent.transports[:]
    node.agent.begin_outage("holds")
    node.run(6)
    node.agent.revision += 1
    node.agent.held, node.agent.state = [], "up"
    for transport in silent:
        transport.send(b"\n")
    assert node.seconds_until_heard() <= heard_within_s(500_000)


@pytest.mark.parametrize("outage", OUTAGES)
def test_calls_of_an_outage_are_an_interval_apart_and_two_are_open_at_most(outage: str) -> None:
    node = AgentClient(500_000)
    node.run(5)
    calls = node.agent.calls
    node.agent.begin_outage(outage)
    interval = timedelta(microseconds=call_interval_us(SafetyRules(drain_grace_us=500_000)))
    for _ in range(200):
        node.run(0.05)
        open_calls = [transport for _, transport in node.agent.queue if transport.open]
        assert len(open_calls) + sum(transport.open for transport in node.agent.held) <= 2
    assert node.agent.calls - calls <= 10 / interval.total_seconds() + 1


def test_an_agent_that_ends_each_watch_is_not_called_without_a_pause() -> None:
    node = AgentClient(500_000)
    for _ in range(2000):
        node.agent.reset_watches()
        node.run(STEP_S)
    interval_s = call_interval_us(SafetyRules(drain_grace_us=500_000)) / 1e6
    assert 10 / interval_s / 2 < node.agent.calls <= 10 / interval_s + 1


def test_watch_that_ends_after_a_while_is_restarted_at_once() -> None:
    node = AgentClient(500_000)
    node.run(3)
    node.agent.reset_watches()
    node.agent.revision += 1
    assert node.seconds_until_heard() <= 0.02
