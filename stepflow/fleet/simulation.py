"""The model of the fleet: servers, clients, the list and what goes wrong, around real decision modules.

A discrete-event simulation on one heap of our own. Each node is a `Policy` that gets the events and whose
actions are carried out as the node does it; the world decides nothing that the module decides. The world has
the time and ties its rooms together: clients, attempts, the list, faults.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

import numpy as np

from stepflow.fleet.attempts import Attempts
from stepflow.fleet.baselines import Maker
from stepflow.fleet.clients import Clients
from stepflow.fleet.endpoint_list import Listing
from stepflow.fleet.faults import Faults
from stepflow.fleet.measurements import Tally
from stepflow.fleet.scenario import Scenario
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.state import Node
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import Traffic, draw
from stepflow.interface import (
    Action,
    CancelAttempt,
    EndpointListUpdate,
    Event,
    FailRequest,
    FetchEndpointList,
    ListUpdateKind,
    MigrateSession,
    RejectRequest,
    SessionReport,
    SessionReportKind,
    SetTimer,
    Settings,
    StartAttempt,
    Started,
    StartHealthCheck,
    TimerFired,
    WatchEndpointList,
)
from stepflow.policy import Policy

LOOK_US = 100_000  # between two looks at who is served
NOTE_US = SECOND  # between two looks for late messages
SILENT_US = 2 * SECOND  # after which a node sends away those whose server answers none of them
AT_HOME = 0.7  # share of a group's standing connections at its homes
CAP_CORE = 750  # connections that a server takes for each of its cores


class Ear(Protocol):
    """Whoever listens to the nodes of a day: a referee, or a recorder of their traffic."""

    def begins(self, node: int, life: int, settings: Settings) -> None:
        """A node's process starts."""

    def heard(self, now: int, node: int, event: Event, actions: list[Action]) -> None:
        """What a node's module heard, and what it wants done."""

    def close(self, now: int, servers: Sequence[Server]) -> None:
        """The day is over."""


