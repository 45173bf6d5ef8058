"""The decisions of one instance: events in, actions out."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from functools import partial

from stepflow.budgets.attempt_throttle import THROTTLE_S, AttemptThrottle
from stepflow.budgets.slow_start import SlowStartBudget
from stepflow.estimates.arrivals import ArrivalEstimate
from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    Availability,
    CancelAttempt,
    ClientDisconnected,
    DeduplicationScope,
    EndpointId,
    EndpointListUpdate,
    Event,
    FailRequest,
    HealthCheckEnded,
    Idempotency,
    ListUpdateKind,
    MigrateSession,
    PeerMessageReceived,
    RejectRequest,
    Request,
    SessionAdopted,
    SessionEstablished,
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
from stepflow.policy.load_model import HEALTH_FLOOR, EndpointState, LoadModel, RequestState, clamp
from stepflow.policy.weights import JAM, WeightController, harm
from stepflow.rendezvous import preferred_endpoints
from stepflow.upstream.poll_schedule import PollSchedule

SECOND = 1_000_000

TICK_US = 500_000  # between two controller steps; reports are no fresher than that
SHOWN_STEPS = 2  # so many ticks ago is what a report speaks of
STEP_WORK = 8_000  # at one request a second, a step waits this long (us) for each server; at two, half
STEP_MOST_US = 4_000_000  # but no longer than this
# Probes.
PROBE_SPEND = 0.002  # points for probes in turn
DRAWN_SPEND = 0.006  # and for those of servers drawn for a request
PROBE_EVERY_S = 1.0  # as often as a server is probed at the most
JAMMED_ASK_US = 900_000  # between probes of a jammed server: reports are refreshed about once a second
CANDIDATES = 3  # servers drawn for a request, at the most
HOMES = 2  # and of those that hold its group: every server that holds any of it pays for it once
GROUP_PRICE = 0.3  # harm that a place with less is held to do: 1.5 loads come beside the one that is served
PROBES_SAVED = 20.0  # unspent probes of drawn servers that are kept
REPORT_FRESH_US = 700_000  # a drawn server's report is asked for anew when older than this
PROBE_WAIT_US = 10_000  # a request waits for its probes this long at the least
# Admission: a server loaded this much takes no more of the class worth least, and of that worth most.
REFUSE_AT = (0.7, 0.9)
# Attempts.
FIRST_WAIT_US = 150_000  # guess of a set-up's time before any was seen
WAIT_LEARN = 0.1  # share of a new set-up's time in the usual one
WAIT_TIMES = 4.0  # a time-out in usual set-up times
WAIT_SPAN = (0.15, 0.5)  # a time-out's bounds as shares of the time left
HOLD_US = (100_000, 400_000)  # a throttled or failed request waits this long for its next attempt
SHED_US = 2_000_000  # a connection reset sooner never really stood
BACK_OFF = 1.25  # a time-out that was met was too short, if others' were as well
# Moves.
MOVE_PACE = 4.0  # moves for each fresh request: all moved clients set up again
MOVE_FROM, MOVE_TO = 0.9, 0.7  # load at which a server is jammed, and what it's brought down to
DELAY_FRESH_US = 2_500_000  # notes come once a second while messages take long
MOVE_SETTLE_US = 2_000_000  # moves show in reports after this; moving again before would empty the server
MOVE_GAIN_S = 5.0  # seconds of good service that a move is held to win

TICK_TOKEN, ASK_TOKEN, FIRST_REQUEST_TOKEN = 0, 1, 16


class Policy:
    """The decisions of one instance: handle(now, event) returns the actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng, self.model = random.Random(seed), LoadModel(settings)
        self.controller = WeightController(settings, self.model, self.rng)
        self.throttle = AttemptThrottle()
        self.cold: list[EndpointState] = []
        self.requests: dict[int, RequestState] = {}
        self.holders: dict[int, dict[EndpointId, EndpointState]] = {}  # where a group has own connections
        self.held: dict[int, None] = {}  # requests that wait for the throttle to open, in order
        self.actions: list[Action] = []
        self.now = self.stepped_us = 0
        self.arrivals, self.asking, self.ramp = ArrivalEstimate(), PollSchedule(self.rng), SlowStartBudget()
        self.unshown = 0.0  # load that all instances put on a server before its reports tell
        self.wait_us = float(FIRST_WAIT_US)
        self.probe_budget = self.drawn_budget = self.move_budget = self.probe_wait_us = 0.0
        self.probing: dict[EndpointId, None] = {}  # probes that are out
        self.slow: dict[EndpointId, EndpointState] = {}  # servers that are jammed
        self.update_settings(settings)
        self.handlers: dict[type, Callable[..., None]] = {
            Started: self.on_started,
            EndpointListUpdate: self.on_endpoint_list_update,
            Request: self.on_request,
            SessionAdopted: self.on_session_adopted,
            SessionEstablished: self.on_session_established,
            SessionReport: self.on_session_report,
            AttemptEnded: self.on_attempt_ended,
            ClientDisconnected: self.on_client_disconnected,
            TimerFired: self.on_timer_fired,
            HealthCheckEnded: self.on_health_check_ended,
            PeerMessageReceived: self.on_peer_message_received,
        }

    def update_settings(self, settings: Settings) -> None:
        """Take settings, at the start or later; classes keep their numbers, and what is open its limit."""
        self.settings = self.controller.settings = settings
        self.model.update_settings(settings)
        aims = [
            c.message_latency_objective_us / 1000
            for c in settings.classes
            if c.message_latency_objective_us > 0
        ]
        self.late_ms = min(aims, default=math.inf)  # notes begin well below what any class feels

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at its time and return what is to be done."""
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of stepflow.interface: {event!r}")
        self.now = max(now, self.now)
        self.actions = []
        handler(event)
        return self.actions

    def on_started(self, event: Started) -> None:
        self.stepped_us = self.controller.stepped_us = self.now
        # Instances that step in time swing together: each takes a phase of its own.
        self.actions.append(SetTimer(self.rng.randrange(1, TICK_US), TICK_TOKEN))
        if self.settings.polls_endpoint_list:
            self.actions.append(SetTimer(self.asking.first_delay(), ASK_TOKEN))

    def on_endpoint_list_update(self, event: EndpointListUpdate) -> None:
        if event.kind == ListUpdateKind.FAILED:
            wait = self.asking.retry_delay(self.now, self.settings.rules.list_refresh_us)
            self.actions.append(SetTimer(wait, ASK_TOKEN))
            return
        self.asking.poll_succeeded()
        servers = self.model.endpoints
        known, restarted = len(servers), False
        if event.kind != ListUpdateKind.DELTA:
            named = {entry.id for entry in event.endpoints}
            for held in [s for s in servers.values() if s.id not in named]:
                held.availability = Availability.GONE
        for entry in event.endpoints:
            server = servers.get(entry.id)
            if server is None:
                if entry.availability != Availability.GONE:
                    servers[entry.id] = EndpointState(entry, self.rng.random())
            elif entry.started_us != server.started_us:
                server.follow(entry)
                server.seen_us, server.health, server.budget = 0, 1.0, self.rng.random()
                restarted = True
            else:
                server.follow(entry)
        # What is gone is forgotten once nothing stands there.
        for id in [s.id for s in servers.values() if s.availability == Availability.GONE and not s.flights]:
            del servers[id]
        if len(servers) != known or restarted:
            # Before a first step all costs are 0, and all that comes would go where it looks first.
            self.model.predict(list(servers.values()), 0.0)
            self.controller.tabulate(self.now)

    def on_request(self, request: Request) -> None:
        flight = RequestState(request, self.model.resolve_load(request.load, request.class_index))
        flight.limit = self.settings.limits.max_attempts
        self.requests[request.id] = flight
        known = request.is_retry or request.is_migrated
        self.arrivals.fresh += not known
        self.drawn_budget = min(self.drawn_budget + (1 if known else CANDIDATES), PROBES_SAVED)
        # The wire's time-out may come late, or nothing be out at all: an own timer guards the answer.
        self.wake(flight, request.expires_us - self.now - 2 * self.settings.tick_us)
        self.place(flight)

    def on_session_adopted(self, event: SessionAdopted) -> None:
        flight = RequestState(
            event.request, self.model.resolve_load(event.request.load, event.request.class_index)
        )
        flight.attempts, flight.up, flight.out = 1, True, True
        self.requests[event.request.id] = flight
        self.arrivals.open += 1
        self.arrivals.adopted += 1
        if event.endpoint in self.model.endpoints:
            self.settle(flight, self.model.endpoints[event.endpoint])

    def settle(self, flight: RequestState, server: EndpointState) -> None:
        """Count the flight's load at a server."""
        flight.server = server
        server.flights[flight.request.id] = flight
        if group := flight.request.affinity_group:
            server.groups[group] = server.groups.get(group, 0) + 1
            self.holders.setdefault(group, {})[server.id] = server
        server.load += flight.load
        self.model.own += flight.load

    def unsettle(self, flight: RequestState) -> None:
        """Take the flight's load off its server."""
        server = flight.server
        if server is not None:
            del server.flights[flight.request.id]
            if group := flight.request.affinity_group:
                server.groups[group] -= 1
                if not server.groups[group]:
                    del server.groups[group], self.holders[group][server.id]
                    if not self.holders[group]:
                        del self.holders[group]
            server.load = max(0.0, server.load - flight.load) if server.flights else 0.0  # no rounding left
            self.model.own = max(0.0, self.model.own - flight.load)
            flight.server = None

    def allowed(self, flight: RequestState) -> Callable[[EndpointState], bool]:
        """The test that a server must pass for this flight's next attempt."""
        scope = self.settings.class_of(flight.request).deduplication_scope
        bound, tried = flight.bound, flight.tried
        weight = self.cold_weight(flight)

        def test(server: EndpointState) -> bool:
            if server.availability != Availability.READY or server.id in tried:
                return False
            if bound is not None:  # a repeat is dropped only within the group of the first
                if scope == DeduplicationScope.ZONE and server.zone != bound.zone:
                    return False
                if scope == DeduplicationScope.CELL and server.cell != bound.cell:
                    return False
            return self.warm(server) or server.budget >= min(1.0, weight)

        return test

    def cold_weight(self, flight: RequestState) -> float:
        """What an attempt takes off a cold server's budget: more where it is heavy."""
        return max(1.0, self.model.loads.units(flight.load))

    def warm(self, server: EndpointState) -> bool:
        return self.controller.warmth(server, self.now) >= 1

    def may_repeat(self, flight: RequestState) -> bool:
        """Whether another attempt can't cause an effect twice."""
        if flight.out or flight.attempts >= flight.limit:
            return False
        return flight.bound is None or self.in_window(flight, self.now)

    def in_window(self, flight: RequestState, now: int) -> bool:
        """Whether servers still drop a repeat."""
        cls = self.settings.class_of(flight.request)
        return cls.idempotency == Idempotency.BY_KEY and now - flight.bound_us < cls.deduplication_window_us

    def may_send_attempt(self, now: int, id: int) -> bool:
        """Asked once more when the line is to go out: since the attempt was decided, dialling took time."""
        flight = self.requests.get(id)
        if flight is None or flight.answered or flight.server is None:
            return False
        first = flight.bound is None or flight.bound_by == flight.attempts
        return flight.server.availability == Availability.READY and (first or self.in_window(flight, now))

    def is_safe_to_reject(self, id: int) -> bool:
        """Whether the client's trying again can't cause the effect twice, so that it may be refused."""
        flight = self.requests.get(id)
        if flight is None or flight.bound is None:
            return True
        cls = self.settings.class_of(flight.request)
        return cls.idempotency == Idempotency.BY_KEY and cls.deduplication_scope == DeduplicationScope.ALL

    def place(self, flight: RequestState) -> None:
        """Send the next attempt, or hold the request until something can take it."""
        request, left = flight.request, flight.request.expires_us - self.now
        least = max(2 * self.settings.tick_us, self.wait_us if flight.attempts else 0)
        if left <= least or not self.may_repeat(flight):
            self.give_up(flight)
            return
        if self.throttle.is_closed():
            self.held[request.id] = None
            self.wake(flight, self.rng.randint(*HOLD_US))
            return
        self.held.pop(request.id, None)
        server = self.choose(flight)
        if flight.candidates:
            return
        full = server is not None and self.overloaded(server, flight)
        if full and flight.bound is None:  # a client that comes again at once finds no more room
            self.give_up(flight, int(self.rng.uniform(0.5, 1) * self.settings.limits.max_retry_after_us))
            return
        if server is None or full:
            flight.tried.clear()  # all were tried: the next draw may take one again
            self.wake(flight, self.rng.randint(*HOLD_US))
            return
        timeout = left
        if flight.attempts + 1 < flight.limit and left > WAIT_TIMES * self.wait_us:  # room for another
            timeout = int(clamp(WAIT_TIMES * self.wait_us, WAIT_SPAN[0] * left, WAIT_SPAN[1] * left))
        if not self.warm(server):
            server.budget -= self.cold_weight(flight)
        self.throttle.tried += 1
        flight.attempts += 1
        flight.out = True
        flight.tried.append(server.id)
        if flight.bound is None and self.settings.class_of(request).idempotency != Idempotency.IDEMPOTENT:
            flight.bound, flight.bound_us, flight.bound_by = server, self.now, flight.attempts
        self.settle(flight, server)
        # Clients of a lost server come all at once: those placed a moment ago must count for the next.
        server.placed += self.settings.balancers * server.cost * self.model.loads.units(flight.load)
        self.actions.append(StartAttempt(request.id, server.id, timeout))

    def choose(self, flight: RequestState) -> EndpointState | None:
        """Draw some servers by weight and take the one predicted best.

        They are probed first: few requests can't keep the reports of a large fleet fresh.
        """
        allowed, rank = self.allowed(flight), partial(self.rank, flight)
        if flight.candidates:
            ready = [s for s in flight.candidates if self.fresh(s) and allowed(s)]
            flight.candidates = []
            if ready:  # the others didn't answer in time
                return min(ready, key=rank)
        first, price = self.controller.draw(allowed), self.settings.prices.probe
        if first is None or not self.settings.limits.health_checks or not self.model.absolute:
            return first
        count = CANDIDATES if price <= 0 else min(CANDIDATES, int(DRAWN_SPEND / price))
        # A budget that few requests seldom draw would never be spent: a cold server that has one stands by.
        cold = [s for s in self.cold if allowed(s)]
        drawn = [self.rng.choice(cold)] if cold else []
        drawn += [s for s in self.affinity_candidates(flight) if allowed(s) and s not in drawn][:HOMES]
        for other in (first, *(self.controller.draw(allowed) for _ in range(count - 1 - len(drawn)))):
            if other is not None and other not in drawn:
                drawn.append(other)
        stale = [s for s in drawn if not self.fresh(s)]
        if len(drawn) < 2 or not stale or flight.attempts or self.drawn_budget < len(stale):
            return min(drawn, key=rank)
        for server in stale:
            server.waiting.append(flight)
            self.drawn_budget -= self.ask(server)
        flight.candidates = drawn
        self.wake(flight, PROBE_WAIT_US + int(2 * self.probe_wait_us))
        return None

    def fresh(self, server: EndpointState) -> bool:
        return self.now - server.seen_us <= REPORT_FRESH_US

    def affinity_candidates(self, flight: RequestState) -> list[EndpointState]:
        """Where its group is held, the least loaded first, then where all instances look for it."""
        group = flight.request.affinity_group
        held = sorted(self.holders.get(group, {}).values(), key=lambda s: s.predicted)[:1]
        found = preferred_endpoints(group, self.controller.listed, HOMES) if group else []
        flight.home = found[0] if found else None
        return held + [s for s in found if s not in held]

    def rank(self, flight: RequestState, server: EndpointState) -> float:
        """What placing at this server is held to cost: service lost, the group's share, and the crossing.

        Chance keeps instances that read one old report from all filling the server empty a second ago.
        """
        crossing = self.settings.prices.cross_zone if server.zone != self.settings.zone else 0.0
        unshown = CANDIDATES * self.unshown * self.rng.random()
        load = (server.predicted + server.placed + unshown) / max(server.health, HEALTH_FLOOR)
        lacks = (
            (group := flight.request.affinity_group)
            and group not in server.groups
            and server is not flight.home
        )
        full = self.overloaded(server, flight)  # it would be refused: such a server comes last
        return harm(load) + crossing + 0.1 * load + (GROUP_PRICE if lacks else 0.0) + full

    def overloaded(self, server: EndpointState, flight: RequestState) -> bool:
        """Whether the request is worth too little for a server as loaded as this."""
        if not self.model.absolute or not self.model.kind_cost:
            return False
        worths = [c.priority_weight for c in self.settings.classes]
        rank = (worths[flight.request.class_index] - min(worths)) / max(max(worths) - min(worths), 1e-9)
        load = server.predicted + server.placed + self.unshown  # many may come between two reports
        return load > REFUSE_AT[0] + rank * (REFUSE_AT[1] - REFUSE_AT[0])

    def wake(self, flight: RequestState, wait_us: int) -> None:
        """Come back to a request after a while."""
        self.actions.append(SetTimer(max(1, wait_us), FIRST_REQUEST_TOKEN + flight.request.id))

    def give_up(self, flight: RequestState, retry_after_us: int = 0) -> None:
        """The final answer of a request that can't be served."""
        id, flight.answered = flight.request.id, True
        self.actions.append(
            RejectRequest(id, retry_after_us) if self.is_safe_to_reject(id) else FailRequest(id)
        )
        if not flight.out:
            self.drop(flight)
        elif self.settings.limits.cancellation:
            self.actions.append(CancelAttempt(flight.request.id, flight.attempts - 1))

    def drop(self, flight: RequestState) -> None:
        """Forget a request that has its final answer and no attempt out."""
        flight.candidates = []
        self.held.pop(flight.request.id, None)
        self.unsettle(flight)
        self.requests.pop(flight.request.id, None)

    def on_session_established(self, event: SessionEstablished) -> None:
        flight = self.requests.get(event.request_id)
        if flight is None or flight.up or not flight.out or event.attempt != flight.attempts - 1:
            return
        flight.up, flight.up_us = True, self.now
        self.arrivals.open += 1
        self.throttle.up += 1
        self.wait_us += WAIT_LEARN * (event.latency_us - self.wait_us)
        if flight.server is not None:
            flight.server.health = min(1.0, flight.server.health + 0.2)
            flight.server.up += 1
        while self.held and not self.throttle.is_closed():  # those held longest go on at once
            first = self.requests[next(iter(self.held))]
            del self.held[first.request.id]
            self.place(first)

    def alone(self, server: EndpointState) -> bool:
        """Whether a server's failures are its own: at the others, connections come up.

        One that answers errors at once draws what it fails, and would close the throttle for all.
        """
        up, failed = self.throttle.up - server.up, self.throttle.failed - server.failed
        return up > 1 + failed

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        server = self.model.endpoints.get(event.endpoint)
        if server is not None and event.load_report:
            self.model.report(self.now, server, event.load_report)
        flight = self.requests.get(event.request_id)
        if flight is None or event.attempt != flight.attempts - 1 or not flight.out:
            return
        flight.out = False
        self.arrivals.open -= flight.up
        self.unsettle(flight)
        never_ran = event.result in (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
        if never_ran and flight.bound_by == flight.attempts:  # an earlier attempt there may have run
            flight.bound, flight.bound_by = None, 0
        failed = event.result in (
            AttemptResult.ERROR,
            AttemptResult.TIMEOUT,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.RESET,
        )
        unclear = event.result in (AttemptResult.ERROR, AttemptResult.TIMEOUT)
        if unclear and server is not None:
            server.failed += 1
            self.throttle.failed += 1
        alone = unclear and server is not None and self.alone(server)
        # While the throttle is closed the fault lies with what all servers share, unless others serve on.
        if failed and server is not None and not (unclear and not alone and self.throttle.is_closed()):
            server.fail()
        shed = event.result == AttemptResult.RESET and flight.up and self.now - flight.up_us < SHED_US
        if shed and server is not None:
            # Shed as soon as it stood: the set-up was for nothing, the server has no room.
            self.throttle.up = max(0.0, self.throttle.up - 1)
            server.predicted = max(server.predicted, JAM)
        if alone or event.result in (AttemptResult.FULL, AttemptResult.CONNECT_FAILED):
            self.throttle.tried = max(0.0, self.throttle.tried - 1)  # speaks of that server alone
        elif event.result == AttemptResult.TIMEOUT:
            self.wait_us = min(self.wait_us * BACK_OFF, float(SECOND))
        if event.is_final or flight.answered:
            self.drop(flight)
        elif event.result == AttemptResult.ERROR and not alone:
            self.wake(flight, self.rng.randint(*HOLD_US))
        else:
            self.place(flight)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        if flight := self.requests.get(event.request_id):
            flight.answered = True
            if not flight.out:
                self.drop(flight)

    def on_session_report(self, event: SessionReport) -> None:
        flight, value = self.requests.get(event.request_id), event.value
        if flight is None or not flight.up or not math.isfinite(value) or value < 0:
            return
        server = flight.server
        if event.kind == SessionReportKind.LOAD:
            self.unsettle(flight)
            flight.load = self.model.resolve_load(value, flight.request.class_index)
            if server is not None:
                self.settle(flight, server)
        elif event.kind == SessionReportKind.DELAY and server is not None and value >= self.late_ms:
            server.delay_us = self.now
            self.slow[server.id] = server

    def on_timer_fired(self, event: TimerFired) -> None:
        if event.token == TICK_TOKEN:
            self.step()
        elif event.token == ASK_TOKEN:
            self.asking.poll_started(self.now)
            self.actions.append(WatchEndpointList(True))
        else:
            flight = self.requests.get(event.token - FIRST_REQUEST_TOKEN)
            if flight is None or flight.up or flight.answered:
                return
            if flight.request.expires_us - self.now <= 2 * self.settings.tick_us:
                self.give_up(flight)
            elif not flight.out:
                self.place(flight)

    def step(self) -> None:
        """What is done now and then: weights, cold budgets, held requests, probes and moves."""
        seconds = (self.now - self.stepped_us) / SECOND
        self.stepped_us = self.now
        self.actions.append(SetTimer(TICK_US, TICK_TOKEN))
        self.arrivals.fade(seconds)
        self.throttle.fade(seconds, self.arrivals.rate())
        kept = math.exp(-seconds / THROTTLE_S)
        for server in self.model.endpoints.values():
            server.up, server.failed = server.up * kept, server.failed * kept
            server.past = [*server.past[1 - SHOWN_STEPS :], server.load]
        self.refill(seconds)
        # What was placed takes about a second to show in reports.
        placed = (
            self.settings.balancers * self.throttle.tried / THROTTLE_S / max(1, len(self.model.endpoints))
        )
        self.unshown = placed * self.model.plain_cost
        # A step costs work for every server: few requests to a large fleet take few steps.
        since = self.now - self.controller.stepped_us
        if since >= min(
            STEP_WORK * len(self.model.endpoints) / clamp(self.arrivals.rate(), 0.1, 2.0), STEP_MOST_US
        ):
            self.controller.step(self.now, since / SECOND)
            if self.model.absolute and self.arrivals.mostly_standing():
                # Where little comes anew, probes in turn come to a jam too late: what seems jammed is asked.
                listed = self.controller.listed
                self.slow |= {s.id: s for s in listed if s.predicted > MOVE_FROM and s.flights}
        self.probe(seconds)
        rate = self.arrivals.turnover() if self.arrivals.mostly_standing() else self.arrivals.rate()
        self.move_budget = min(self.move_budget + MOVE_PACE * rate * seconds, max(3.0, MOVE_PACE * rate))
        self.move(rate)

    def refill(self, seconds: float) -> None:
        """Cold servers may be sent a share of what warm ones take, as if all others did likewise."""
        self.cold = [s for s in self.model.endpoints.values() if s.started_us > 0 and not self.warm(s)]
        servers, load = len(self.model.endpoints), self.controller.average
        warm = servers - len(self.cold)
        self.ramp.learn(self.arrivals, warm, servers, load, seconds)
        if not self.cold:
            return
        usual = self.ramp.pace(self.arrivals, warm, servers, load, self.settings.rules)
        for server in self.cold:
            pace = usual * self.controller.warmth(server, self.now) * server.share
            server.budget = min(max(1.0, pace), server.budget + pace * seconds)

    def probe(self, seconds: float) -> None:
        """Probe some servers, as many as their price and the own traffic allow."""
        if not self.settings.load_report_fields:
            return
        most = PROBE_SPEND / max(self.settings.prices.probe, 1e-9) * self.arrivals.turnover()
        pace = min(len(self.model.endpoints) / PROBE_EVERY_S, most)
        self.probe_budget = clamp(self.probe_budget + pace * seconds, -pace, 1.0 + pace)
        while self.probe_budget >= 1 and self.controller.listed:
            self.probe_budget -= 1
            self.ask(min(self.controller.listed, key=lambda s: s.asked_us))  # by chance, some wait for long

    def ask(self, server: EndpointState) -> bool:
        """Probe a server unless a probe of it is out, or none may be sent."""
        if server.id in self.probing or not self.settings.limits.health_checks:
            return False
        self.probing[server.id], server.asked_us = None, self.now
        self.actions.append(StartHealthCheck(server.id))
        return True

    def on_health_check_ended(self, event: HealthCheckEnded) -> None:
        self.probing.pop(event.endpoint, None)
        server = self.model.endpoints.get(event.endpoint)
        if server is None:
            return
        waiting, server.waiting = server.waiting, []
        if event.result == AttemptResult.OK:
            self.model.report(self.now, server, event.load_report)
            if self.model.absolute and server.predicted > MOVE_FROM and server.flights:
                self.slow[server.id] = server
            self.probe_wait_us += WAIT_LEARN * (event.latency_us - self.probe_wait_us)
        elif event.result != AttemptResult.FULL:
            server.fail()
        for flight in waiting:
            if flight.candidates and all(map(self.fresh, flight.candidates)):
                self.place(flight)

    def move(self, rate: float) -> None:
        """Move connections off jammed servers, worth least first: all nodes the same share, to MOVE_TO."""
        # A draining server keeps its own: moved by all at the news, they filled the rest before others came.
        gain = MOVE_GAIN_S * max(rate, 0.1)
        pays = self.settings.prices.moves * self.arrivals.open < gain and not self.throttle.is_closed()
        for server in tuple(self.slow.values()):
            over = self.now - server.delay_us > DELAY_FRESH_US and server.predicted < MOVE_FROM
            if over or not server.flights:  # relieved, or nothing of this instance's to move
                del self.slow[server.id]
            elif pays and server.moved_us + MOVE_SETTLE_US < server.seen_us > self.now - DELAY_FRESH_US:
                server.moved_us = self.now
                self.shed(server, 1 - MOVE_TO / max(server.predicted, MOVE_TO))
            elif max(server.asked_us, server.moved_us) + JAMMED_ASK_US < self.now:
                self.ask(server)

    def shed(self, server: EndpointState, share: float) -> None:
        """Move about this share of the own load on a server."""
        flights = [f for f in server.flights.values() if f.up and not f.answered]
        left = share * server.load
        for flight in sorted(
            flights, key=lambda f: (self.settings.class_of(f.request).priority_weight, -f.load)
        ):
            if left <= 0 or self.move_budget < 1:
                return
            if self.rng.random() * flight.load < left:
                self.move_budget -= 1
                flight.answered = True
                self.actions.append(MigrateSession(flight.request.id))
            left -= flight.load

    def on_peer_message_received(self, event: PeerMessageReceived) -> None:
        """Nothing is told among instances so far; what comes is ignored."""
