"""Fault scenarios in the fleet model: the policy keeps each safety rule, but not with a changed line."""

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
from tests.command_kit import command
from tests.policy.driver import SECOND, entry

SCENARIO_DIR = Path(__file__).resolve().parents[2] / "example" / "fleet"
SCENARIOS = ("calm", "roll", "herd", "zone", "split", "join")


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", SCENARIOS)
def test_a_fault_scenario_keeps_every_rule(name: str, seed: int) -> None:
    day = Day(name, (SCENARIO_DIR / f"{name}.conf").read_text(), seed)
    found = play(day)
    assert [(rule.name, rule.first_violation) for rule in found.rules if rule.violations] == []
    assert found.score.whole > 0.5  # a policy that rejected every request would keep the rules as well


IS_WARM = "_slow_start.is_warm(endpoint)"
PLACEMENT_COST = "return service_loss(load) + cross_zone_cost + LOAD_FACTOR * load"
REMOVE = "        if not request.is_attempt_active:\n            self._remove(request)\n        elif"
NOT_READY = "endpoint.availability != Availability.READY or endpoint.id in tried"
MAY_START = "if request.is_attempt_active or request.attempts >= request.max_attempts:"
IGNORES_TIMER = (
    "        if request is None or request.is_established{}:\n            return\n        if request.request"
)
DEADLINE_TIMER = "context.set_request_timer(request, event.expires_us - context.now_us"
SLOW = (Fault("slow", 4, 20, part=1.0, share=0.3),)
RESTARTED = (Fault("zone", 6, 1, part=0.2), Fault("restart", 8, 1, part=0.7, at_once=0.7))
MUTATIONS: list[tuple[str, str, tuple[Fault, ...], dict[str, str]]] = [
    ("sent after a drain was announced, s", "join", (), {NOT_READY: "endpoint.id in tried"}),
    (
        "load sent to a warming server, of what overloads it",
        "join",
        RESTARTED,
        {
            f"return self.{IS_WARM} or endpoint.slow_start_budget >= min(1.0, cost)": "return True",
            PLACEMENT_COST: f"return self._admission.{IS_WARM} + 0.0",
        },
    ),
    (
        "attempts of one request over its limit",
        "calm",
        (Fault("errors", 5, 20, part=1.0, share=1.0),),
        {MAY_START: "if request.is_attempt_active:"},
    ),
    (
        "attempts while another was active",
        "split",
        (),
        {
            MAY_START: "if request.attempts >= request.max_attempts:",
            "elif not request.is_attempt_active:\n": "else:\n",
        },
    ),
    (
        "extra final answers",
        "zone",
        (),
        {IGNORES_TIMER.format(" or request.is_answered"): IGNORES_TIMER.format(""), REMOVE: "        if"},
    ),
    (
        "migrations of sessions not established",
        "zone",
        SLOW,
        {
            "if r.is_established and not r.is_answered]": "if not r.is_answered]",
            "is_worthwhile = self._is_worthwhile(rate)": "is_worthwhile = True or self._is_worthwhile(rate)",
        },
    ),
    (
        "requests without an answer",
        "zone",
        (),
        {
            "self.place(request)\n\n    def adopt": "pass\n\n    def adopt",
            DEADLINE_TIMER: DEADLINE_TIMER.replace("context.set_request_timer(", "(lambda *_: 0)("),
        },
    ),
]


@pytest.mark.parametrize(
    ("rule", "name", "faults", "changes"), MUTATIONS, ids=[item[0] for item in MUTATIONS]
)
def test_changing_the_line_that_keeps_a_rule_breaks_this_rule(
    rule: str, name: str, faults: tuple[Fault, ...], changes: dict[str, str]
) -> None:
    """The scenarios above can fail: each of these lines of the policy keeps a rule."""
    texts = policy_texts()
    for line, other in changes.items():
        [module] = [name for name, text in texts.items() if text.count(line) == 1]
        texts[module] = texts[module].replace(line, other)
    scenario = load(SCENARIO_DIR / f"{name}.conf")
    if faults:
        scenario = replace(scenario, day=replace(scenario.day, seconds=12, list_s=(0.0, 0.05)), faults=faults)
    broken: list[str] = []
    for seed in range(1, 9):  # whether the scenario reaches the changed line depends on the seed
        checker = RuleChecker()
        factory = factory_from_texts(texts, f"changed for {rule}")
        Simulation(scenario, seed, factory, observers=(checker,)).run()
        broken = [item.name for item in checker.rules if item.violations]
        if broken:
            break
    assert rule in broken


