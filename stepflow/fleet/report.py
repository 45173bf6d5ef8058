"""Renders a results folder as one HTML page that loads nothing else: tables, and charts as inline SVG."""

from __future__ import annotations

import io
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
import msgspec
import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq
from markupsafe import Markup
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from numpy.typing import NDArray

from stepflow.errors import InputError
from stepflow.fleet import scenario as scenarios
from stepflow.fleet.compare import FIGURES, Interval, interval

matplotlib.use("svg")  # needs no display, and searches for no GUI toolkit

COLOURS = {"A": "#4269a5", "B": "#c8553d"}
PARTS = FIGURES[: FIGURES.index("fallen")]  # the figures that are shares; charts show them in points of 100
BAND = (10, 90)  # percentiles of the runs between which a chart is shaded
STYLE: Any = {
    "svg.fonttype": "none",
    "svg.hashsalt": "stepflow",
    "font.size": 9,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "font.family": "sans-serif",
}


class ReportError(InputError):
    """A results folder can't be read, or its page can't be written."""


class _Side(msgspec.Struct):
    policy: str
    file: str
    scenario: str
    digest: str


class _Manifest(msgspec.Struct):
    """The manifest that `compare.save` writes beside the runs."""

    version: str
    level: float
    first: int
    seeds: list[int]
    wanted: int
    sides: list[_Side]


@dataclass(frozen=True)
class StoredComparison:
    """One comparison, read from a results folder."""

    name: str
    manifest: _Manifest
    figures: dict[str, dict[str, list[float]]]  # by side and figure, in the order of the seeds
    series: dict[str, dict[str, list[list[float]]]]  # by side and name, in the order of the seeds

    def difference(self, figure: str) -> Interval:
        """The mean of the paired differences, B minus A, with the interval that `compare` shows."""
        delta = np.array(self.figures["B"][figure]) - np.array(self.figures["A"][figure])
        return interval(list(delta), self.manifest.level, self.manifest.first)


def read(folder: str | Path) -> list[StoredComparison]:
    """All comparisons in a results folder, sorted by name; raises ReportError if one can't be read."""
    found = []
    for path in sorted(Path(folder).glob("compare-*.json")):
        try:
            manifest = msgspec.json.decode(path.read_bytes(), type=_Manifest)
            runs = pq.read_table(path.with_suffix(".parquet")).to_pylist()
            series_path = path.with_name(f"{path.stem}-series.parquet")
            series_rows = pq.read_table(series_path).to_pylist() if series_path.exists() else []
        except msgspec.DecodeError as error:
            raise ReportError(f"{path}: {error}") from None
        except (OSError, pa.ArrowInvalid) as error:
            raise ReportError(f"{path}: its runs can't be read: {str(error).splitlines()[0]}") from None
        found.append(_stored(path, manifest, runs, series_rows))
    if not found:
        raise ReportError(f"{folder}: contains no comparison")
    return found


def _stored(
    path: Path, manifest: _Manifest, runs: Sequence[dict[str, Any]], series_rows: Sequence[dict[str, Any]]
) -> StoredComparison:
    figures: dict[str, dict[str, list[float]]] = {"A": {}, "B": {}}
    series: dict[str, dict[str, list[list[float]]]] = {"A": {}, "B": {}}
    try:
        for row in sorted(runs, key=lambda row: row["seed"]):
            for figure in FIGURES:
                figures[row["side"]].setdefault(figure, []).append(row[figure])
        for row in sorted(series_rows, key=lambda row: row["seed"]):
            series[row["side"]].setdefault(row["name"], []).append(row["values"])
        if {len(values) for side in figures.values() for values in side.values()} != {len(manifest.seeds)}:
            raise ReportError(f"{path}: the number of runs differs from the number of seeds")
    except KeyError as error:
        raise ReportError(f"{path}: its tables are not those of a comparison: no {error}") from None
    return StoredComparison(path.stem, manifest, figures, series)


# Charts.


def _svg(figure: Figure) -> str:
    """The figure as an <svg> element; the page's style sets its width."""
    out = io.StringIO()
    with matplotlib.rc_context(STYLE):
        figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None, "Creator": None})
    markup = out.getvalue()
    return markup[markup.index("<svg") :]


def _axes(title: str, height: float = 2.4) -> tuple[Figure, Axes]:
    with matplotlib.rc_context(STYLE):
        figure = Figure(figsize=(5.4, height))
        axes = figure.subplots()
    axes.set_title(title, loc="left", fontsize=10)
    return figure, axes


def _forest(comparison: StoredComparison) -> str:
    """A chart of the difference of each share with its interval, in points of 100."""
    figure, axes = _axes("B less A, in points of 100", 3.0)
    axes.axvline(0, color="#999", linewidth=0.8)
    for y, name in enumerate(reversed(PARTS)):
        delta = comparison.difference(name)
        low, mean, high = (100 * value for value in (delta.low, delta.mean, delta.high))
        colour = "#999" if delta.includes_zero else COLOURS["B"] if name == "net" else "#333"
        axes.plot([low, high], [y, y], color=colour, linewidth=2)
        axes.plot([mean], [y], "o", color=colour, markersize=4)
    axes.set_yticks(range(len(PARTS)), [name.replace("_", " ") for name in reversed(PARTS)])
    return _svg(figure)


def _stacked(runs: Sequence[Sequence[float]]) -> NDArray[np.float64]:
    least = min(map(len, runs))
    return np.array([run[:least] for run in runs], dtype=float)


