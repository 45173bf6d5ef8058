"""The model of the fleet: servers, clients, the list and what goes wrong, around real decision modules.

A discrete-event simulation on one heap of our own. Each node is a `Policy` that gets the events and whose
actions are carried out as the node does it; the world decides nothing that the module decides. The world has
the time and ties its rooms together: clients, attempts, the list, faults.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import numpy as np

from stepflow.fleet.attempts import Attempts
from stepflow.fleet.baselines import Maker
from stepflow.fleet.clients import Clients
from stepflow.fleet.endpoint_list import Listing
from stepflow.fleet.event_queue import EventQueue
from stepflow.fleet.faults import Faults
from stepflow.fleet.latency_reports import LatencyReports
from stepflow.fleet.measurements import Tally
from stepflow.fleet.observers import Observer
from stepflow.fleet.population import make_server, make_servers, place_sessions
from stepflow.fleet.sampling import Sampler
from stepflow.fleet.scenario import Scenario
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import Traffic, draw
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


class World:
    """One day."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        maker: Maker = Policy,
        luck: object = "",
        ears: Sequence[Observer] = (),
    ) -> None:
        self.scenario = scenario = scenario.drawn(seed)
        self.seed, self._maker = seed, maker
        self._luck_of = luck  # of the modules' own draws: the day's are the same whatever it is
        self.traffic: Traffic = draw(scenario, seed)
        self._queue = EventQueue()
        self.classes = list(scenario.classes.values())
        self.servers: list[Server] = []
        self.names: dict[str, Server] = {}
        self.standing: dict[Server, list[int]] = {}
        for server in make_servers(scenario, seed):
            self.add(server)
        self.nodes = [Node(number, scenario.day.zones) for number in range(scenario.day.nodes)]
        self.tally = Tally.of(scenario)
        self.clients, self.attempts = Clients(self), Attempts(self)
        self.listing, self.faults = Listing(self), Faults(self)
        self._sampler, self._latency_reports = Sampler(self), LatencyReports(self)
        self._ears = ears
        self._actions = self._action_handlers()

    def _action_handlers(self) -> dict[type, Callable[..., None]]:
        """What carries out each type of action; those that the model has no part for are left out."""
        return {
            StartAttempt: self.attempts.send,
            StartHealthCheck: self.attempts.probe,
            SetTimer: self._set_timer,
            RejectRequest: lambda node, a: self.clients.answered(node, a.request_id, False, a.retry_after_us),
            FailRequest: lambda node, a: self.clients.answered(node, a.request_id, True, 0),
            MigrateSession: lambda node, a: self.attempts.move(node, a.request_id),
            CancelAttempt: lambda node, a: self.attempts.cancel(node, a.request_id),
            WatchEndpointList: lambda node, a: self.listing.watch(node),
            FetchEndpointList: lambda node, a: self.listing.watch(node),
        }

    def make_server(self, kind: int, uid: str, zone: int, rng: np.random.Generator) -> Server:
        """Make a server of a kind, with figures of its own drawn from the kind's ranges."""
        return make_server(self.scenario, kind, uid, zone, rng)

    def add(self, server: Server) -> None:
        """Add a server to the fleet."""
        self.servers.append(server)
        self.names[server.uid] = server
        self.standing[server] = [0] * len(self.classes)

    def place_standing(self) -> list[int]:
        """Place the sessions that are established at the start; returns the index of each one's server."""
        return place_sessions(self.scenario, self.seed, self.traffic, self.servers)

    @property
    def now(self) -> int:
        """Microseconds since the run began."""
        return self._queue.now

    def at(self, due: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        self._queue.at(due, call)

    def after(self, span: float, call: Callable[[], None]) -> None:
        """Schedule a call so many microseconds from now."""
        self._queue.after(span, call)

    def run(self) -> Tally:
        """The whole day."""
        day = self.scenario.day
        for node in self.nodes:
            node.known = {entry.id: entry for entry in self.listing.entries()}
            self.begin(node)
        for number, place in enumerate(self.place_standing()):
            self.clients.stand(number, self.servers[place])
        for number in range(self.traffic.stood, len(self.traffic.at_us)):
            self.at(int(self.traffic.at_us[number]), partial(self.clients.arrive, number))
        for number, fault in enumerate(self.scenario.faults):
            self.at(int(fault.at * SECOND), partial(self.faults.begin, number, fault))
        self._sampler.start()
        self._latency_reports.start()
        end = int((day.warm + day.seconds) * SECOND)
        self._queue.run_until(end)
        self._sampler.close()
        for ear in self._ears:
            ear.run_ended(self.now, self.servers)
        return self.tally

    @property
    def counting(self) -> bool:
        """Whether the warm-up is over."""
        return self.now >= self.scenario.day.warm * SECOND

    def begin(self, node: Node) -> None:
        """A node's process starts, with the list that it last held and nothing else."""
        node.life += 1
        node.dead_since = -1
        node.clients, node.watching, node.leaving = {}, False, False
        settings = self.scenario.settings(node.number, self.now / SECOND)
        seed = int(stream(self.seed, "node", node.number, node.life, self._luck_of).integers(1 << 62))
        node.policy = self._maker(settings, seed)
        for ear in self._ears:
            ear.node_started(node.number, node.life, settings)
        self.feed(node, Started())
        self.feed(node, EndpointListUpdate(ListUpdateKind.CACHED, tuple(node.known.values())))

    def retune(self) -> None:
        """SIGHUP at all nodes: those that run take the settings that hold now."""
        for node in self.nodes:
            if node.policy is not None:
                node.policy.update_settings(self.scenario.settings(node.number, self.now / SECOND))

    def feed(self, node: Node, event: Event) -> None:
        """Hand an event to a node's module, and carry out what it says."""
        if node.policy is None:
            return
        if isinstance(event, EndpointListUpdate):
            node.told(event)
        actions = node.policy.handle(self.now, event)
        for ear in self._ears:
            ear.event_handled(self.now, node.number, event, actions)
        for action in actions:
            call = self._actions.get(type(action))
            if call is not None:
                call(node, action)

    def _set_timer(self, node: Node, action: SetTimer) -> None:
        self.after(action.delay_us, partial(self._timer_fired, node, node.life, action.token))

    def _timer_fired(self, node: Node, life: int, token: int) -> None:
        if node.life == life:
            self.feed(node, TimerFired(token))
