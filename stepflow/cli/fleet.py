"""stepflow fleet: traces of traffic, and the model that they feed."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from stepflow.errors import InputError
from stepflow.traffic.writer import journals


@click.group()
def fleet() -> None:
    """Traces of recorded traffic, for the model of the fleet (needs the extra `fleet`)."""


@fleet.command()
@click.argument("sources", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("-o", "--out", required=True, type=click.Path(), help="The trace's folder, a new one.")
def convert(sources: tuple[str, ...], out: str) -> None:
    """Make a trace of journals: of files, or of folders that a node's recorder writes to."""
    from stepflow.fleet import convert as make

    paths: list[str] = []
    for source in sources:
        paths += journals(source) if Path(source).is_dir() else [source]
    if not paths:
        raise InputError(f"{sources[0]}: no journal in it")

    with click.progressbar(paths, label="journals", file=sys.stderr) as bar:
        manifest = make(bar, out)
    for made in manifest.sources:
        if flaws := _flaws(made):
            click.echo(f"{made.path}: {', '.join(flaws)}", err=True)
    click.echo(f"{out}: {sum(made.rows for made in manifest.sources)} rows of {len(paths)} journals")


@fleet.command()
@click.argument("trace", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for programs.")
def inspect(trace: str, as_json: bool) -> None:
    """Show what is in TRACE: its classes, its servers, and what is missing."""
    from stepflow.fleet import Trace
    from stepflow.fleet.trace import summary

    told = summary(Trace(trace))
    if as_json:
        click.echo(msgspec.json.encode(told))
        return
    click.echo("connect, life and load: the 10%, 50% and 90% points; censored: still stood at the end")
    nodes = ", ".join(told["nodes"]) or "no node"
    click.echo(f"{told['seconds']:.1f} s of {nodes}: {told['servers']} servers, {told['groups']} groups")
    click.echo(f"probes: {_counts(told['probes'])}")
    head = (
        "class",
        "conns",
        "stood",
        "1/s",
        "moved",
        "connect ms 10/50/90%",
        "life s 10/50/90%",
        "censored",
        "load",
    )
    _table([head, *(_row(cls) for cls in told["classes"])])
    for cls in told["classes"]:
        click.echo(f"{cls['class']}: answers {_counts(cls['answers'])}")
    for source in msgspec.convert(told["sources"], list[Any]):
        if source["cut"] or source["lost"]:
            click.echo(f"{source['path']}: {source['cut'] or 'whole'}; {source['lost']} rows were dropped")


@fleet.command()
@click.argument("scenario", type=click.Path())
@click.option("-o", "--out", required=True, type=click.Path(), help="The journals' folder, a new one.")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--policy", default="present", show_default=True, help="A policy's name, as for compare.")
def synth(scenario: str, out: str, seed: int, policy: str) -> None:
    """Make the journals of a day of SCENARIO, as its nodes would record it, where there is no trace yet."""
    from stepflow.fleet.policy_specs import policy_factory
    from stepflow.fleet.scenario import load
    from stepflow.fleet.synth import synth as make

    paths = make(load(scenario), seed, out, policy_factory(policy))
    folders = " ".join(sorted({str(path.parent) for path in paths}))
    click.echo(f"{len(paths)} journals; next: stepflow fleet convert {folders} -o TRACE")


@fleet.command()
@click.argument("trace", type=click.Path())
@click.option("-o", "--out", type=click.Path(), help="The scenario's file; else it is only told.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for programs.")
def fit(trace: str, out: str | None, as_json: bool) -> None:
    """Estimate a scenario from TRACE: rates, lives, loads and speeds, with how surely they are known."""
    from stepflow.fleet import Trace
    from stepflow.fleet.fitting import fit as estimate
    from stepflow.fleet.fitting import scenario_text

    found = estimate(Trace(trace))
    if out is not None:
        _write(out, scenario_text(found, trace))
    if as_json:
        click.echo(msgspec.json.encode({"estimates": found.estimates, "absent": found.absent}))
        return
    rows: list[tuple[str, ...]] = [("", "estimate", "interval of 95%", "events", "")]
    for one in found.estimates:
        span = f"{one.low:.4g} to {one.high:.4g}"
        rows.append((one.name, f"{one.value:.4g}", span, str(one.events), one.flaw))
    _table(rows)
    click.echo(f"not in the trace, so by default: {', '.join(found.absent)}")
    if out is not None:
        click.echo(f"{out}: {found.servers} servers, {found.nodes} nodes that recorded")


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

    texts = [(file, _text(file)) for file in (scenario, scenario_b or scenario)]
    first, second = (Side(text, file, policy) for (file, text), policy in zip(texts, (a, b), strict=True))
    with click.progressbar(length=runs, label="pairs of runs", file=sys.stderr) as bar:

        def told(done: int, wanted: int) -> None:
            bar.length = wanted
            bar.update(1)

        found = play((first, second), Plan(runs, seed, level, width), jobs, told)
    if out is not None:
        save(found, out)
    for beyond in found.extrapolations():
        click.echo(f"warning: it extrapolates: {beyond}", err=True)
    rows = {
        name: (found.interval_of(0, name), found.interval_of(1, name), found.difference(name))
        for name in FIGURES
    }
    if as_json:
        shown: dict[str, Any] = {
            name: {
                "a": one[0].mean,
                "b": one[1].mean,
                "difference": one[2].mean,
                "low": one[2].low,
                "high": one[2].high,
            }
            for name, one in rows.items()
        }
        click.echo(msgspec.json.encode({"runs": len(found.rows), "level": level, "figures": shown}))
        return
    click.echo(f"{len(found.rows)} pairs of runs from seed {seed}, intervals of {level:.0%}")
    lines: list[tuple[str, ...]] = [("", "A", "B", "B less A", "interval", "")]
    for name, (one, other, less) in rows.items():
        span = f"{less.low:+.4f} to {less.high:+.4f}"
        said = "no difference seen" if less.includes_zero else ""
        lines.append((name, f"{one.mean:.4f}", f"{other.mean:.4f}", f"{less.mean:+.4f}", span, said))
    _table(lines)


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
        Day(file, _text(file), number, policy) for file in scenarios for number in range(seed, seed + runs)
    ]
    check(days)
    with click.progressbar(length=len(days), label="days", file=sys.stderr) as bar:
        found = play(days, jobs, lambda one: bar.update(1))
    kept = all(one.kept for one in found)
    if as_json:
        click.echo(msgspec.json.encode({"days": len(days), "kept": kept, "rules": found}))
    else:
        rows: list[tuple[str, ...]] = [("rule", "may be", "was", "margin", "least on", "")]
        for one in found:
            bound, worst = f"{one.bound:.3g}", f"{one.worst:.3g}"
            day = f"{Path(one.file).name} seed {one.seed}" if one.worst else "-"
            rows.append((one.rule, bound, worst, f"{one.margin:.0%}", day, "" if one.kept else "BROKEN"))
        _table(rows)
        for one in found:
            for day in one.broken[:MAX_DAYS_SHOWN]:
                click.echo(f"broken: {one.rule}: {day}")
        click.echo(f"{len(days)} days: {'all rules kept' if kept else 'rules BROKEN'}")
    if not kept:
        sys.exit(1)


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
    from stepflow.fleet.replay import LATE, Check, Prediction, check
    from stepflow.fleet.scenario import load

    try:
        from standins.live import play
    except ModuleNotFoundError:
        raise click.ClickException("no stand-ins here: run it from a checkout's root") from None

    def told(one: Check) -> None:
        span = one.predicted
        if as_json:
            click.echo(
                msgspec.json.encode(
                    {
                        "seed": one.seed,
                        "predicted": span.mean,
                        "low": span.low,
                        "high": span.high,
                        "measured": one.measured,
                        "within": one.within,
                        "late_s": one.late_s,
                    }
                )
            )
            return
        said = "within" if one.within else "outside"
        busy = f"; this machine was late by {one.late_s * 1000:.0f} ms" if one.late_s > LATE else ""
        bars = f"{span.mean:.3f} ({span.low:.3f} to {span.high:.3f})"
        click.echo(f"seed {one.seed}: predicted {bars}, measured {one.measured:.3f}: {said}{busy}")

    found = check(load(scenario), play, range(seed, seed + runs), Prediction(models, level=level), told)
    if not as_json:
        click.echo(f"{sum(one.within for one in found)} of {len(found)} within their bars")


