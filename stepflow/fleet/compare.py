"""Compares two scenarios or policies by paired runs with the same random draws.

Each difference has a confidence interval. For an interval of a wanted width, the number of runs follows
Stein's two-stage procedure (Stein 1945, Ann. Math. Stat. 16): the variance of a first sample alone sets the
number, and the interval uses that variance, whatever the further runs show. So the decision when to stop
does not depend on the further runs, and cannot bias the interval.
"""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field, fields
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq
from scipy import stats

from stepflow import __version__
from stepflow.errors import InputError
from stepflow.fleet import scenario as scenarios
from stepflow.fleet.measurements import Score, score, series
from stepflow.fleet.policy_specs import policy_factory
from stepflow.fleet.simulation import Simulation

MAX_RUNS = 1000  # limit on the pairs of both stages together, even if the wanted interval width needs more
MIN_RUNS = 2  # fewest pairs that have a variance
FIGURES = ("net", *(one.name for one in fields(Score)))
SERIES = pa.schema(
    [("side", pa.string()), ("seed", pa.int64()), ("name", pa.string()), ("values", pa.list_(pa.float64()))]
)


class CompareError(InputError):
    """A comparison or prediction can't be made."""


@dataclass(frozen=True)
class Run:
    """One run: its figures, and its measurements over time."""

    figures: dict[str, float]
    series: dict[str, list[float]] = field(default_factory=dict)


@dataclass(frozen=True)
class Side:
    """One side of a comparison: a scenario's text with the name of its file, and a policy's name."""

    scenario: str
    file: str
    policy: str

    def play(self, seed: int, policy_stream: str) -> Run:
        """Run the scenario once. Two equal sides differ only in the random stream of their policies."""
        scenario = scenarios.read(self.scenario, self.file)
        measurements = Simulation(scenario, seed, policy_factory(self.policy), policy_stream).run()
        measured = score(scenario, measurements)
        return Run({name: float(getattr(measured, name)) for name in FIGURES}, series(scenario, measurements))


