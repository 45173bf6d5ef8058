"""`stepflow fleet`: the command group, and the commands that create and read traces.

Handles arguments and output; stepflow.fleet does the work. Each command imports it when it runs, since the
extra `fleet` may be missing. Commands that run scenarios are in fleet_studies.py. Errors: InputError.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from stepflow.cli.output import Row, format_counts, print_json, print_table, write_new_file
from stepflow.errors import InputError
from stepflow.traffic.writer import journals

CLASS_COLUMNS = (
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


@click.group()
def fleet() -> None:
    """Process traces of recorded traffic, and run the model of the fleet (needs the extra `fleet`)."""


@fleet.command()
@click.argument("sources", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("-o", "--out", required=True, type=click.Path(), help="The new folder of the trace.")
def convert(sources: tuple[str, ...], out: str) -> None:
    """Convert journals to a trace; SOURCES are journal files, or folders that a node's recorder writes to."""
    from stepflow.fleet import convert as make

    paths: list[str] = []
    for source in sources:
        paths += journals(source) if Path(source).is_dir() else [source]
    if not paths:
        raise InputError(f"{sources[0]}: contains no journals")

    with click.progressbar(paths, label="journals", file=sys.stderr) as bar:
        manifest = make(bar, out)
    for journal in manifest.sources:
        if flaws := _flaws(journal):
            click.echo(f"{journal.path}: {', '.join(flaws)}", err=True)
    click.echo(f"{out}: {sum(journal.rows for journal in manifest.sources)} rows of {len(paths)} journals")


@fleet.command()
@click.argument("trace", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def inspect(trace: str, as_json: bool) -> None:
    """Summarize TRACE: its classes, its endpoints, and missing data."""
    from stepflow.fleet import Trace
    from stepflow.fleet.trace import summary as summarize

    summary = summarize(Trace(trace))
    if as_json:
        print_json(summary)
        return
    click.echo("connect, life and load: 10%, 50% and 90% quantiles; censored: still established at the end")
    nodes = ", ".join(summary["nodes"]) or "no node"
    size = f"{summary['servers']} servers, {summary['groups']} groups"
    click.echo(f"{summary['seconds']:.1f} s of {nodes}: {size}")
    click.echo(f"probes: {format_counts(summary['probes'])}")
    print_table([CLASS_COLUMNS, *(_class_row(cls) for cls in summary["classes"])])
    for cls in summary["classes"]:
        click.echo(f"{cls['class']}: answers {format_counts(cls['answers'])}")
    for source in msgspec.convert(summary["sources"], list[Any]):
        if source["cut"] or source["lost"]:
            click.echo(f"{source['path']}: {source['cut'] or 'whole'}; {source['lost']} rows were dropped")


@fleet.command()
@click.argument("scenario", type=click.Path())
@click.option("-o", "--out", required=True, type=click.Path(), help="The new folder of the journals.")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--policy", default="present", show_default=True, help="A policy's name, as for compare.")
def synth(scenario: str, out: str, seed: int, policy: str) -> None:
    """Simulate a day of SCENARIO and write its nodes' journals, for use until there is a recorded trace."""
    from stepflow.fleet.policy_specs import policy_factory
    from stepflow.fleet.scenario import load
    from stepflow.fleet.synth import synth as make

    paths = make(load(scenario), seed, out, policy_factory(policy))
    folders = " ".join(sorted({str(path.parent) for path in paths}))
    click.echo(f"{len(paths)} journals; next: stepflow fleet convert {folders} -o TRACE")


@fleet.command()
@click.argument("trace", type=click.Path())
@click.option(
    "-o",
    "--out",
    type=click.Path(),
    help="The new file of the scenario; without it, the estimates are only printed.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def fit(trace: str, out: str | None, as_json: bool) -> None:
    """Estimate a scenario from TRACE: rates, lifetimes, loads and speeds, with their 95% intervals."""
    from stepflow.fleet import Trace
    from stepflow.fleet.fitting import fit as estimate
    from stepflow.fleet.fitting import scenario_text

    fitted = estimate(Trace(trace))
    if out is not None:
        write_new_file(out, scenario_text(fitted, trace))
    if as_json:
        print_json({"estimates": fitted.estimates, "absent": fitted.absent})
        return
    rows: list[Row] = [("", "estimate", "interval of 95%", "events", "")]
    for estimated in fitted.estimates:
        span = f"{estimated.low:.4g} to {estimated.high:.4g}"
        rows.append((estimated.name, f"{estimated.value:.4g}", span, str(estimated.events), estimated.flaw))
    print_table(rows)
    click.echo(f"not in the trace, using defaults: {', '.join(fitted.absent)}")
    if out is not None:
        click.echo(f"{out}: {fitted.servers} servers, {fitted.nodes} nodes that recorded")


def _flaws(journal: Any) -> list[str]:
    """Describe what is missing from a journal."""
    cut = journal.cut or ("" if journal.ended else "not ended in order")
    lost = f"{journal.lost} rows were dropped" if journal.lost else ""
    return [flaw for flaw in (cut, lost) if flaw]


def _class_row(cls: dict[str, Any]) -> Row:
    """Return the cells of CLASS_COLUMNS for a class."""
    rate = "-" if cls["per_s"] is None else f"{cls['per_s']:.2f}"
    counts = (str(cls["connections"]), str(cls["stood"]), rate, str(cls["moved"]))
    quantiles = (_format_quantiles(cls["connect_ms"]), _format_quantiles(cls["life_s"]))
    return (cls["class"], *counts, *quantiles, str(cls["lives_censored"]), _format_quantiles(cls["load"]))


def _format_quantiles(values: list[float] | None) -> str:
    return "-" if values is None else "/".join(f"{value:.3g}" for value in values)
