"""Checks the rules over many runs: reports whether each rule was kept, and its smallest margin."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

from stepflow.fleet import scenario as scenarios
from stepflow.fleet.measurements import Score, score
from stepflow.fleet.policy_specs import policy_factory
from stepflow.fleet.rule_checker import Rule, RuleChecker
from stepflow.fleet.simulation import Simulation

MAX_DAYS_SHOWN = 3  # days that are listed for each broken rule


@dataclass(frozen=True)
class Day:
    """One run to check: a scenario's text, with one seed and policy."""

    file: str
    text: str
    seed: int
    policy: str = "present"


@dataclass(frozen=True)
class Played:
    """The result of one day: its rules as the checker left them, and its score."""

    day: Day
    rules: Sequence[Rule]
    score: Score


@dataclass
class Finding:
    """The result of one rule: its smallest margin, the day with this margin, and all days that broke it."""

    rule: str
    bound: float
    worst: float
    margin: float
    file: str
    seed: int
    broken: list[str]

    @property
    def kept(self) -> bool:
        """Whether the rule was kept on all days."""
        return not self.broken


def play(day: Day) -> Played:
    """Run one day with a new rule checker."""
    scenario = scenarios.read(day.text, day.file)
    checker = RuleChecker()
    measurements = Simulation(scenario, day.seed, policy_factory(day.policy), observers=(checker,)).run()
    return Played(day, checker.rules, score(scenario, measurements))


def check(days: Sequence[Day]) -> None:
    """Raise InputError for a scenario or policy that can't be run, before any process starts."""
    for day in days:
        scenarios.read(day.text, day.file)
        policy_factory(day.policy)


def audit(
    days: Sequence[Day], jobs: int | None = None, on_played: Callable[[Played], None] = lambda one: None
) -> list[Finding]:
    """Run all days in parallel; returns one finding for each rule, in the checker's order."""
    found = []
    with ProcessPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(play, day) for day in days]):
            found.append(future.result())
            on_played(found[-1])
    found.sort(key=lambda one: (one.day.file, one.day.seed))
    return findings_of(found)


def findings_of(played: Sequence[Played]) -> list[Finding]:
    """One finding for each rule: the day with its smallest margin, and all days that broke the rule."""
    findings: dict[str, Finding] = {}
    for one in played:
        for rule in one.rules:
            day, known = one.day, findings.get(rule.name)
            if known is None or rule.margin < known.margin:
                broken = known.broken if known else []
                findings[rule.name] = known = Finding(
                    rule.name, rule.bound, rule.worst, rule.margin, day.file, day.seed, broken
                )
            if rule.violations:
                known.broken.append(
                    f"{day.file} seed {day.seed}, {rule.violations} times, first {rule.first_violation}"
                )
    return list(findings.values())
