"""The fleet's hard days in the model: each rule is kept, and each is seen to break by a changed line."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from stepflow.fleet.audit import Day, Played, findings_of, play
from stepflow.fleet.measurements import score
from stepflow.fleet.policy_specs import factory_from_texts, policy_texts
from stepflow.fleet.rule_checker import Rule, RuleChecker
from stepflow.fleet.scenario import Fault, load
from stepflow.fleet.simulation import Simulation
from stepflow.interface import (
    Action,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FailRequest,
    Limits,
    ListUpdateKind,
    MigrateSession,
    RejectRequest,
    Request,
    SessionEstablished,
    Settings,
    StartAttempt,
    TimerFired,
)
from tests.bench import SECOND, entry
from tests.test_daemon import command

DAYS = Path(__file__).resolve().parent.parent / "example" / "fleet"
NAMES = ("calm", "roll", "herd", "zone", "split", "join")


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", NAMES)
def test_a_hard_day_keeps_every_rule(name: str, seed: int) -> None:
    day = Day(name, (DAYS / f"{name}.conf").read_text(), seed)
    found = play(day)
    assert [(rule.name, rule.first_violation) for rule in found.rules if rule.violations] == []
    assert found.score.whole > 0.5  # a policy that refused everybody would keep the rules as well


READY = "server.availability != Availability.READY or server.id in tried"
OUT = "if flight.out or flight.attempts >= flight.limit:"
TIMER = "            if flight is None or flight.up{}:\n                return\n            if flight.request"
GUARD = "self.wake(flight, request.expires_us - self.now"
JAMMED = (Fault("slow", 4, 20, part=1.0, share=0.3),)
EMPTY = (Fault("zone", 6, 1, part=0.2), Fault("restart", 8, 1, part=0.7, at_once=0.7))
CHANGED: list[tuple[str, str, tuple[Fault, ...], dict[str, str]]] = [
    ("sent after a drain was told, s", "join", (), {READY: "server.id in tried"}),
    (
        "work sent to a cold server, of what makes it fall",
        "join",
        EMPTY,
        {
            "return self.warm(server) or server.budget >= min(1.0, weight)": "return True",
            "return harm(load) + crossing + 0.1 * load": "return self.warm(server) + 0.0",
        },
    ),
    (
        "attempts of one request over its limit",
        "calm",
        (Fault("errors", 5, 20, part=1.0, share=1.0),),
        {OUT: "if flight.out:"},
    ),
    (
        "attempts while one was out",
        "split",
        (),
        {OUT: "if flight.attempts >= flight.limit:", "elif not flight.out:\n": "else:\n"},
    ),
    (
        "answers too many",
        "zone",
        (),
        {
            TIMER.format(" or flight.answered"): TIMER.format(""),
            "        if not flight.out:\n            self.drop(flight)\n        elif": "        if",
        },
    ),
    (
        "moves of what does not stand",
        "zone",
        JAMMED,
        {
            "if f.up and not f.answered]": "if not f.answered]",
            "pays = self.settings": "pays = True or self.settings",
        },
    ),
    (
        "requests without an answer",
        "zone",
        (),
        {
            "self.place(flight)\n\n    def on_session_adopted": "pass\n\n    def on_session_adopted",
            GUARD: GUARD.replace("self.wake(", "(lambda *_: 0)("),
        },
    ),
]


@pytest.mark.parametrize(("rule", "name", "faults", "changes"), CHANGED, ids=[one[0] for one in CHANGED])
def test_a_changed_line_of_the_module_is_seen_to_break_its_rule(
    rule: str, name: str, faults: tuple[Fault, ...], changes: dict[str, str]
) -> None:
    """Else the days above would pass whatever the module did: these are the lines that keep them."""
    rooms = policy_texts()
    for line, other in changes.items():
        [room] = [name for name, text in rooms.items() if text.count(line) == 1]
        rooms[room] = rooms[room].replace(line, other)
    told = load(DAYS / f"{name}.conf")
    if faults:
        told = replace(told, day=replace(told.day, seconds=12, list_s=(0.0, 0.05)), faults=faults)
    broken: list[str] = []
    for seed in range(1, 9):  # whether a day comes to the changed line is its seed's affair
        checker = RuleChecker()
        Simulation(told, seed, factory_from_texts(rooms, f"changed for {rule}"), observers=(checker,)).run()
        broken = [one.name for one in checker.rules if one.violations]
        if broken:
            break
    assert rule in broken


def heard(*events: Event | Action) -> RuleChecker:
    """What a checker makes of a node's life, a second for each event."""
    checker = RuleChecker()
    checker.node_started(0, 1, Settings(limits=Limits(max_attempts=2)))
    for second, event in enumerate(events):
        if isinstance(event, Action):
            checker.event_handled(second * SECOND, 0, TimerFired(0), [event])
        else:
            checker.event_handled(second * SECOND, 0, event, [])
    checker.run_ended(60 * SECOND, [])
    return checker


