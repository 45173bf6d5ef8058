"""The node's parts by themselves: slots, deadlines, the line codec, settings, the upstream group."""

from __future__ import annotations

import json
from datetime import timedelta
from types import SimpleNamespace
from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock as TwistedClock

from stepflow.interface import Request, SessionReportKind
from stepflow.node.clients.connection import MalformedRequestError, parse_open_request
from stepflow.node.core import Core, Downstream, RequestContext
from stepflow.node.process.shutdown_schedule import MIGRATION_START_SHARE, migration_delays, shutdown_schedule
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.lines import LineScanner
from stepflow.node.runtime.slots import SlotTable
from stepflow.node.runtime.timers import COMPACT_FROM, Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.upstreams.liveness import LivenessMonitor, LivenessServices
from stepflow.node.upstreams.load_report import parse_load_report
from stepflow.node.upstreams.session_reports import SessionReportClassifier
from stepflow.settings import parse_node_settings, parse_settings
from stepflow.upstream import EndpointGroup, EndpointListError
from tests.node_kit import SETTINGS


def test_a_stale_id_never_reaches_the_slot_s_next_holder() -> None:
    table: SlotTable[str] = SlotTable(2)
    first, second = table.take("a"), table.take("b")
    assert first is not None and second is not None and table.take("c") is None  # full
    assert table.give_back(first) == "a" and table.give_back(first) is None
    third = table.take("c")
    assert third is not None and table.get(third) == "c" and len(table) == 2
    assert table.get(first) is None and list(table) == ["c", "b"]


class HandClock(Clock):
    """Tells the time of Twisted's clock for tests."""

    def __init__(self, reactor: TwistedClock) -> None:
        self._reactor = reactor

    def now(self) -> timedelta:
        return timedelta(seconds=self._reactor.seconds())


def test_deadlines_come_in_order_through_one_call_of_the_reactor() -> None:
    reactor = TwistedClock()
    deadlines = Timers(HandClock(reactor), cast(Reactor, reactor), Counters())
    came: list[int] = []

    def fail() -> None:
        came.append(0)
        raise RuntimeError("a fault must not hold up the others")

    for second in (3, 1, 2):
        deadlines.after(timedelta(seconds=second), lambda second=second: came.append(second))  # type: ignore[misc]
    deadlines.after(timedelta(seconds=1), fail)
    off = [deadlines.after(timedelta(seconds=1), fail) for _ in range(2 * COMPACT_FROM)]
    for deadline in off:
        deadline.cancel()
        deadline.cancel()
    assert len(reactor.getDelayedCalls()) == 1
    reactor.advance(1.5)
    assert came == [1, 0]
    reactor.advance(10)
    assert came == [1, 0, 2, 3] and not reactor.getDelayedCalls()


@settings(derandomize=True, deadline=None)
@given(st.lists(st.text(alphabet="ab\r\n", max_size=6)), st.lists(st.integers(1, 5)))
def test_lines_are_the_same_however_the_stream_is_cut(texts: list[str], cuts: list[int]) -> None:
    stream = "".join(text + "\r\n" for text in texts).encode() + b"half"
    scanner, found, at = LineScanner(), [], 0
    for size in [*cuts, len(stream)]:
        scanner.feed(stream[at : at + size])
        at += size
        while (line := scanner.next_line()) is not None:
            found.append(bytes(line))
    assert found == stream.split(b"\r\n")[:-1]
    assert not scanner.between_lines and scanner.rest() == b"half" and scanner.between_lines


@pytest.mark.parametrize(("size", "overlong"), [(4094, False), (4095, True)])
def test_a_line_may_be_4_kib_with_its_delimiter(size: int, overlong: bool) -> None:
    scanner = LineScanner()
    scanner.feed(b"x" * size + b"\r\n")
    assert (scanner.next_line() is None) == overlong == scanner.overlong