class World:
    """One day."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        maker: Maker = Policy,
        luck: object = "",
        ears: Sequence[Ear] = (),
    ) -> None:
        self.scenario = scenario = scenario.drawn(seed)
        self.seed, self._maker = seed, maker
        self._luck_of = luck  # of the modules' own draws: the day's are the same whatever it is
        self.traffic: Traffic = draw(scenario, seed)
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.classes = classes = list(scenario.classes.values())
        self._kinds = list(scenario.kinds)
        self.servers: list[Server] = []
        self.names: dict[str, Server] = {}
        self.standing: dict[Server, list[int]] = {}
        for server in self._make_servers():
            self.add(server)
        self.nodes = [Node(number, scenario.day.zones) for number in range(scenario.day.nodes)]
        seconds = int(scenario.day.warm + scenario.day.seconds) + 1
        self._worth = np.array([cls.worth for cls in classes])
        self._aims = [cls.message_ms / 1000 for cls in classes]
        shape = (seconds, len(classes))
        self.tally = Tally(np.zeros(shape), np.zeros(shape))
        self.clients, self.attempts = Clients(self), Attempts(self)
        self.listing, self.faults = Listing(self), Faults(self)
        self._ears = ears
        self._actions: dict[type, Callable[..., None]] = {
            StartAttempt: self.attempts.send,
            StartHealthCheck: self.attempts.probe,
            SetTimer: lambda node, a: self.after(a.delay_us, partial(self._timer, node, node.life, a.token)),
            RejectRequest: lambda node, a: self.clients.answered(node, a.request_id, False, a.retry_after_us),
            FailRequest: lambda node, a: self.clients.answered(node, a.request_id, True, 0),
            MigrateSession: lambda node, a: self.attempts.move(node, a.request_id),
            CancelAttempt: lambda node, a: self.attempts.cancel(node, a.request_id),
            WatchEndpointList: lambda node, a: self.listing.watch(node),
            FetchEndpointList: lambda node, a: self.listing.watch(node),
        }

    def make_server(self, kind: int, uid: str, zone: int, rng: np.random.Generator) -> Server:
        """A server of a kind, its own figures drawn."""
        told, day = list(self.scenario.kinds.values())[kind], self.scenario.day
        speed, cold_from, cold_s = (
            float(rng.uniform(*span)) for span in (told.speed, told.cold_from, told.cold_s)
        )
        aim = min(cls.message_ms for cls in self.classes) / 1000
        return Server(
            uid,
            kind,
            int(told.cores),
            speed,
            0.0,
            cold_from,
            cold_s,
            cap=int(CAP_CORE * told.cores),
            group_load=day.group_load,
            message_s=day.message_share * aim / speed,
            zone=zone,
        )

    def _make_servers(self) -> list[Server]:
        day, kinds = self.scenario.day, list(self.scenario.kinds.values())
        shares = np.array([kind.share for kind in kinds])
        counts = np.floor(shares / shares.sum() * day.servers).astype(int)
        counts[np.argmax(shares)] += day.servers - counts.sum()
        rng = stream(self.seed, "servers")
        made: list[Server] = []
        for number, count in enumerate(counts):
            for _ in range(count):
                made.append(self.make_server(number, f"s-{len(made)}", len(made) % max(1, day.zones), rng))
        return made

    def add(self, server: Server) -> None:
        """A server that is there from now on."""
        self.servers.append(server)
        self.names[server.uid] = server
        self.standing[server] = [0] * len(self.classes)

    def place_standing(self) -> list[int]:
        """Where each connection that stands at the start does; that also settles what fills a core.

        Most of a group's stand at its two homes, as a policy that keeps groups together leaves them.
        """
        day, traffic, count = self.scenario.day, self.traffic, self.traffic.stood
        sizes = np.array([server.cores * server.speed for server in self.servers])
        chances = sizes / sizes.sum()
        rng = stream(self.seed, "stands")
        homes = rng.choice(len(self.servers), (day.groups + 1, 2), p=chances)
        at_home = homes[traffic.group[:count], rng.integers(0, 2, count)]
        anywhere = rng.choice(len(self.servers), count, p=chances)
        places = np.where(rng.random(count) < AT_HOME, at_home, anywhere)
        held = len(np.unique(np.stack([places, traffic.group[:count]]), axis=1).T)
        asked = float(traffic.loads[:count, 0].sum()) + day.group_load * held
        for server in self.servers:
            server.per_core = max(1e-9, asked / (day.utilization * float(sizes.sum())))
        return [int(place) for place in places]

    # Time.

    def at(self, due: int, call: Callable[[], None]) -> None:
        """Have this called at a time."""
        self._count += 1
        heapq.heappush(self._heap, (max(due, self.now), self._count, call))

    def after(self, span: float, call: Callable[[], None]) -> None:
        """Have this called after so many microseconds."""
        self.at(self.now + int(span), call)

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
        self.at(LOOK_US, self._look)
        self.at(NOTE_US, self._notes)
        end = int((day.warm + day.seconds) * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        for server in self.servers:
            if server.looks:
                means = self.tally.server_load.setdefault(self._kinds[server.kind], [])
                means.append(server.loads_seen / server.looks)
        for ear in self._ears:
            ear.close(self.now, self.servers)
        return self.tally

    @property
    def counting(self) -> bool:
        return self.now >= self.scenario.day.warm * SECOND

    # Nodes and their modules.

    def begin(self, node: Node) -> None:
        """A node's process starts, with the list that it last held and nothing else."""
        node.life += 1
        node.dead_since = -1
        node.clients, node.watching, node.leaving = {}, False, False
        settings = self.scenario.settings(node.number, self.now / SECOND)
        seed = int(stream(self.seed, "node", node.number, node.life, self._luck_of).integers(1 << 62))
        node.policy = self._maker(settings, seed)
        for ear in self._ears:
            ear.begins(node.number, node.life, settings)
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
            ear.heard(self.now, node.number, event, actions)
        for action in actions:
            call = self._actions.get(type(action))
            if call is not None:
                call(node, action)

    def _timer(self, node: Node, life: int, token: int) -> None:
        if node.life == life:
            self.feed(node, TimerFired(token))

    # What is counted.

    def _look(self) -> None:
        second = self.now // SECOND
        if self.counting and second < len(self.tally.wanted):
            span = LOOK_US / SECOND
            for client in self.clients.wanting:
                self.tally.wanted[second, client.cls] += span * self._worth[client.cls]
            unheard = self._unheard()
            for server, counts in self.standing.items():
                for cls, count in enumerate(counts):
                    count -= unheard.get((server, cls), 0)
                    if count:
                        share = server.on_time(self.now, self._aims[cls])
                        self.tally.served[second, cls] += span * self._worth[cls] * count * share
            if self.now % SECOND == 0:
                self._look_at_loads()
        self.after(LOOK_US, self._look)

    def _look_at_loads(self) -> None:
        """Once a second: how full the fleet is, by kind and by server."""
        running = [server for server in self.servers if server.runs]
        self.tally.imbalance.append(float(np.std([server.rho(self.now) for server in running])))
        rooms, asks = [0.0] * len(self._kinds), [0.0] * len(self._kinds)
        for server in running:
            rooms[server.kind] += server.capacity(self.now)
            asks[server.kind] += server.asked()
            server.loads_seen += server.rho(self.now)
            server.looks += 1
        self.tally.peak_load = max(self.tally.peak_load, sum(asks) / sum(rooms) if running else 0.0)
        for kind, room, asked in zip(self._kinds, rooms, asks, strict=True):
            self.tally.kind_load.setdefault(kind, []).append(asked / room if room else 0.0)

    def _unheard(self) -> dict[tuple[Server, int], int]:
        """Connections that stand at servers that their node does not reach."""
        found: dict[tuple[Server, int], int] = {}
        for node in self.nodes if self.faults.any_silent else ():
            for client in node.clients.values():
                server = client.server
                if not client.up or server is None or server.hung:
                    continue
                if self.faults.silent_since(node, server) is not None:
                    found[server, client.cls] = found.get((server, client.cls), 0) + 1
        return found

    def _notes(self) -> None:
        """Late messages are noted once a second by one connection of each node and server.

        As in the node's pulse: silence is noted as well, and after two seconds ends all connections there.
        """
        late = min(self._aims) / 3
        for node in self.nodes:
            seen: set[str] = set()
            for client in list(node.clients.values()):
                server = client.server
                if not client.up or server is None:
                    continue
                since = self.faults.silent_since(node, server)
                if since is not None and self.now - since >= SILENT_US:
                    self.attempts.broken(client)
                elif server.uid not in seen:
                    seen.add(server.uid)
                    delay = server.delay_s(self.now) if since is None else (self.now - since) / SECOND
                    if delay > late:
                        note = SessionReport(
                            client.request, client.attempt, server.uid, SessionReportKind.DELAY, delay * 1000
                        )
                        self.feed(node, note)
        self.after(NOTE_US, self._notes)
