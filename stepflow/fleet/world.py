"""The model of the fleet: servers, clients, the list and what goes wrong, around real decision modules.

A discrete-event simulation on one heap of our own. Each node is a `Policy` that gets the events and whose
actions are carried out as the node does it; the world decides nothing that the module decides.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

import numpy as np

from stepflow import interface as face
from stepflow.fleet.scenario import Fault, Scenario
from stepflow.fleet.servers import SECOND, Server
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import CHANCES, LOADS, Traffic, draw
from stepflow.interface import Availability, ListForm, NoteKind, Result
from stepflow.policy import Policy

LOOK_US = 100_000  # between two looks at who is served
CONNECT_US = 200_000  # the most that a connection to a server takes to come up
PROBE_US = 250_000  # the most that a probe waits
NOTE_US = SECOND  # between two looks for late messages
AT_HOME = 0.7  # share of a group's standing connections at its homes
GIVE_UP = 12  # times that a client comes again in all
BACKOFF_US = 60_000  # of a client's first wait after a refusal or a failure; doubled each time


class Decides(Protocol):
    """What a node asks: the decision module, or a policy to hold it against."""

    def handle(self, now: int, event: face.Event) -> list[face.Action]: ...


Maker = Callable[[face.Settings, int], Decides]


class RandomChoice:
    """The baseline: any listed server at random, any number of attempts that the settings allow."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self._settings, self._rng = settings, stream(seed, "random choice")
        self._servers: dict[face.ServerId, face.Server] = {}
        self._open: dict[int, int] = {}

    def handle(self, now: int, event: face.Event) -> list[face.Action]:
        if isinstance(event, face.Started):
            return [face.Watch(True)]
        if isinstance(event, face.ServerList) and event.form != ListForm.FAILED:
            if event.form != ListForm.DELTA:
                self._servers.clear()
            for entry in event.servers:
                if entry.availability == Availability.READY:
                    self._servers[entry.id] = entry
                else:
                    self._servers.pop(entry.id, None)
        if isinstance(event, face.Request):
            self._open[event.id] = 0
            return self._try(event.id)
        if isinstance(event, face.Outcome):
            if event.complete:
                self._open.pop(event.request, None)
            elif event.request in self._open:
                return self._try(event.request)
        if isinstance(event, face.ClientGone):
            self._open.pop(event.request, None)
        return []

    def _try(self, id: int) -> list[face.Action]:
        if not self._servers or self._open[id] >= self._settings.limits.max_attempts:
            del self._open[id]
            return [face.Refuse(id)]
        self._open[id] += 1
        listed = list(self._servers)
        return [face.Send(id, listed[int(self._rng.integers(len(listed)))], 0)]


@dataclass(slots=True, eq=False)
class Client:
    """One client and its connection, from its first try until its time is over."""

    number: int
    cls: int
    group: int
    until: int  # when its time is over
    tries: int = 0
    waits: int = 0
    swing: int = 0
    load: float = 1.0
    node: Node | None = None
    server: Server | None = None
    request: int = -1
    expires: int = 0
    attempt: int = -1
    out: int = 0  # the number of the attempt that is out; 0 for none
    sent_us: int = 0
    up: bool = False
    returned: bool = False
    done: bool = False


class Node:
    """One instance: its module, and the requests that it holds."""

    def __init__(self, number: int) -> None:
        self.number, self.life = number, 0
        self.policy: Decides | None = None
        self.clients: dict[int, Client] = {}
        self.dead_since = -1
        self.watching = False


@dataclass
class Tally:
    """What a run counts, from the end of its warm-up on."""

    wanted: Any  # by second and class: worth of the connection-seconds asked for
    served: Any
    requests: int = 0
    attempts: int = 0
    refused: int = 0
    failed: int = 0
    late_fails: int = 0
    moves: int = 0
    probes: int = 0
    lines: int = 0  # of the list
    fallen: int = 0
    broken: int = 0
    asked_work: float = 0.0
    wasted_work: float = 0.0
    imbalance: list[float] = field(default_factory=list)  # each second: deviation of load over capacity