def test_an_opening_changes_in_d_alone() -> None:
    line = b"OPEN 0a 0b c=view,h=12.5,d=700,g=0c,r=1,again=1,z=?"
    opening = parse_open_request(line, timedelta(seconds=10), {b"view": 4})
    assert opening.line(timedelta(milliseconds=300)) == line.replace(b"d=700", b"d=300") + b"\r\n"
    request = opening.request
    assert (request.class_index, request.expires_us, request.load) == (4, 10_700_000, 12.5)
    assert (request.idempotency_key, request.affinity_group, request.is_retry, request.is_migrated) == (
        11,
        12,
        True,
        True,
    )


@pytest.mark.parametrize(
    "line", [b"", b"OPEN 1 2 c=view", b"OPEN 1 2 c=view,d=-5", b"OPEN 1 2 c=view,d=5,h=x"]
)
def test_an_opening_that_lacks_something_is_malformed(line: bytes) -> None:
    with pytest.raises(MalformedRequestError):
        parse_open_request(line, timedelta(0), {b"view": 0})


@pytest.mark.parametrize(
    ("text", "values"),
    [
        (b"x0=0.5,util=0.25,queue=3", (0.5, 0.25)),
        (b"utilization=1,x0=2", (2.0, 1.0)),
        (b"x0=0.5", ()),
        (b"x0=nan,util=1", ()),
        (b"\xff=1", ()),
    ],
)
def test_a_load_report_is_whole_or_dropped(text: bytes, values: tuple[float, ...]) -> None:
    assert parse_load_report(text, ("x0", "util")) == values


@pytest.mark.parametrize(("told", "number"), [(b",t=acme", 1), (b",t=other", 2), (b"", 2)])
def test_a_tenant_s_number_is_that_of_the_settings(told: bytes, number: int) -> None:
    """`t` was left on the line: all clients were of the first tenant."""
    line = b"OPEN 1 2 c=view,d=9" + told
    tenants = {b"zeta": 0, b"acme": 1}
    assert parse_open_request(line, timedelta(0), {b"view": 0}, tenants).request.tenant == number


def test_both_forms_of_the_settings_say_the_same() -> None:
    text = (
        "group_size=1\ndiscovery=on_request\nazs=a\nkinds=k\nclasses.count=1\nclasses.0.name=view\n"
        "classes.0.aim_us=300000\nclasses.0.give_up_us=1200000\nclasses.0.effect=repeatable\n"
        "classes.0.credit=1.0\ndomain.message_aim_us=50000.0\ndomain.mode=proxy\ndomain.groups=true\n"
        "policy_limits.most_tries=6\npolicy_limits.probing=true\npolicy_limits.cancel=true\n"
        "report.fields=x0,x1,utilization\nreport.via=probe\n"
    )
    told = parse_node_settings(SETTINGS)
    assert told.policy == parse_settings(text)
    assert told.connect_timeout == timedelta(milliseconds=200)


@pytest.mark.parametrize("milliseconds", [1, 100, 250, 450, 600, 1000, 4800, 60_000])
def test_a_leave_keeps_sessions_for_half_of_its_time_and_ends_before_it_is_killed(milliseconds: int) -> None:
    """Moved at once, clients found no node: the one that restarted before was not yet back.

    Where no deadline was over 250 ms, the farewell went on past the kill.
    """
    longest = timedelta(milliseconds=milliseconds)
    until_kill = min(longest, timedelta(seconds=3)) + timedelta(milliseconds=700)
    plan = shutdown_schedule(longest)
    assert timedelta(milliseconds=400) < plan.shut <= plan.end < plan.stop
    assert plan.stop <= until_kill - timedelta(milliseconds=150)
    assert plan.stop - plan.end >= timedelta(milliseconds=100)
    waits = migration_delays(plan.end - plan.shut, 50, MIGRATION_START_SHARE)
    assert len(waits) == 50 and waits == sorted(waits) and plan.shut + waits[-1] == plan.end
    assert waits[0] >= (min(longest, timedelta(seconds=3)) - plan.shut) / 2


def reader(load: bool = True, delay: bool = True) -> SessionReportClassifier:
    tree = json.loads(json.dumps(SETTINGS))
    tree["domain"].update(tells_load=load, tells_delay=delay)
    return SessionReportClassifier(parse_node_settings(tree))


