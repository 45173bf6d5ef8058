"""Plays a range of seeds, several in parallel, and prints the outcome of each."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor

from standins.soak.results import Outcome, SeedResult, play_and_judge
from standins.soak.run import play


def main() -> int:
    """Return the exit code: 1 if a seed broke a rule or raised an exception, else 0."""
    parser = argparse.ArgumentParser(prog="python -m standins.soak", description=__doc__)
    parser.add_argument("--seeds", default="1:50", help="FIRST:LAST")
    parser.add_argument("--jobs", type=int, default=3, help="number of parallel runs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition(":")
    seeds = range(int(first), int(last or first) + 1)
    answers: Counter[str] = Counter()
    outcomes: Counter[Outcome] = Counter()
    for result in _play_all(seeds, options.jobs):
        answers.update(result.answers)
        outcomes[result.outcome] += 1
        print(f"seed {result.seed}: {result.outcome}", *result.details, sep="\n    ", flush=True)
    print(_summary(outcomes, answers))
    return int(outcomes[Outcome.KEPT] < len(seeds))


def _play_all(seeds: range, jobs: int) -> Iterator[SeedResult]:
    """Play the seeds in worker processes and yield their results in seed order."""
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(play_and_judge, play, seed) for seed in seeds]
        for seed, future in zip(seeds, futures, strict=True):
            yield _result_of(seed, future)


def _result_of(seed: int, future: Future[SeedResult]) -> SeedResult:
    """Return the result of a worker, or a result with the exception that the future holds."""
    error = future.exception()
    return future.result() if error is None else SeedResult.of_exception(seed, error)


def _summary(outcomes: Counter[Outcome], answers: Counter[str]) -> str:
    raised = f", {outcomes[Outcome.RAISED]} raised" if outcomes[Outcome.RAISED] else ""
    played, broken = outcomes.total(), outcomes[Outcome.BROKEN]
    return f"{played} seeds, {broken} broken{raised}; answers: {dict(answers.most_common())}"


if __name__ == "__main__":
    sys.exit(main())
