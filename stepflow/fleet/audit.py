"""The rules over many days of the model: whether each was kept, and how near a bound it came at the worst."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

from stepflow.fleet import scenario as scenarios
from stepflow.fleet.measurements import Score, score
from stepflow.fleet.policy_specs import maker
from stepflow.fleet.rule_checker import Referee, Rule
from stepflow.fleet.simulation import World

SHOWN = 3  # broken days that a finding names


@dataclass(frozen=True)
class Day:
    """One scenario on one seed, its text read already."""

    file: str
    text: str
    seed: int
    policy: str = "present"


@dataclass(frozen=True)
class Played:
    """What one day's referee saw."""

    day: Day
    rules: Sequence[Rule]
    score: Score


@dataclass
class Finding:
    """One rule over all days: its least margin, and the days that broke it."""

    rule: str
    bound: float
    worst: float
    margin: float
    file: str
    seed: int
    broken: list[str]

    @property
    def kept(self) -> bool:
        return not self.broken


def play(day: Day) -> Played:
    """Play one day under a referee of its own."""
    told = scenarios.read(day.text, day.file)
    referee = Referee()
    tally = World(told, day.seed, maker(day.policy), ears=(referee,)).run()
    return Played(day, referee.rules, score(told, tally))


def check(days: Sequence[Day]) -> None:
    """Turn down what can't be played before any process starts, in one line."""
    for day in days:
        scenarios.read(day.text, day.file)
        maker(day.policy)


def audit(
    days: Sequence[Day], jobs: int | None = None, told: Callable[[Played], None] = lambda one: None
) -> list[Finding]:
    """Play all days, in parallel, and fold what was seen; a rule's findings stand in the referee's order."""
    found = []
    with ProcessPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(play, day) for day in days]):
            found.append(future.result())
            told(found[-1])
    found.sort(key=lambda one: (one.day.file, one.day.seed))
    return fold(found)


def fold(played: Sequence[Played]) -> list[Finding]:
    """Each rule's worst day."""
    findings: dict[str, Finding] = {}
    for one in played:
        for rule in one.rules:
            day, known = one.day, findings.get(rule.name)
            if known is None or rule.margin < known.margin:
                broken = known.broken if known else []
                findings[rule.name] = known = Finding(
                    rule.name, rule.bound, rule.worst, rule.margin, day.file, day.seed, broken
                )
            if rule.broken:
                known.broken.append(f"{day.file} seed {day.seed}, {rule.broken} times, first {rule.first}")
    return list(findings.values())