LOADS = [8000.0, 30000.0, 11000.0, 4000.0, 20000.0, 9000.0, 900.0, 60000.0]


@pytest.mark.parametrize(("load", "delay", "told"), [(True, False, "LOAD"), (False, True, "DELAY")])
def test_where_one_note_is_told_each_load_x_is_that_one(load: bool, delay: bool, told: str) -> None:
    notes = reader(load, delay)
    values = (20.0, 9000.0, 0.0)
    assert [notes.classify("s-1", timedelta(), value).name for value in values] == [told] * 3


def test_a_delay_of_messages_is_told_from_a_load_by_its_size_and_its_beat() -> None:
    """In a jam of 20 ms, then 900, a connection seemed to ask for next to nothing (herd+mass, seed 3)."""
    notes, at = reader(), timedelta(seconds=100)
    assert {notes.classify("s-1", at, value) for value in LOADS} == {SessionReportKind.LOAD}
    seen = [
        notes.classify("s-1", at + timedelta(seconds=second), value)
        for second, value in ((1, 19.0), (2, 47.0), (3.01, 430.0), (3.5, 900.0), (4, 940.0), (4, 15000.0))
    ]
    delay, load = SessionReportKind.DELAY, SessionReportKind.LOAD
    assert seen == [delay, delay, delay, load, delay, load]  # off the beat, 900 is a small load
    assert notes.classify("s-2", at + timedelta(seconds=5), 940.0) is load  # each peer has a beat of its own
    assert notes.classify("s-1", at + timedelta(seconds=20), 940.0) is load  # and it is forgotten


@given(st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=20))
def test_no_number_that_a_peer_may_send_raises(values: list[float]) -> None:
    notes = reader()
    for i, value in enumerate(values):
        assert notes.classify(f"s-{i % 3}", timedelta(seconds=i), value) in SessionReportKind


class Session:
    """A standing connection, as its endpoint's liveness sees it."""

    def __init__(self) -> None:
        self.context = RequestContext(Request(1, 0, 0), cast(Downstream, None), endpoint="s-1")
        self.hung = 0

    def upstream_stalled(self) -> None:
        self.hung += 1


@pytest.mark.parametrize("closed", [False, True])
def test_a_line_whose_connection_is_closed_waits_for_no_echo(closed: bool) -> None:
    """A peer closes on a bad client's line; its other, quiet clients were sent away as from a hung one."""
    reactor = TwistedClock()
    clock = HandClock(reactor)
    notes: list[object] = []
    core = cast(Core, SimpleNamespace(session_report=lambda *told: notes.append(told)))
    timers = Timers(clock, cast(Reactor, reactor), Counters())
    services = LivenessServices(clock, core, timers, reader())
    monitor = LivenessMonitor(services, timedelta(milliseconds=16))
    bad, quiet = Session(), Session()
    liveness = monitor.add(bad)
    assert monitor.add(quiet) is liveness
    liveness.line_sent(bad, clock.now())
    if closed:
        liveness.remove(bad)
    reactor.advance(1.1)
    reactor.advance(1.1)
    assert quiet.hung == len(notes) == (0 if closed else 1)


ENTRY = {"uid": "s-1", "endpoint": "127.0.0.1:7", "az": "a", "model": "k", "state": "Ready", "boot_ms": 5}


@pytest.mark.parametrize(
    "change",
    [
        {"uid": 3},
        {"state": "Odd"},
        {"endpoint": "nowhere"},
        {"boot_ms": "x"},
        {"boot_ms": float("inf")},
        {"capacity_hint": [1]},
        {"capacity_hint": float("inf")},
    ],
)
def test_a_bad_list_changes_nothing(change: dict[str, object]) -> None:
    group = EndpointGroup(("a",), ("k",))
    whole, [server] = group.apply({"rev": 4, "all": True, "targets": [ENTRY]})
    assert whole and server.started_us == 5000
    with pytest.raises(EndpointListError):
        group.apply({"rev": 5, "all": True, "targets": [{**ENTRY, "uid": "s-2"}, {**ENTRY, **change}]})
    assert group.rev == 4 and group.address_of("s-1") is not None and group.address_of("s-2") is None
