"""The endpoint list is never older than 6 s while discovery is reachable: many clients on a virtual clock."""

from __future__ import annotations

import random
from typing import Any, cast

import pytest
from twisted.internet.task import Clock as VirtualClock

from stepflow.address import Address
from stepflow.node.core import Core, Upstream
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.policy import Policy
from stepflow.upstream import EndpointGroup
from tests.node.discovery_kit import DiscoveryServer
from tests.node.runtime.virtual_clock import ManualClock
from tests.policy.driver import plain_settings

NODES = 200
MARGIN_S = 0.5


class NodeClients:
    """The discovery clients of many nodes, and for how long each has had no watch while the server was up."""

    def __init__(self, count: int, seed: int, state: str = "up") -> None:
        self.clock = VirtualClock()
        self.server = DiscoveryServer(self.clock)
        self.server.state = state
        self.clients, self.stale_s = [], [0.0] * count
        self.worst_stale_s = 0.0
        time = ManualClock(self.clock)
        reactor = cast(Reactor, self.clock)  # only its timers are used
        for number in range(count):
            timers = Timers(time, reactor, Counters())
            settings = plain_settings(polls_endpoint_list=True)
            policy = Policy(settings, seed * 1000 + number)
            counters = Counters()
            core = Core(policy, settings, time, timers, counters, 8)
            client = DiscoveryClient(
                self._connect, Address("h", 1), EndpointGroup((), ()), core, timers, counters
            )
            core.start(cast(Upstream, None), client, ())
            self.clients.append(client)

    def _connect(self, address: Address, factory: Any, timeout: float) -> Any:
        return self.server.connect(factory, timeout)

    def run(self, seconds: float) -> None:
        step = 0.05
        for _ in range(round(seconds / step)):
            self.clock.pump([0.01] * 5)
            watched = {id(transport.protocol) for transport in self.server.transports if transport.alive}
            for number, client in enumerate(self.clients):
                reached = self.server.state == "up"
                is_fresh = id(client._policy_watch._calls.watch) in watched
                self.stale_s[number] = 0.0 if is_fresh or not reached else self.stale_s[number] + step
            self.worst_stale_s = max(self.worst_stale_s, *self.stale_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("state", ["refuses", "hangs", "unreachable"])
def test_the_list_is_fresh_within_6_s_after_an_outage_ends(state: str, seed: int) -> None:
    """With delays of up to 0.75 of the settings' time, after calls of 4 s, it took 6 s to over 9 s."""
    nodes = NodeClients(NODES, seed)
    nodes.run(6)
    nodes.server.set_state(state)
    nodes.run(14 + random.Random(seed).random())
    nodes.server.set_state("up")
    nodes.run(9)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S


@pytest.mark.parametrize("state", ["refuses", "hangs", "unreachable"])
def test_the_list_is_fresh_within_6_s_for_nodes_that_start_during_an_outage(state: str) -> None:
    nodes = NodeClients(NODES, 4, state)
    nodes.run(2.2)
    nodes.server.set_state("up")
    nodes.run(9)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S


@pytest.mark.parametrize("fault", ["silence_watches", "reset_watches"])
def test_watches_that_all_end_at_once_are_reopened_within_6_s(fault: str) -> None:
    nodes = NodeClients(NODES, 5)
    nodes.run(6.7)
    getattr(nodes.server, fault)()
    nodes.run(9)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S


def test_the_list_is_fresh_within_2_s_after_a_change_of_address_in_an_outage() -> None:
    nodes = NodeClients(20, 6, "refuses")
    nodes.run(20)
    nodes.server.set_state("up")
    for client in nodes.clients:
        client.change_address(Address("h", 2))
    nodes.run(2)
    assert 0 < nodes.worst_stale_s < 2


@pytest.mark.parametrize("seed", range(6))
def test_the_list_is_fresh_within_6_s_after_outages_of_any_kind_in_any_order(seed: int) -> None:
    """Outages of all kinds and of random lengths, and watches that fall silent or are reset in between."""
    rng = random.Random(seed)
    nodes = NodeClients(40, seed)
    for _ in range(8):
        nodes.run(rng.uniform(0.2, 9))
        fault = rng.choice(["refuses", "hangs", "unreachable", "silence_watches", "reset_watches"])
        if fault in ("silence_watches", "reset_watches"):
            getattr(nodes.server, fault)()
        else:
            nodes.server.set_state(fault)
            nodes.run(rng.uniform(0.2, 12))
            nodes.server.set_state("up")
    nodes.run(8)
    assert 0 < nodes.worst_stale_s < 6 - MARGIN_S