class World:
    """One day."""

    def __init__(self, scenario: Scenario, seed: int, maker: Maker = Policy, luck: object = "") -> None:
        self.scenario, self.seed, self._maker = scenario, seed, maker
        self._luck_of = luck  # of the modules' own draws: the day's are the same whatever it is
        self.traffic: Traffic = draw(scenario, seed)
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = self._requests = self._attempts = self._rev = 0
        self.servers = self._make_servers()
        self._names = {server.uid: server for server in self.servers}
        self._list_down = False
        self._store_free = 0.0
        self.nodes = [Node(number) for number in range(scenario.day.nodes)]
        self._front = stream(seed, "front")
        self._luck = stream(seed, "reports")
        self._classes = classes = list(scenario.classes.values())
        seconds = int(scenario.day.warm + scenario.day.seconds) + 1
        self._worth = np.array([cls.worth for cls in classes])
        self._aims = [cls.message_ms / 1000 for cls in classes]
        shape = (seconds, len(classes))
        self.tally = Tally(np.zeros(shape), np.zeros(shape))
        self._wants: dict[Client, None] = {}
        self._standing: dict[Server, list[int]] = {s: [0] * len(classes) for s in self.servers}

    def _make_servers(self) -> list[Server]:
        day, kinds = self.scenario.day, list(self.scenario.kinds.values())
        shares = np.array([kind.share for kind in kinds])
        counts = np.floor(shares / shares.sum() * day.servers).astype(int)
        counts[np.argmax(shares)] += day.servers - counts.sum()
        made: list[Server] = []
        rng = stream(self.seed, "servers")
        for number, (kind, count) in enumerate(zip(kinds, counts, strict=True)):
            for _ in range(count):
                speed, cold_from, cold_s = (
                    float(rng.uniform(*span)) for span in (kind.speed, kind.cold_from, kind.cold_s)
                )
                aim = min(cls.message_ms for cls in self.scenario.classes.values()) / 1000
                made.append(
                    Server(
                        f"s-{len(made)}", number, int(kind.cores), speed, 0.0, cold_from, cold_s,
                        cap=int(750 * kind.cores), group_load=day.group_load,
                        message_s=day.message_share * aim / speed,
                    )
                )  # fmt: skip
        return made

    def _place_standing(self) -> list[int]:
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
        self.at(self.now + int(span), call)

    def run(self) -> Tally:
        """The whole day."""
        day = self.scenario.day
        for node in self.nodes:
            self._begin(node)
        for number, place in enumerate(self._place_standing()):
            self._stand(number, self.servers[place])
        for number in range(self.traffic.stood, len(self.traffic.at_us)):
            self.at(int(self.traffic.at_us[number]), partial(self._arrive, number))
        for number, fault in enumerate(self.scenario.faults):
            self.at(int(fault.at * SECOND), partial(self._fault, number, fault))
        self.at(LOOK_US, self._look)
        self.at(NOTE_US, self._notes)
        end = int((day.warm + day.seconds) * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return self.tally

    @property
    def counting(self) -> bool:
        return self.now >= self.scenario.day.warm * SECOND

    # Nodes and their modules.

    def _begin(self, node: Node) -> None:
        node.life += 1
        node.dead_since = -1
        node.clients, node.watching = {}, False
        settings = self.scenario.settings(node.number)
        seed = int(stream(self.seed, "node", node.number, node.life, self._luck_of).integers(1 << 62))
        node.policy = self._maker(settings, seed)
        self._feed(node, face.Started())
        self._feed(node, face.ServerList(ListForm.CACHED, self._entries(self.servers)))

    def _entries(self, servers: Sequence[Server]) -> tuple[face.Server, ...]:
        return tuple(
            face.Server(s.uid, 0, s.kind, 0, s.state, 1.0, s.started_us) for s in servers if s.started_us >= 0
        )

    def _feed(self, node: Node, event: face.Event) -> None:
        if node.policy is None:
            return
        life = node.life
        for action in node.policy.handle(self.now, event):
            if isinstance(action, face.Send):
                self._send(node, action)
            elif isinstance(action, face.SetTimer):
                self.after(action.delay_us, partial(self._timer, node, life, action.token))
            elif isinstance(action, face.Probe):
                self._probe(node, action)
            elif isinstance(action, face.Refuse):
                self._answered(node, action.request, False, action.retry_after_us)
            elif isinstance(action, face.Fail):
                self._answered(node, action.request, True, 0)
            elif isinstance(action, face.Move):
                self._move(node, action.request)
            elif isinstance(action, face.Cancel):
                client = node.clients.get(action.request)
                if client is not None and client.out and not client.up:
                    self._ended(client, Result.CANCELLED)
            elif isinstance(action, face.Watch):
                self._watch(node)
            elif isinstance(action, face.FetchList):
                self._tell_list(node, node.life, None)

    def _timer(self, node: Node, life: int, token: int) -> None:
        if node.life == life:
            self._feed(node, face.Timer(token))

    # Clients.

    def _client(self, number: int) -> Client:
        traffic = self.traffic
        life = float(traffic.life_s[number])
        leaves = traffic.chances[number, 0] < self.scenario.day.leave
        if leaves:
            life *= float(traffic.chances[number, 1])
        client = Client(
            number, int(traffic.cls[number]), int(traffic.group[number]), self.now + int(life * SECOND)
        )
        client.load = float(traffic.loads[number, 0])
        self._wants[client] = None
        self.at(client.until, partial(self._over, client))
        return client

    def _stand(self, number: int, server: Server) -> None:
        client = self._client(number)
        node = self.nodes[int(self._front.integers(len(self.nodes)))]
        client.server, client.node, client.tries = server, node, 1
        self._requests += 1
        client.request, client.attempt, client.up = self._requests, 0, True
        client.out = -1
        node.clients[client.request] = client
        self._joined(client)
        request = face.Request(client.request, client.cls, 0, group=client.group)
        self._feed(node, face.Adopted(request, server.uid))
        self._swing(client, client.request, 0)

    def _arrive(self, number: int) -> None:
        self._open(self._client(number))

    def _open(self, client: Client) -> None:
        """One try: a connection to some node through the front."""
        if client.done:
            return
        day, cls = self.scenario.day, self._classes[client.cls]
        node = self._pick_node(client)
        client.tries += 1
        self._requests += 1
        self.tally.requests += self.counting and client.tries == 1
        client.request, client.attempt, client.out, client.up = self._requests, -1, 0, False
        client.expires = self.now + int(cls.wait_ms * 1000)
        client.node = node
        if node is None:
            self.after(BACKOFF_US, partial(self._again, client, client.request, 0))
            return
        self.after(day.trip_us, partial(self._taken, client, client.request, node))

    def _pick_node(self, client: Client) -> Node | None:
        """The front sends to a dead node until it notices."""
        low, high = self.scenario.day.front_s
        chances = self.traffic.chances[client.number]
        notice = int((low + (high - low) * chances[2]) * SECOND)
        known = [n for n in self.nodes if n.dead_since < 0 or self.now < n.dead_since + notice]
        return known[int(self._front.integers(len(known)))] if known else None

    def _taken(self, client: Client, request: int, node: Node) -> None:
        if client.done or client.request != request:
            return
        if node.policy is None:
            self._again(client, request, 0)
            return
        node.clients[request] = client
        repeated = client.tries > 1 and not client.returned
        self._feed(
            node,
            face.Request(
                request, client.cls, client.expires, None, 0, client.number, client.group, repeated, False,
                client.returned,
            ),
        )  # fmt: skip

    def _answered(self, node: Node, request: int, failed: bool, advice_us: int) -> None:
        client = node.clients.get(request)
        if client is None or client.up:
            return
        if self.counting:
            self.tally.refused += not failed
            self.tally.failed += failed
            self.tally.late_fails += self.now >= client.expires
        if client.out:
            self._ended(client, Result.CANCELLED, answered=True)
        node.clients.pop(request, None)
        self.after(self.scenario.day.trip_us, partial(self._again, client, request, advice_us))

    def _again(self, client: Client, request: int, advice_us: int) -> None:
        """After a refusal, a failure or a dead node."""
        if client.done or client.request != request or client.up:
            return
        client.waits += 1
        if client.waits > self.scenario.day.retries + GIVE_UP:
            return
        wait = BACKOFF_US * 2 ** min(client.waits - 1, 5)
        chance = float(self.traffic.chances[client.number, 3 + client.waits % (CHANCES - 3)])
        client.request = -1
        self.after(max(advice_us, wait * (0.5 + chance)), partial(self._open, client))

    def _back(self, client: Client) -> None:
        """A connection broke, or was moved: its client comes again."""
        if client.done:
            return
        low, high = self.scenario.day.back_ms
        client.waits = 0
        client.returned, client.request = True, -1
        chance = float(self.traffic.chances[client.number, 3 + client.tries % (CHANCES - 3)])
        self.after(1000 * (low + (high - low) * chance), partial(self._open, client))

    def _over(self, client: Client) -> None:
        """Its time is over."""
        client.done = True
        self._wants.pop(client, None)
        node = client.node
        if node is None or client.request not in node.clients:
            return
        if client.up:
            self._ended(client, Result.CANCELLED)
        else:
            request = client.request
            self._feed(node, face.ClientGone(request))
            if client.out:
                self._ended(client, Result.CANCELLED, answered=True)
            node.clients.pop(request, None)

    def _swing(self, client: Client, request: int, number: int) -> None:
        """The connection's load changes over time, and its server tells so."""
        if client.done or client.request != request or not client.up or client.server is None:
            return
        if number:
            server, load = client.server, float(self.traffic.loads[client.number, number])
            server.advance(self.now)
            server.load += load - client.load
            client.load = load
        if client.node is not None:
            self._feed(
                client.node,
                face.Note(request, client.attempt, client.server.uid, NoteKind.LOAD, client.load * 1000),
            )
        client.swing = number
        if number + 1 < LOADS:
            span = float(self.traffic.swings_s[client.number, number]) * SECOND
            self.after(span, partial(self._swing, client, request, number + 1))

    # Attempts.

    def _send(self, node: Node, action: face.Send) -> None:
        client = node.clients.get(action.request)
        if client is None or client.out:
            return
        server = self._names[str(action.server)]
        self._attempts += 1
        client.attempt, client.out, client.sent_us = client.attempt + 1, self._attempts, self.now
        client.server = server
        self.tally.attempts += self.counting
        left = client.expires - self.now
        wait = min(action.timeout_us, left) if action.timeout_us else left
        trip = self.scenario.day.trip_us
        attempt = client.out
        if not server.runs:
            self.after(2 * trip, partial(self._attempt_ends, client, attempt, Result.CONNECT_FAILED))
            return
        self.after(max(1, wait), partial(self._attempt_ends, client, attempt, Result.TIMEOUT))
        if not server.hung:
            self.after(2 * trip, partial(self._reaches, client, attempt, server))

    def _reaches(self, client: Client, attempt: int, server: Server) -> None:
        """The line is at the server."""
        if client.out != attempt:
            return
        if not server.runs:
            self._ended(client, Result.CONNECT_FAILED)
            return
        if server.state != Availability.READY or server.connections >= server.cap:
            self.after(self.scenario.day.trip_us, partial(self._attempt_ends, client, attempt, Result.FULL))
            return
        day, cls = self.scenario.day, self._classes[client.cls]
        work = cls.work_ms / 1000 * float(self.traffic.work[client.number])
        server.add(self.now, work)
        server.setups += work
        if self.counting:
            self.tally.asked_work += work
        if server.overrun(self.now, work + client.load / server.per_core * day.fall_s, day.fall_times,
                          int(day.fall_s * SECOND)):  # fmt: skip
            self._fall(server)
            return
        # The session store takes its calls in turn.
        gap = SECOND / (day.store * day.rate)
        self._store_free = max(self._store_free + gap, float(self.now))
        store = self._store_free - self.now + 5000
        ready = server.wait_s(self.now) * SECOND + work / server.speed * SECOND + store
        self.after(ready + self.scenario.day.trip_us, partial(self._comes_up, client, attempt, server, work))

    def _comes_up(self, client: Client, attempt: int, server: Server, work: float) -> None:
        if client.out != attempt or not server.runs or server.hung:
            if self.counting:
                self.tally.wasted_work += work
            return
        client.up, client.out = True, -1
        client.waits, client.returned = 0, False
        self._joined(client)
        node = client.node
        if node is not None:
            wait = self.now - client.sent_us
            self._feed(node, face.Established(client.request, client.attempt, server.uid, wait))
        self._swing(client, client.request, client.swing)

    def _joined(self, client: Client) -> None:
        server = client.server
        if server is not None:
            server.advance(self.now)
            server.hold(client.group, client.load)
            self._standing[server][client.cls] += 1

    def _attempt_ends(self, client: Client, attempt: int, result: Result) -> None:
        if client.out == attempt:
            self._ended(client, result)

    def _ended(self, client: Client, result: Result, answered: bool = False) -> None:
        """The one place that ends an attempt, before it is up or after."""
        node, server, up, request = client.node, client.server, client.up, client.request
        client.out, client.up = 0, False
        if up and server is not None:
            server.advance(self.now)
            server.release(client.group, client.load)
            self._standing[server][client.cls] -= 1
        if node is None or server is None:
            return
        complete = up or answered
        if up:
            node.clients.pop(request, None)
        wait = self.now - client.sent_us
        self._feed(node, face.Outcome(request, client.attempt, server.uid, result, complete, wait))

    def _move(self, node: Node, request: int) -> None:
        client = node.clients.get(request)
        if client is not None and client.up:
            self.tally.moves += self.counting
            self._ended(client, Result.CANCELLED)
            self._back(client)

    # Probes and the list.

    def _report(self, server: Server) -> tuple[float, ...]:
        noise = 1 + self.scenario.day.report_noise * float(self._luck.standard_normal())
        rho = server.rho(self.now)
        return rho * noise, server.wait_s(self.now), min(1.0, rho * noise)

    def _probe(self, node: Node, action: face.Probe) -> None:
        server, life = self._names[str(action.server)], node.life
        self.tally.probes += self.counting
        server.probes += 1
        if not server.runs or server.hung:
            result = Result.TIMEOUT if server.hung else Result.CONNECT_FAILED
            wait = PROBE_US if server.hung else 2 * self.scenario.day.trip_us
            self.after(wait, partial(self._probed, node, life, server, result, (), self.now))
            return
        server.add(self.now, self.scenario.day.probe_us / SECOND)
        low, high = self.scenario.day.report_s
        # A report is as old as its last refresh: what is told is read then, and told now.
        late = float(self._luck.uniform(0, (low + high) / 2)) * SECOND
        wait = 2 * self.scenario.day.trip_us + server.wait_s(self.now) * SECOND
        if not server.report or self.now - server.report_us > late:
            server.report, server.report_us = self._report(server), self.now
        result = Result.OK if wait <= PROBE_US else Result.TIMEOUT
        answer = server.report if result == Result.OK else ()
        self.after(min(wait, PROBE_US), partial(self._probed, node, life, server, result, answer, self.now))

    def _probed(
        self, node: Node, life: int, server: Server, result: Result, report: tuple[float, ...], asked: int
    ) -> None:
        if node.life == life:
            self._feed(node, face.Probed(server.uid, result, self.now - asked, report))

    def _watch(self, node: Node) -> None:
        if self._list_down:
            self.after(50_000, partial(self._tell_list, node, node.life, ListForm.FAILED))
            return
        node.watching = True
        self._tell_list(node, node.life, None)

    def _tell_list(self, node: Node, life: int, form: ListForm | None, *changed: Server) -> None:
        if node.life != life or node.policy is None:
            return
        if form == ListForm.FAILED or self._list_down:
            node.watching = False
            self._feed(node, face.ServerList(ListForm.FAILED, ()))
        elif form == ListForm.DELTA:
            self.tally.lines += self.counting * len(changed)
            self._feed(node, face.ServerList(ListForm.DELTA, self._entries(changed)))
        else:
            self.tally.lines += self.counting * len(self.servers)
            self._feed(node, face.ServerList(ListForm.FULL, self._entries(self.servers)))

    def _change(self, server: Server) -> None:
        """The list tells of a server, some seconds late."""
        low, high = self.scenario.day.list_s
        late = float(stream(self.seed, "list", self._rev).uniform(low, high)) * SECOND
        self._rev += 1
        self.after(late, partial(self._tell_all, server))

    def _tell_all(self, server: Server) -> None:
        for node in self.nodes:
            if node.watching:
                self._tell_list(node, node.life, ListForm.DELTA, server)

    # What goes wrong.

    def _fall(self, server: Server) -> None:
        """It goes down, and its connections with it."""
        server.fallen, server.state = True, 2
        self.tally.fallen += 1
        self._cut(server)
        self._change(server)

    def _cut(self, server: Server) -> None:
        for node in self.nodes:
            for client in [c for c in node.clients.values() if c.server is server and (c.up or c.out)]:
                up = client.up
                self.tally.broken += self.counting and up
                self._ended(client, Result.RESET)
                if up:
                    self._back(client)

    def _fault(self, number: int, fault: Fault) -> None:
        rng = stream(self.seed, "fault", number)
        end = fault.lasts * SECOND
        if fault.what == "list-down":
            self._list_down = True
            for node in self.nodes:
                if node.watching:
                    self._tell_list(node, node.life, ListForm.FAILED)
            self.after(end, partial(setattr, self, "_list_down", False))
        elif fault.what == "restart":
            count = max(1, round(fault.part * len(self.nodes)))
            batch = max(1, round(fault.at_once * len(self.nodes)))
            order = rng.permutation(len(self.nodes))[:count]
            steps = -(-count // batch)
            for place, node in enumerate(order):
                self.after(end * (place // batch) / steps, partial(self._kill, self.nodes[int(node)]))
        elif fault.what != "burst":
            running = [s for s in self.servers if s.runs and s.state == 0 and not s.hung]
            count = min(len(running), max(1, round(fault.part * len(self.servers))))
            for pick in rng.permutation(len(running))[:count]:
                self._spoil(running[int(pick)], fault.what, end)

    def _spoil(self, server: Server, what: str, end: float) -> None:
        if what == "hang":
            server.hung = True
            self.after(end, partial(setattr, server, "hung", False))
        elif what == "crash":
            self._fall(server)
        elif what == "drain":
            server.state = int(Availability.DRAINING)
            self._change(server)
            self.after(end, partial(self._stop, server))
        else:  # it starts anew, cold
            server.state = int(Availability.GONE)
            self._cut(server)
            self._change(server)
            self.after(end, partial(self._start, server))

    def _stop(self, server: Server) -> None:
        server.state = int(Availability.GONE)
        self._cut(server)
        self._change(server)

    def _start(self, server: Server) -> None:
        server.state, server.started_us, server.pile, server.at_us = 0, self.now, 0.0, self.now
        self._change(server)

    def _kill(self, node: Node) -> None:
        """The node's process dies: its connections break, and it comes back in a moment."""
        node.life += 1
        node.policy, node.dead_since = None, self.now
        for client in list(node.clients.values()):
            if client.up and client.server is not None:
                client.server.advance(self.now)
                client.server.release(client.group, client.load)
                self._standing[client.server][client.cls] -= 1
                self.tally.broken += self.counting
            client.out, client.up, client.node = 0, False, None
            self._back(client)
        node.clients = {}
        down = float(stream(self.seed, "down", node.number, node.life).uniform(0.8, 2.0))
        self.after(down * SECOND, partial(self._begin, node))

    # What is counted.

    def _look(self) -> None:
        second = self.now // SECOND
        if self.counting and second < len(self.tally.wanted):
            span = LOOK_US / SECOND
            for client in self._wants:
                self.tally.wanted[second, client.cls] += span * self._worth[client.cls]
            for server, counts in self._standing.items():
                for cls, count in enumerate(counts):
                    if count:
                        share = server.on_time(self.now, self._aims[cls])
                        self.tally.served[second, cls] += span * self._worth[cls] * count * share
            if self.now % SECOND == 0:
                loads = [server.rho(self.now) for server in self.servers if server.runs]
                self.tally.imbalance.append(float(np.std(loads)))
        self.after(LOOK_US, self._look)

    def _notes(self) -> None:
        """Late messages are noted once a second by one connection of each node and server."""
        late = min(self._aims) / 3
        for node in self.nodes:
            seen: set[str] = set()
            for client in list(node.clients.values()):
                server = client.server
                if client.up and server is not None and server.uid not in seen:
                    seen.add(server.uid)
                    delay = 2.0 if server.hung else server.delay_s(self.now)
                    if delay > late:
                        note = face.Note(
                            client.request, client.attempt, server.uid, NoteKind.DELAY, delay * 1000
                        )
                        self._feed(node, note)
        self.after(NOTE_US, self._notes)


@dataclass(frozen=True)
class Score:
    """The figures of one run; the parts and the price of each deduction as the brief counts them."""

    service: float
    whole: float
    worst_window: float
    worst_class: float
    waste: float
    late_fail: float
    moves: float
    lines: float
    probes: float
    fallen: int
    imbalance: float

    @property
    def net(self) -> float:
        """Service less the deductions."""
        return self.service - self.waste - self.late_fail - self.moves - self.lines - self.probes


def score(scenario: Scenario, tally: Tally) -> Score:
    """Service: 60% the whole, 5% the worst 10 s, 35% the worst class; then what each deduction takes."""
    first = int(scenario.day.warm)
    wanted, served = tally.wanted[first:], tally.served[first:]
    whole = _share(served.sum(), wanted.sum())
    window = min(
        (_share(served[i : i + 10].sum(), wanted[i : i + 10].sum()) for i in range(max(1, len(wanted) - 10))),
        default=1.0,
    )
    present = [cls for cls in range(wanted.shape[1]) if wanted[:, cls].sum() > 0]
    worst = min((_share(served[:, cls].sum(), wanted[:, cls].sum()) for cls in present), default=1.0)
    requests = max(1, tally.requests)
    return Score(
        service=0.6 * whole + 0.05 * window + 0.35 * worst,
        whole=whole,
        worst_window=window,
        worst_class=worst,
        waste=0.05 * min(1.0, tally.wasted_work / tally.asked_work) if tally.asked_work else 0.0,
        late_fail=0.042 * min(1.0, tally.late_fails / requests),
        moves=0.02 * tally.moves / requests,
        lines=0.005 * tally.lines / 100 / requests,
        probes=0.004 * tally.probes / requests,
        fallen=tally.fallen,
        imbalance=float(np.mean(tally.imbalance)) if tally.imbalance else 0.0,
    )


def _share(part: float, whole: float) -> float:
    return float(part / whole) if whole > 0 else 1.0
