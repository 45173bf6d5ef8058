"""`stepflow fleet`: the commands that play scenarios, to compare policies, audit rules and check predictions.

Responsible for arguments and printing; stepflow.fleet does the work, and is imported by each command, since
the extra `fleet` may be missing. Errors: InputError; `audit` exits with 1 where a rule is broken.
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
    """One figure of two sides, with their difference; each has its interval."""

    a: Interval
    b: Interval
    difference: Interval

    @classmethod
    def of(cls, found: Comparison, name: str) -> FigureComparison:
        """The figure of this name in what a comparison has found."""
        return cls(found.interval_of(0, name), found.interval_of(1, name), found.difference(name))

    def as_json(self) -> dict[str, float]:
        """The means, and the interval of the difference."""
        return {
            "a": self.a.mean,
            "b": self.b.mean,
            "difference": self.difference.mean,
            "low": self.difference.low,
            "high": self.difference.high,
        }

    def row(self, name: str) -> Row:
        """The cells of a table's row."""
        less = self.difference
        interval = f"{less.low:+.4f} to {less.high:+.4f}"
        verdict = "no difference seen" if less.includes_zero else ""
        return (name, f"{self.a.mean:.4f}", f"{self.b.mean:.4f}", f"{less.mean:+.4f}", interval, verdict)


@fleet.command()
@click.argument("a")
@click.argument("b")
@click.option("-s", "--scenario", required=True, type=click.Path(), help="The scenario of both.")
@click.option("--scenario-b", type=click.Path(), help="Another one for B, to compare two fleets.")
@click.option(
    "--runs", default=20, show_default=True, type=click.IntRange(2, 1000), help="Of the first stage."
)
@click.option(
    "--width", type=click.FloatRange(1e-4), help="Wanted width of the interval: as many runs as it takes."
)
@click.option("--level", default=0.95, show_default=True, type=click.FloatRange(0.5, 0.999))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--jobs", type=click.IntRange(1, 256), help="Processes; as many as there are cores.")
@click.option("-o", "--out", type=click.Path(), help="Folder where the runs are kept, with a manifest.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for programs.")
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
    """Play A and B on the same days, and tell B's difference with its interval.

    A and B each name a policy: present, random, rev:REVISION, or NAME=FIGURE for one of its figures (several,
    and a revision, with commas: rev:main,KP=0.3).
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
@click.option("-o", "--out", required=True, type=click.Path(), help="The page, one HTML file.")
def report(folder: str, out: str) -> None:
    """Show the comparisons that `compare -o FOLDER` kept as one page with tables and charts."""
    from stepflow.fleet.report import write

    click.echo(f"{out}: {write(folder, out)} comparisons")


@fleet.command()
@click.argument("scenarios", nargs=-1, required=True, type=click.Path())
@click.option("--runs", default=5, show_default=True, type=click.IntRange(1, 1000), help="Days of each.")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Of the first day.")
@click.option("--policy", default="present", show_default=True, help="A policy's name, as for compare.")
@click.option("--jobs", type=click.IntRange(1, 256), help="Processes; as many as there are cores.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for programs.")
def audit(
    scenarios: tuple[str, ...], runs: int, seed: int, policy: str, jobs: int | None, as_json: bool
) -> None:
    """Play SCENARIOS under a referee: is each rule kept, and how near a bound does it come?

    Exits with 1 where a rule is broken, with the days that broke it; each can be played again by its seed.
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
    "--runs", default=3, show_default=True, type=click.IntRange(1, 100), help="On sockets, one a seed."
)
@click.option("--predict", "models", default=24, show_default=True, type=click.IntRange(3, 1000))
@click.option("--level", default=0.95, show_default=True, type=click.FloatRange(0.5, 0.999))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a run, for programs.")
def replay(scenario: str, runs: int, models: int, level: float, seed: int, as_json: bool) -> None:
    """Predict SCENARIO's service, then play it with real nodes and stand-ins on loopback.

    Needs a checkout: the stand-ins are no part of an installed stepflow. A run takes the scenario's own time.
    """
    from stepflow.fleet.replay import LATE, Prediction, check
    from stepflow.fleet.scenario import load

    try:
        from standins.live import play
    except ModuleNotFoundError:
        raise click.ClickException("no stand-ins here: run it from a checkout's root") from None

    def on_run(run: Check) -> None:
        if as_json:
            print_json(_replay_as_json(run))
        else:
            click.echo(_replay_line(run, run.late_s > LATE))

    found = check(load(scenario), play, range(seed, seed + runs), Prediction(models, level=level), on_run)
    if not as_json:
        click.echo(f"{sum(run.within for run in found)} of {len(found)} within their bars")


def _read_scenario(path: str) -> str:
    """The text of a scenario's file; InputError names what is wrong with it."""
    from stepflow.fleet.scenario import load

    load(path)
    return Path(path).read_text()


def _print_findings(findings: Sequence[Finding], days: int, kept: bool, max_days: int) -> None:
    """Print how near each rule has come to its bound, and up to `max_days` days that broke one."""
    rows: list[Row] = [("rule", "may be", "was", "margin", "least on", "")]
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
