"""Start time and memory of a node: python -m benchmarks.start [--runs N] [--against CHECKOUT].

Starts a node of another checkout and one of this checkout in turn, and prints the median seconds until each
listens, its resident memory then, and the ratios of this checkout to the other. Without --against, the other
is a bare interpreter that runs Twisted's reactor.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.memory import ROOT, configuration, resident_mb
from standins.fleet import Fleet, MapServer

BARE_REACTOR = (
    "import sys; from twisted.internet import reactor; "
    "print('event=listening', file=sys.stderr); reactor.run()"
)


def measure_start(root: Path, python_arguments: list[str], env: dict[str, str]) -> tuple[float, float]:
    """Start a process; returns the seconds until it logs that it listens, and its resident MB then."""
    started_at = time.perf_counter()
    with subprocess.Popen(
        [sys.executable, *python_arguments], cwd=root, env=env, stderr=subprocess.PIPE
    ) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if b"event=listen" in line:  # older checkouts log event=listens
                break
        elapsed, memory = time.perf_counter() - started_at, resident_mb(process.pid)
        process.kill()
    return elapsed, memory


def main() -> int:
    """Print the start time and memory of a node, after those of the other checkout or of a bare reactor."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument("--against", type=Path, help="another checkout")
    arguments = parser.parse_args()
    baseline = (arguments.against, ["-m", "stepflow"]) if arguments.against else (ROOT, ["-c", BARE_REACTOR])
    results: dict[str, list[tuple[float, float]]] = {"other": [], "this": []}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(Fleet([MapServer("s-1")], address="127.0.0.1:9"))))
        for run in range(arguments.runs):
            env = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": f"{folder}/{run}"}
            results["other"].append(measure_start(baseline[0], baseline[1], env))
            results["this"].append(measure_start(ROOT, ["-m", "stepflow"], env))
    rows = {
        name: [statistics.median(column) for column in zip(*runs, strict=True)]
        for name, runs in results.items()
    }
    print(f"{'':6} {'s':>7} {'MB':>6}")
    for name, (elapsed, memory) in rows.items():
        print(f"{name:6} {elapsed:7.3f} {memory:6.1f}")
    print(f"ratio  {rows['this'][0] / rows['other'][0]:7.3f} {rows['this'][1] / rows['other'][1]:6.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