def checker_of(*events: Event | Action) -> RuleChecker:
    """Return the rule checker of one node after these events and actions, which are a second apart."""
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
ENDED_FULL = AttemptEnded(1, 0, "a", AttemptResult.FULL, False, 0)
ESTABLISHED = SessionEstablished(1, 0, "a", 0)


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([request(), StartAttempt(1, "a", 0), ENDED_FULL, RejectRequest(1)], []),
        ([request(), StartAttempt(1, "b", 0), ENDED_FULL, RejectRequest(1)], ["unlisted"]),
        ([request()], ["unanswered"]),
        ([request(), ClientDisconnected(1)], []),
        ([request(), RejectRequest(1), RejectRequest(1)], ["extra_answers"]),
        ([request(), RejectRequest(1), StartAttempt(1, "a", 0)], ["extra_answers"]),
        ([request(2), StartAttempt(1, "a", 0), ESTABLISHED], ["late"]),
        ([request(1), StartAttempt(1, "a", 0), ENDED_FULL, FailRequest(1)], ["late"]),
        ([request(), StartAttempt(1, "a", 0), StartAttempt(1, "a", 0), FailRequest(1)], ["overlap"]),
        ([request(), MigrateSession(1), FailRequest(1)], ["migrations"]),
        ([request(), StartAttempt(1, "a", 0), ESTABLISHED, MigrateSession(1)], []),
        ([request(), *[StartAttempt(1, "a", 0), ENDED_FULL] * 3, FailRequest(1)], ["attempts"]),
        (
            [
                EndpointListUpdate(DELTA, (entry("a", availability=1),)),
                request(),
                StartAttempt(1, "a", 0),
                ESTABLISHED,
            ],
            ["sent_to_draining"],
        ),
        (
            [EndpointListUpdate(FULL, (entry("b"),)), request(), StartAttempt(1, "a", 0), ESTABLISHED],
            ["sent_to_draining"],
        ),
        (
            [EndpointListUpdate(ListUpdateKind.FAILED, ()), request(), StartAttempt(1, "a", 0), ESTABLISHED],
            [],
        ),
    ],
)
def test_the_rule_checker_finds_exactly_the_broken_rules(events: list[Event], broken: list[str]) -> None:
    checker = checker_of(EndpointListUpdate(FULL, (entry("a"),)), *events)
    assert [
        name for name, rule in vars(checker).items() if isinstance(rule, Rule) and rule.violations
    ] == broken


def test_a_margin_is_that_of_the_worst_scenario() -> None:
    day = Day("calm", (SCENARIO_DIR / "calm.conf").read_text(), 1)
    first, second = Rule("r", 2.0), Rule("r", 2.0)
    first.record(1.0, "here")
    second.record(1.5, "there")
    quiet = score(
        load(SCENARIO_DIR / "calm.conf"), Simulation(load(SCENARIO_DIR / "calm.conf"), 1).measurements
    )
    (found,) = findings_of([Played(day, [first], quiet), Played(Day("x", "", 7), [second], quiet)])
    assert (found.margin, found.file, found.seed, found.kept) == (0.25, "x", 7, True)
    second.record(3.0, "there")
    (found,) = findings_of([Played(Day("x", "", 7), [second], quiet), Played(day, [first], quiet)])
    assert found.margin == -0.5 and found.broken == ["x seed 7, 1 times, first there"]


def test_audit_prints_the_margin_of_each_rule(tmp_path: Path) -> None:
    path = tmp_path / "day.conf"
    path.write_text(
        "day {\n seconds 4\n servers 4\n nodes 3\n rate 4\n life 10\n}\nfault drain {\n at 6\n}\n"
    )
    result = command("fleet", "audit", str(path), "--runs", "2", "--jobs", "2", "--json")
    output = json.loads(result.stdout)
    assert result.returncode == 0 and output["kept"] and output["days"] == 2 and len(output["rules"]) == 9
    assert all(item["margin"] > 0 for item in output["rules"])
    plain = command("fleet", "audit", str(path), "--runs", "1", "--jobs", "1", "--policy", "random")
    assert plain.returncode == 0 and "1 days: all rules kept" in plain.stdout
    bad = command("fleet", "audit", str(path), "--policy", "best")
    assert bad.returncode == 2 and "best" in bad.stderr and bad.stderr.count("\n") == 1