def _over_time(comparison: StoredComparison, names: Sequence[str], title: str, unit: str) -> str:
    """A chart of the means over the runs, by name; for a single name, the range of BAND is shaded."""
    figure, axes = _axes(title)
    for style, name in zip(("-", "--", ":", "-."), names, strict=False):
        for side, colour in COLOURS.items():
            values = _stacked(comparison.series[side][name])
            seconds = np.arange(values.shape[1])
            label = f"{side}" if len(names) == 1 else f"{side} {name.removeprefix('load of ')}"
            axes.plot(seconds, values.mean(axis=0), style, color=colour, linewidth=1.3, label=label)
            if len(names) == 1:
                low, high = np.percentile(values, BAND, axis=0)
                axes.fill_between(seconds, low, high, color=colour, alpha=0.15, linewidth=0)
    axes.set_xlabel("seconds")
    axes.set_ylabel(unit)
    axes.legend(frameon=False, fontsize=8, ncols=2)
    return _svg(figure)


def _servers(comparison: StoredComparison) -> str:
    """Box plots of the servers' mean loads over all runs, by kind of server."""
    names = sorted(name for name in comparison.series["A"] if name.startswith("servers of "))
    figure, axes = _axes("Each server's mean load, by kind")
    for number, name in enumerate(names):
        for shift, (side, colour) in zip((-0.17, 0.17), COLOURS.items(), strict=True):
            values = [value for run in comparison.series[side].get(name, []) for value in run]
            boxes = axes.boxplot(
                [values], positions=[number + shift], widths=0.28, showfliers=False, patch_artist=True
            )
            boxes["boxes"][0].set(facecolor=colour, alpha=0.5)
            boxes["medians"][0].set(color="#222")
    axes.set_xticks(range(len(names)), [name.removeprefix("servers of ") for name in names])
    axes.axhline(1.0, color="#999", linewidth=0.8, linestyle=":")
    axes.set_ylabel("load over capacity")
    return _svg(figure)


def _pairs(comparison: StoredComparison) -> str:
    """A chart of the difference for each seed, in ascending order: the values behind the interval."""
    figure, axes = _axes("Net service by day: B less A")
    delta = np.array(comparison.figures["B"]["net"]) - np.array(comparison.figures["A"]["net"])
    order = np.argsort(delta)
    colours = [COLOURS["B"] if value > 0 else COLOURS["A"] for value in delta[order]]
    axes.bar(range(len(delta)), 100 * delta[order], color=colours, width=0.8)
    axes.axhline(0, color="#999", linewidth=0.8)
    axes.set_xlabel("days, by difference")
    axes.set_ylabel("points of 100")
    axes.set_xticks([])
    return _svg(figure)


def _charts(comparison: StoredComparison) -> list[str]:
    charts = [_forest(comparison)]
    if comparison.series["A"]:
        kinds = sorted(name for name in comparison.series["A"] if name.startswith("load of "))
        charts += [
            _over_time(comparison, ["service"], "Service over time", "share served"),
            _over_time(comparison, kinds[:4], "Load by kind of server", "load over capacity"),
            _servers(comparison),
            _over_time(comparison, ["imbalance"], "Imbalance", "deviation of load over capacity"),
        ]
    return [*charts, _pairs(comparison)]


# The page.


def _verdict(comparison: StoredComparison) -> str:
    delta = comparison.difference("net")
    if delta.includes_zero:
        span = f"{100 * delta.low:+.2f} to {100 * delta.high:+.2f}"
        return f"No difference seen: the interval is {span} points of 100."
    better = "B" if delta.mean > 0 else "A"
    low, high = sorted((abs(100 * delta.low), abs(100 * delta.high)))
    return f"{better} serves better, by {low:.2f} to {high:.2f} points of 100."


def _warnings(comparison: StoredComparison) -> list[str]:
    found = []
    for name, side in zip("AB", comparison.manifest.sides, strict=True):
        scenario = scenarios.read(side.scenario, side.file)
        for text in scenario.extrapolations(max(comparison.figures[name]["peak_load"])):
            found.append(f"{name} extrapolates: {text}.")
    if len(comparison.manifest.seeds) < comparison.manifest.wanted:
        found.append(
            f"Ended early: {len(comparison.manifest.seeds)} of {comparison.manifest.wanted} days were played."
        )
    return found


def _rows(comparison: StoredComparison) -> list[tuple[str, str, str, str, str, bool]]:
    rows = []
    for name in FIGURES:
        delta = comparison.difference(name)
        means = [float(np.mean(comparison.figures[side][name])) for side in "AB"]
        # Adding 0.0 turns -0.0 into 0.0.
        low, mean, high = (round(value, 4) + 0.0 for value in (delta.low, delta.mean, delta.high))
        span = f"{low:+.4f} to {high:+.4f}"
        shown, nothing = name.replace("_", " "), delta.includes_zero
        rows.append((shown, f"{means[0]:.4f}", f"{means[1]:.4f}", f"{mean:+.4f}", span, nothing))
    return rows


def page(folder: str | Path) -> str:
    """The HTML page of all comparisons in a results folder."""
    comparisons = read(folder)
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("stepflow.fleet"), autoescape=True, undefined=jinja2.StrictUndefined
    )
    shown = [
        {
            "name": comparison.name,
            "manifest": comparison.manifest,
            "verdict": _verdict(comparison),
            "warnings": _warnings(comparison),
            "rows": _rows(comparison),
            "charts": [Markup(chart) for chart in _charts(comparison)],
        }
        for comparison in comparisons
    ]
    return environment.get_template("report.html").render(comparisons=shown)


def write(folder: str | Path, out: str | Path) -> int:
    """Write the complete page or nothing; returns the number of its comparisons."""
    text = page(folder)
    target = Path(out)
    temporary = target.with_name(f".{target.name}.new")
    try:
        temporary.write_text(text)
        temporary.rename(target)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        raise ReportError(f"{target}: {error.strerror}") from None
    return text.count("<section")
