"""The result of one seed: its outcome, violations and answers, or the exception that it raised."""

from __future__ import annotations

import asyncio
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from standins.soak.records import Records


class Outcome(StrEnum):
    """The outcome of a seed."""

    KEPT = "kept"
    BROKEN = "broken"  # a rule was broken
    RAISED = "raised"  # an exception was raised and there are no records


@dataclass(frozen=True)
class SeedResult:
    """The outcome of one seed and the lines that explain it; plain data, so that a worker can pickle it."""

    seed: int
    outcome: Outcome
    details: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)

    @classmethod
    def of_records(cls, seed: int, records: Records) -> SeedResult:
        """Evaluate the records of a seed that was played to its end."""
        violations = records.violations()
        details = [line for violation in violations for line in (violation, *records.log_lines_of(violation))]
        outcome = Outcome.BROKEN if violations else Outcome.KEPT
        return cls(seed, outcome, details, _count_answers(records))

    @classmethod
    def of_exception(cls, seed: int, error: BaseException) -> SeedResult:
        """Build the result of a seed that raised an exception; the details are the traceback."""
        text = "".join(traceback.format_exception(error))
        return cls(seed, Outcome.RAISED, text.splitlines())


def play_and_judge(play: Callable[[int], Records], seed: int) -> SeedResult:
    """Play a seed; an exception becomes the result of this seed and does not end the other seeds."""
    try:
        return SeedResult.of_records(seed, play(seed))
    except (Exception, asyncio.CancelledError) as error:
        return SeedResult.of_exception(seed, error)


def _count_answers(records: Records) -> Counter[str]:
    return Counter(
        "left" if request.left_at is not None else request.answer or "none"
        for request in records.requests.values()
    )
