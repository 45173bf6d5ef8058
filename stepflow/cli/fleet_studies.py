"""`stepflow fleet`: the commands that run scenarios, to compare policies, audit rules and check predictions.

Handles arguments and output; stepflow.fleet does the work. Each command imports it when it runs, since the
extra `fleet` may be missing. Errors: InputError; `audit` exits with code 1 if a rule is broken.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import click

from stepflow.cli.fleet import fleet
from stepflow.cli.output import Row, print_json, print_table

if TYPE_CHECKING:
    from stepflow.fleet.audit import Finding
    from stepflow.fleet.compare import Comparison, Interval
    from stepflow.fleet.replay import Check

EXIT_FAILED = 1
COMPARISON_COLUMNS = ("", "A", "B", "B less A", "interval", "")


class FigureComparison(NamedTuple):
    """A figure of both sides and their difference, each with its confidence interval."""

    a: Interval
    b: Interval
    difference: Interval

    @classmethod
    def of(cls, found: Comparison, name: str) -> FigureComparison:
        """Return the figure of this name from a comparison."""
        return cls(found.interval_of(0, name), found.interval_of(1, name), found.difference(name))

    def as_json(self) -> dict[str, float]:
        """Return the means, and the interval of the difference."""
        return {
            "a": self.a.mean,
            "b": self.b.mean,
            "difference": self.difference.mean,
            "low": self.difference.low,
            "high": self.difference.high,
        }

    def row(self, name: str) -> Row:
        """Return the cells of a table row."""
        delta = self.difference
        interval = f"{delta.low:+.4f} to {delta.high:+.4f}"
        verdict = "no difference seen" if delta.includes_zero else ""
        return (name, f"{self.a.mean:.4f}", f"{self.b.mean:.4f}", f"{delta.mean:+.4f}", interval, verdict)


@fleet.command()
@click.argument("a")
@click.argument("b")
@click.option("-s", "--scenario", required=True, type=click.Path(), help="The scenario of A and B.")
@click.option("--scenario-b", type=click.Path(), help="A different scenario for B, to compare two fleets.")
@click.option(
    "--runs",
    default=20,
    show_default=True,
    type=click.IntRange(2, 1000),
    help="Number of runs in the first stage.",
)
@click.option(
    "--width",
    type=click.FloatRange(1e-4),
    help="Target width of the interval; runs are added to reach it, up to 1000 in all.",
)
@click.option("--level", default=0.95, show_default=True, type=click.FloatRange(0.5, 0.999))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--jobs", type=click.IntRange(1, 256), help="Number of processes; by default, one per core.")
@click.option("-o", "--out", type=click.Path(), help="Folder for the runs and their manifest.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def compare(
    a: str,
    b: str,
    scenario: str,
    scenario_b: str | None,
    runs: int,
    width: float | None,
    level: float,
    seed: int,
    jobs: int | None,
    out: str | None,
    as_json: bool,
) -> None:
    """Simulate A and B on the same days, and show B's difference from A with its interval.

    A and B each name a policy: present, random, rev:REVISION, or NAME=VALUE for one of its constants
    (several, and a revision, separated by commas: rev:main,KP=0.3).
    """
    from stepflow.fleet.compare import FIGURES, Plan, Side, save
    from stepflow.fleet.compare import compare as play

    texts = [(file, _read_scenario(file)) for file in (scenario, scenario_b or scenario)]
    first, second = (Side(text, file, policy) for (file, text), policy in zip(texts, (a, b), strict=True))
    with click.progressbar(length=runs, label="pairs of runs", file=sys.stderr) as bar:

        def on_progress(done: int, wanted: int) -> None:
            bar.length = wanted
            bar.update(1)

        found = play((first, second), Plan(runs, seed, level, width), jobs, on_progress)
    if out is not None:
        save(found, out)
    for beyond in found.extrapolations():
        click.echo(f"warning: it extrapolates: {beyond}", err=True)
    figures = {name: FigureComparison.of(found, name) for name in FIGURES}
    if as_json:
        shown = {name: figure.as_json() for name, figure in figures.items()}
        print_json({"runs": len(found.rows), "level": level, "figures": shown})
    else:
        click.echo(f"{len(found.rows)} pairs of runs from seed {seed}, intervals of {level:.0%}")
        print_table([COMPARISON_COLUMNS, *(figure.row(name) for name, figure in figures.items())])


@fleet.command()
@click.argument("folder", type=click.Path())
@click.option("-o", "--out", required=True, type=click.Path(), help="The HTML file of the page.")
def report(folder: str, out: str) -> None:
    """Write the comparisons saved by `compare -o FOLDER` to one page with tables and charts."""
    from stepflow.fleet.report import write

    click.echo(f"{out}: {write(folder, out)} comparisons")


@fleet.command()
@click.argument("scenarios", nargs=-1, required=True, type=click.Path())
@click.option(
    "--runs", default=5, show_default=True, type=click.IntRange(1, 1000), help="Number of days per scenario."
)
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Seed of the first day.")
@click.option("--policy", default="present", show_default=True, help="A policy's name, as for compare.")
@click.option("--jobs", type=click.IntRange(1, 256), help="Number of processes; by default, one per core.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def audit(
    scenarios: tuple[str, ...], runs: int, seed: int, policy: str, jobs: int | None, as_json: bool
) -> None:
    """Simulate SCENARIOS and check whether each rule is kept, and by which margin.

    Exits with 1 if a rule is broken, after printing the days that broke it; a day's seed repeats it.
    """
    from stepflow.fleet.audit import MAX_DAYS_SHOWN, Day, check
    from stepflow.fleet.audit import audit as play

    days = [
        Day(file, _read_scenario(file), number, policy)
        for file in scenarios
        for number in range(seed, seed + runs)
    ]
    check(days)
    with click.progressbar(length=len(days), label="days", file=sys.stderr) as bar:
        found = play(days, jobs, lambda one: bar.update(1))
    kept = all(finding.kept for finding in found)
    if as_json:
        print_json({"days": len(days), "kept": kept, "rules": found})
    else:
        _print_findings(found, len(days), kept, MAX_DAYS_SHOWN)
    if not kept:
        sys.exit(EXIT_FAILED)


@fleet.command()
@click.argument("scenario", type=click.Path())
@click.option(
    "--runs",
    default=3,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Number of runs on sockets, each with its own seed.",
)
@click.option("--predict", "models", default=24, show_default=True, type=click.IntRange(3, 1000))
@click.option("--level", default=0.95, show_default=True, type=click.FloatRange(0.5, 0.999))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per run.")
def replay(scenario: str, runs: int, models: int, level: float, seed: int, as_json: bool) -> None:
    """Predict SCENARIO's service, then run it with real nodes and stand-ins on loopback.

    Needs a checkout, since stepflow installs no stand-ins. A run takes as long as the scenario.
    """
    from stepflow.fleet.replay import LATE, Prediction, check
    from stepflow.fleet.scenario import load

    try:
        from standins.live import play
    except ModuleNotFoundError:
        raise click.ClickException("stand-ins not found; run this command from a checkout's root") from None

    def on_run(run: Check) -> None:
        if as_json:
            print_json(_replay_as_json(run))
        else:
            click.echo(_replay_line(run, run.late_s > LATE))

    found = check(load(scenario), play, range(seed, seed + runs), Prediction(models, level=level), on_run)
    if not as_json:
        click.echo(f"{sum(run.within for run in found)} of {len(found)} within their intervals")


def _read_scenario(path: str) -> str:
    """Return the text of a scenario's file; raises InputError if it is invalid."""
    from stepflow.fleet.scenario import load

    load(path)
    return Path(path).read_text()


