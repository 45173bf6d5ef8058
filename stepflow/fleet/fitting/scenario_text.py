"""Renders a fit as the text of a scenario file."""

from __future__ import annotations

import math
from collections.abc import Sequence

from stepflow.fleet.fitting.result import Fit
from stepflow.fleet.scenario import Class


def scenario_text(result: Fit, source: str) -> str:
    """The text of a scenario file; comments at its head name the source, what is absent, and poor fits."""
    head = [f"# Fitted to {source}", "# Not in the trace, using defaults: " + ", ".join(result.absent)]
    head += [
        f"# Poor fit: {estimate.name}: {estimate.flaw}" for estimate in result.estimates if estimate.flaw
    ]
    blocks = _day_blocks(result)
    if result.peak_rate:
        peaks = [f"    rate {result.peak_rate:.4g}", f"    utilization {result.peak_load:.4g}"]
        blocks.append(_block("trace", peaks))
    for name, kind in result.kinds.items():
        speeds = f"    speed {kind.low_speed:.4g}..{kind.high_speed:.4g}"
        lines = [f"    share {kind.share:.4g}", f"    cores {kind.cores:g}", speeds]
        blocks.append(_block(f"kind {name}", lines))
    blocks += [_class_block(name, cls) for name, cls in result.classes.items()]
    return "\n".join([*head, *blocks]) + "\n"


def _day_blocks(result: Fit) -> list[str]:
    """The blocks `day`, with the number of events of each estimate, and `fitted`, with bounded intervals."""
    day = [
        f"    servers {result.servers}",
        f"    nodes {result.nodes}",
        f"    groups {result.groups}",
        f"    report-noise {result.noise:.4g}",
    ]
    intervals = []
    for name in ("rate", "life", "utilization"):
        estimate = next((estimate for estimate in result.estimates if estimate.name == name), None)
        if estimate is None or not math.isfinite(estimate.value):
            continue
        day.append(f"    {name} {estimate.value:.4g}    # {estimate.events} events")
        if estimate.known:
            intervals.append(f"    {name} {max(0.0, estimate.low):.4g}..{estimate.high:.4g}")
    return [_block("day", day), _block("fitted", intervals)]


def _class_block(name: str, cls: Class) -> str:
    lines = [
        f"    share {cls.share:.4g}",
        f"    load {cls.load[0]:.4g}",
        f"    life {cls.life[0]:.4g}",
        f"    load-sigma {cls.load_sigma:.4g}",
        f"    swing-sigma {cls.swing_sigma:.4g}",
        f"    aim-ms {cls.aim_ms:g}",
        f"    wait-ms {cls.wait_ms:g}",
        f"    worth {cls.worth:g}",
    ]
    return _block(f"class {name}", lines)


def _block(name: str, lines: Sequence[str]) -> str:
    return "\n".join([f"{name} {{", *lines, "}"])