@dataclass(frozen=True)
class Interval:
    """A mean with its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def includes_zero(self) -> bool:
        """Whether 0 is within the interval, so that no difference is seen."""
        return self.low <= 0 <= self.high


def interval(values: Sequence[float], level: float, first: int | None = None) -> Interval:
    """Student's confidence interval of the mean of `values`, at this level.

    With `first`, the variance is that of the first `first` values alone (Stein's first stage). Raises
    CompareError if there are fewer than two values for the variance.
    """
    sample = np.asarray(values, dtype=float)
    first_stage = sample[:first]
    if len(first_stage) < MIN_RUNS:
        raise CompareError("an interval needs at least two runs")
    sigma = float(np.std(first_stage, ddof=1))
    half_width = float(stats.t.ppf(0.5 + level / 2, len(first_stage) - 1)) * sigma / math.sqrt(len(sample))
    mean = float(sample.mean())
    return Interval(mean, mean - half_width, mean + half_width)


def runs_for(values: Sequence[float], width: float, level: float) -> int:
    """The total number of runs for an interval of this full width, from the values of the first stage."""
    sigma = float(np.std(np.asarray(values, dtype=float), ddof=1))
    quantile = float(stats.t.ppf(0.5 + level / 2, len(values) - 1))
    return max(len(values), math.ceil((2 * quantile * sigma / width) ** 2))


Pair = tuple[int, Run, Run]  # a seed, and the runs of A and B


@dataclass
class Comparison:
    """The complete pairs of runs, in the order of their seeds; `wanted` is the planned number.

    `first` is the number of pairs of the first stage, whose variance sets the intervals.
    """

    sides: tuple[Side, Side]
    level: float
    first: int
    rows: list[Pair]
    wanted: int

    def interval_of(self, number: int, figure: str) -> Interval:
        """The mean of a figure of one side (0 or 1), with its interval."""
        return interval([row[1:][number].figures[figure] for row in self.rows], self.level, self.first)

    def extrapolations(self) -> list[str]:
        """Return a text for each quantity above its maximum in a scenario's trace; the result is a guess."""
        texts: dict[str, None] = {}
        for index, side in enumerate(self.sides):
            scenario = scenarios.read(side.scenario, side.file)
            peak = max(row[1:][index].figures["peak_load"] for row in self.rows)
            texts |= dict.fromkeys(f"{side.file}: {text}" for text in scenario.extrapolations(peak))
        return list(texts)

    def difference(self, figure: str) -> Interval:
        """The mean of the paired differences, B minus A, with its interval."""
        return interval(
            [row[2].figures[figure] - row[1].figures[figure] for row in self.rows], self.level, self.first
        )


@dataclass(frozen=True)
class Plan:
    """The number of pairs of runs in a comparison, their seeds, and the confidence level.

    The first stage has `runs` pairs, with the seeds from `seed` on. With a `width`, a second stage adds as
    many pairs as an interval of that full width needs. `level` is the confidence level of the intervals.
    """

    runs: int
    seed: int
    level: float = 0.95
    width: float | None = None


def _run_pair(sides: tuple[Side, Side], seed: int) -> Pair:
    return seed, sides[0].play(seed, "A"), sides[1].play(seed, "B")


def compare(
    sides: tuple[Side, Side],
    plan: Plan,
    jobs: int | None = None,
    on_progress: Callable[[int, int], None] = lambda done, wanted: None,
) -> Comparison:
    """Run both sides by a plan, in `jobs` processes (None: one for each core).

    After an interrupt, returns the complete pairs if there are at least two, and else raises
    KeyboardInterrupt. `on_progress` is called with the numbers of complete and of wanted pairs.
    """
    for side in sides:
        scenarios.read(side.scenario, side.file)
        policy_factory(side.policy)  # a bad name raises here, before any process starts
    result = Comparison(sides, plan.level, plan.runs, [], plan.runs)
    with ProcessPoolExecutor(jobs or os.cpu_count()) as pool:
        try:
            for row in _run_pairs(pool, sides, range(plan.seed, plan.seed + plan.runs)):
                result.rows.append(row)
                on_progress(len(result.rows), result.wanted)
            result.rows.sort(key=lambda row: row[0])
            if plan.width is not None:
                differences = [row[2].figures["net"] - row[1].figures["net"] for row in result.rows]
                result.wanted = min(MAX_RUNS, runs_for(differences, plan.width, plan.level))
                for row in _run_pairs(pool, sides, range(plan.seed + plan.runs, plan.seed + result.wanted)):
                    result.rows.append(row)
                    on_progress(len(result.rows), result.wanted)
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            if len(result.rows) < MIN_RUNS:
                raise
    result.rows.sort(key=lambda row: row[0])
    return result


def _run_pairs(pool: ProcessPoolExecutor, sides: tuple[Side, Side], seeds: range) -> Iterator[Any]:
    futures: list[Future[Any]] = [pool.submit(_run_pair, sides, seed) for seed in seeds]
    for future in as_completed(futures):
        yield future.result()


def save(result: Comparison, folder: str | Path) -> None:
    """Write the runs (Parquet) and a manifest with all that is needed to repeat them."""
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    table = pa.Table.from_pylist(
        [
            {"side": name, "seed": seed, **run.figures}
            for seed, *sides in result.rows
            for name, run in zip("AB", sides, strict=True)
        ]
    )
    over_time = pa.Table.from_pylist(
        [
            {"side": name, "seed": seed, "name": series_name, "values": values}
            for seed, *sides in result.rows
            for name, run in zip("AB", sides, strict=True)
            for series_name, values in run.series.items()
        ],
        SERIES,
    )
    digest = sha256(repr([(side.scenario, side.policy) for side in result.sides]).encode()).hexdigest()[:16]
    name = f"compare-{digest}-{result.rows[0][0] if result.rows else 0}"
    pq.write_table(table, target / f"{name}.parquet")
    pq.write_table(over_time, target / f"{name}-series.parquet")
    manifest = {
        "version": __version__,
        "level": result.level,
        "first": result.first,
        "seeds": [row[0] for row in result.rows],
        "wanted": result.wanted,
        "sides": [
            {
                "policy": side.policy,
                "file": side.file,
                "scenario": side.scenario,
                "digest": sha256(side.scenario.encode()).hexdigest(),
            }
            for side in result.sides
        ],
    }
    (target / f"{name}.json").write_bytes(msgspec.json.format(msgspec.json.encode(manifest)))