def _print_findings(findings: Sequence[Finding], days: int, kept: bool, max_days: int) -> None:
    """Print each rule's smallest margin to its bound, and up to `max_days` days that broke each rule."""
    rows: list[Row] = [("rule", "bound", "worst", "margin", "worst day", "")]
    for finding in findings:
        bound, worst = f"{finding.bound:.3g}", f"{finding.worst:.3g}"
        day = f"{Path(finding.file).name} seed {finding.seed}" if finding.worst else "-"
        verdict = "" if finding.kept else "BROKEN"
        rows.append((finding.rule, bound, worst, f"{finding.margin:.0%}", day, verdict))
    print_table(rows)
    for finding in findings:
        for broken_day in finding.broken[:max_days]:
            click.echo(f"broken: {finding.rule}: {broken_day}")
    click.echo(f"{days} days: {'all rules kept' if kept else 'rules BROKEN'}")


def _replay_as_json(run: Check) -> dict[str, object]:
    return {
        "seed": run.seed,
        "predicted": run.predicted.mean,
        "low": run.predicted.low,
        "high": run.predicted.high,
        "measured": run.measured,
        "within": run.within,
        "late_s": run.late_s,
    }


def _replay_line(run: Check, machine_was_busy: bool) -> str:
    verdict = "within" if run.within else "outside"
    busy = f"; this machine was late by {run.late_s * 1000:.0f} ms" if machine_was_busy else ""
    interval = f"{run.predicted.mean:.3f} ({run.predicted.low:.3f} to {run.predicted.high:.3f})"
    return f"seed {run.seed}: predicted {interval}, measured {run.measured:.3f}: {verdict}{busy}"
