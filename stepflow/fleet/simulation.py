"""Simulation of a fleet: balancers with real policies, their clients, map servers, discovery and faults.

A discrete-event simulation in one thread. Each node has a `Policy`, and the simulation carries out its
actions as a real node does; it makes none of the decisions itself. This module owns the clock and the state
that all parts share (see context.py), starts the nodes, and passes events and actions between them and the
parts: clients, attempts, the endpoint list, faults.

Times are in microseconds since the start of the run. All random draws except the policies' own come from
named streams of one seed, so two runs with one seed simulate the same clients whatever the policies decide.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import numpy as np

from stepflow.fleet.attempts import Attempts
from stepflow.fleet.baselines import PolicyFactory
from stepflow.fleet.clients import Clients
from stepflow.fleet.endpoint_list import EndpointListService
from stepflow.fleet.event_queue import EventQueue
from stepflow.fleet.faults import Faults
from stepflow.fleet.latency_reports import LatencyReports
from stepflow.fleet.measurements import Measurements
from stepflow.fleet.observers import Observer
from stepflow.fleet.population import make_server, make_servers, place_sessions
from stepflow.fleet.sampling import Sampler
from stepflow.fleet.scenario import Scenario
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import Traffic, draw_traffic
from stepflow.interface import (
    CancelAttempt,
    EndpointListUpdate,
    Event,
    FailRequest,
    FetchEndpointList,
    ListUpdateKind,
    MigrateSession,
    RejectRequest,
    SetTimer,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
    WatchEndpointList,
)
from stepflow.policy import Policy


class Simulation:
    """One run of a scenario.

    Args:
        scenario: the scenario to simulate; values that it gives as a range are drawn for this run.
        seed: the seed of all random draws.
        policy_factory: makes each node's policy from its settings and a seed.
        policy_stream: names the stream of the policies' own seeds. Runs that differ only in this name have
            the same clients and servers, but the policies' own draws differ.
        observers: are called with all events and actions of the policies.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy_factory: PolicyFactory = Policy,
        policy_stream: object = "",
        observers: Sequence[Observer] = (),
    ) -> None:
        self.scenario = scenario = scenario.sampled(seed)
        self.seed, self._policy_factory = seed, policy_factory
        self._policy_stream = policy_stream
        self.traffic: Traffic = draw_traffic(scenario, seed)
        self._queue = EventQueue()
        self.classes = list(scenario.classes.values())
        self.servers: list[Server] = []
        self.servers_by_id: dict[str, Server] = {}
        self.sessions_by_class: dict[Server, list[int]] = {}
        for server in make_servers(scenario, seed):
            self.add_server(server)
        self.nodes = [Node(number, scenario.day.zones) for number in range(scenario.day.nodes)]
        self.measurements = Measurements.of(scenario)
        self.clients, self.attempts = Clients(self), Attempts(self)
        self.endpoint_list, self.faults = EndpointListService(self), Faults(self)
        self._sampler, self._latency_reports = Sampler(self), LatencyReports(self)
        self._observers = observers
        self._actions = self._action_handlers()

    def _action_handlers(self) -> dict[type, Callable[..., None]]:
        """Return the handler of each type of action; types that are not simulated are left out."""
        return {
            StartAttempt: self.attempts.start,
            StartHealthCheck: self.attempts.check_health,
            SetTimer: self._set_timer,
            RejectRequest: lambda node, a: self.clients.request_answered(
                node, a.request_id, False, a.retry_after_us
            ),
            FailRequest: lambda node, a: self.clients.request_answered(node, a.request_id, True, 0),
            MigrateSession: lambda node, a: self.attempts.migrate(node, a.request_id),
            CancelAttempt: lambda node, a: self.attempts.cancel(node, a.request_id),
            WatchEndpointList: lambda node, a: self.endpoint_list.watch(node),
            FetchEndpointList: lambda node, a: self.endpoint_list.watch(node),
        }

    def make_server(self, kind: int, uid: str, zone: int, rng: np.random.Generator) -> Server:
        """Make a server of a kind, with its parameters drawn from the kind's ranges."""
        return make_server(self.scenario, kind, uid, zone, rng)

    def add_server(self, server: Server) -> None:
        """Add a server to the fleet."""
        self.servers.append(server)
        self.servers_by_id[server.id] = server
        self.sessions_by_class[server] = [0] * len(self.classes)

    def place_sessions(self) -> list[int]:
        """Place the sessions that are established at the start; return the index of each session's server."""
        return place_sessions(self.scenario, self.seed, self.traffic, self.servers)

    @property
    def now(self) -> int:
        """The time in microseconds since the run began."""
        return self._queue.now

    def call_at(self, due: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        self._queue.call_at(due, call)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in microseconds."""
        self._queue.call_later(delay, call)

    def run(self) -> Measurements:
        """Run the scenario to its end; return the measurements taken after the warm-up.

        A simulation can be run only once.
        """
        day = self.scenario.day
        for node in self.nodes:
            node.endpoints = {entry.id: entry for entry in self.endpoint_list.entries()}
            self.start_node(node)
        for number, index in enumerate(self.place_sessions()):
            self.clients.add_established(number, self.servers[index])
        for number in range(self.traffic.established, len(self.traffic.at_us)):
            self.call_at(int(self.traffic.at_us[number]), partial(self.clients.arrive, number))
        for number, fault in enumerate(self.scenario.faults):
            self.call_at(int(fault.at * SECOND), partial(self.faults.begin, number, fault))
        self._sampler.start()
        self._latency_reports.start()
        end = int((day.warm + day.seconds) * SECOND)
        self._queue.run_until(end)
        self._sampler.close()
        for observer in self._observers:
            observer.run_ended(self.now, self.servers)
        return self.measurements

    @property
    def is_counting(self) -> bool:
        """Whether the warm-up is over."""
        return self.now >= self.scenario.day.warm * SECOND

    def start_node(self, node: Node) -> None:
        """Start a node's process; it gets the node's last endpoint list and no other state."""
        node.incarnation += 1
        node.down_since_us = -1
        node.clients, node.watching, node.shutting_down = {}, False, False
        settings = self.scenario.settings(node.number, self.now / SECOND)
        seed = int(
            stream(self.seed, "node", node.number, node.incarnation, self._policy_stream).integers(1 << 62)
        )
        node.policy = self._policy_factory(settings, seed)
        for observer in self._observers:
            observer.node_started(node.number, node.incarnation, settings)
        self.handle_event(node, Started())
        self.handle_event(node, EndpointListUpdate(ListUpdateKind.CACHED, tuple(node.endpoints.values())))

    def reload_settings(self) -> None:
        """Give all running nodes the settings that apply at the current time, as SIGHUP does."""
        for node in self.nodes:
            if node.policy is not None:
                node.policy.update_settings(self.scenario.settings(node.number, self.now / SECOND))

    def handle_event(self, node: Node, event: Event) -> None:
        """Pass an event to a node's policy and carry out its actions; do nothing while the node is down."""
        if node.policy is None:
            return
        if isinstance(event, EndpointListUpdate):
            node.update_endpoints(event)
        actions = node.policy.handle(self.now, event)
        for observer in self._observers:
            observer.event_handled(self.now, node.number, event, actions)
        for action in actions:
            call = self._actions.get(type(action))
            if call is not None:
                call(node, action)

    def _set_timer(self, node: Node, action: SetTimer) -> None:
        self.call_later(action.delay_us, partial(self._timer_fired, node, node.incarnation, action.token))

    def _timer_fired(self, node: Node, incarnation: int, token: int) -> None:
        if node.incarnation == incarnation:
            self.handle_event(node, TimerFired(token))