def request(expires: int = 30) -> Request:
    return Request(1, 0, expires * SECOND)


FULL, DELTA = ListUpdateKind.FULL, ListUpdateKind.DELTA
BACK = AttemptEnded(1, 0, "a", AttemptResult.FULL, False, 0)
UP = SessionEstablished(1, 0, "a", 0)


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([request(), StartAttempt(1, "a", 0), BACK, RejectRequest(1)], []),
        ([request(), StartAttempt(1, "b", 0), BACK, RejectRequest(1)], ["unlisted"]),
        ([request()], ["unanswered"]),
        ([request(), ClientDisconnected(1)], []),
        ([request(), RejectRequest(1), RejectRequest(1)], ["extra_answers"]),
        ([request(), RejectRequest(1), StartAttempt(1, "a", 0)], ["extra_answers"]),
        ([request(2), StartAttempt(1, "a", 0), UP], ["late"]),
        ([request(1), StartAttempt(1, "a", 0), BACK, FailRequest(1)], ["late"]),
        ([request(), StartAttempt(1, "a", 0), StartAttempt(1, "a", 0), FailRequest(1)], ["overlap"]),
        ([request(), MigrateSession(1), FailRequest(1)], ["migrations"]),
        ([request(), StartAttempt(1, "a", 0), UP, MigrateSession(1)], []),
        ([request(), *[StartAttempt(1, "a", 0), BACK] * 3, FailRequest(1)], ["attempts"]),
        (
            [EndpointListUpdate(DELTA, (entry("a", state=1),)), request(), StartAttempt(1, "a", 0), UP],
            ["sent_to_draining"],
        ),
        (
            [EndpointListUpdate(FULL, (entry("b"),)), request(), StartAttempt(1, "a", 0), UP],
            ["sent_to_draining"],
        ),
        ([EndpointListUpdate(ListUpdateKind.FAILED, ()), request(), StartAttempt(1, "a", 0), UP], []),
    ],
)
def test_the_referee_tells_right_from_wrong(events: list[Event], broken: list[str]) -> None:
    checker = heard(EndpointListUpdate(FULL, (entry("a"),)), *events)
    assert [
        name for name, rule in vars(checker).items() if isinstance(rule, Rule) and rule.violations
    ] == broken


def test_a_margin_is_that_of_the_worst_day() -> None:
    day = Day("calm", (DAYS / "calm.conf").read_text(), 1)
    first, second = Rule("r", 2.0), Rule("r", 2.0)
    first.record(1.0, "here")
    second.record(1.5, "there")
    quiet = score(load(DAYS / "calm.conf"), Simulation(load(DAYS / "calm.conf"), 1).measurements)
    (found,) = findings_of([Played(day, [first], quiet), Played(Day("x", "", 7), [second], quiet)])
    assert (found.margin, found.file, found.seed, found.kept) == (0.25, "x", 7, True)
    second.record(3.0, "there")
    (found,) = findings_of([Played(Day("x", "", 7), [second], quiet), Played(day, [first], quiet)])
    assert found.margin == -0.5 and found.broken == ["x seed 7, 1 times, first there"]


def test_audit_tells_each_rule_s_margin(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text(
        "day {\n seconds 4\n servers 4\n nodes 3\n rate 4\n life 10\n}\nfault drain {\n at 6\n}\n"
    )
    done = command("fleet", "audit", str(path), "--runs", "2", "--jobs", "2", "--json")
    told = json.loads(done.stdout)
    assert done.returncode == 0 and told["kept"] and told["days"] == 2 and len(told["rules"]) == 9
    assert all(one["margin"] > 0 for one in told["rules"])
    plain = command("fleet", "audit", str(path), "--runs", "1", "--jobs", "1", "--policy", "random")
    assert plain.returncode == 0 and "1 days: all rules kept" in plain.stdout
    bad = command("fleet", "audit", str(path), "--policy", "best")
    assert bad.returncode == 2 and "best" in bad.stderr and bad.stderr.count("\n") == 1