def _write(path: str, text: str) -> None:
    """A new file; one that is there is not touched."""
    try:
        with open(path, "x") as file:
            file.write(text)
    except OSError as fault:
        raise InputError(f"{path}: {fault.strerror}") from None


def _text(path: str) -> str:
    from stepflow.fleet.scenario import load

    load(path)  # which names what is wrong with it
    return Path(path).read_text()


def _flaws(source: Any) -> list[str]:
    """What is missing of a journal."""
    cut = source.cut or ("" if source.ended else "not ended in order")
    return [flaw for flaw in (cut, f"{source.lost} rows were dropped" if source.lost else "") if flaw]


def _row(cls: dict[str, Any]) -> tuple[str, ...]:
    pace = "-" if cls["per_s"] is None else f"{cls['per_s']:.2f}"
    counts = (str(cls["connections"]), str(cls["stood"]), pace, str(cls["moved"]))
    points = (_points(cls["connect_ms"]), _points(cls["life_s"]))
    return (cls["class"], *counts, *points, str(cls["lives_censored"]), _points(cls["load"]))


def _points(values: list[float] | None) -> str:
    return "-" if values is None else "/".join(f"{value:.3g}" for value in values)


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name or 'none yet'} {count}" for name, count in sorted(counts.items())) or "none"


def _table(rows: list[tuple[str, ...]]) -> None:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        click.echo("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
