"""What a start costs: python -m benchmarks.start [--runs N] [--against CHECKOUT].

Starts the node of this checkout and another's in turn, and prints the median seconds until it listens, the
resident memory then, and the ratio to the other's (or to a bare interpreter that imports Twisted's reactor).
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

BARE = "import sys; from twisted.internet import reactor; print('listens', file=sys.stderr); reactor.run()"


def once(root: Path, words: list[str], env: dict[str, str]) -> tuple[float, float]:
    """Seconds until the log says that it listens, and MB then."""
    began = time.perf_counter()
    with subprocess.Popen([sys.executable, *words], cwd=root, env=env, stderr=subprocess.PIPE) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if b"listens" in line:
                break
        took, memory = time.perf_counter() - began, resident_mb(process.pid)
        process.kill()
    return took, memory


def main() -> int:
    """Print how long a node takes to start, beside another one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument("--against", type=Path, help="another checkout")
    told = parser.parse_args()
    other = (told.against, ["-m", "stepflow"]) if told.against else (ROOT, ["-c", BARE])
    found: dict[str, list[tuple[float, float]]] = {"other": [], "this": []}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(Fleet([MapServer("s-1")], address="127.0.0.1:9"))))
        for run in range(told.runs):
            env = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": f"{folder}/{run}"}
            found["other"].append(once(other[0], other[1], env))
            found["this"].append(once(ROOT, ["-m", "stepflow"], env))
    rows = {
        name: [statistics.median(column) for column in zip(*runs, strict=True)]
        for name, runs in found.items()
    }
    print(f"{'':6} {'s':>7} {'MB':>6}")
    for name, (took, memory) in rows.items():
        print(f"{name:6} {took:7.3f} {memory:6.1f}")
    print(f"ratio  {rows['this'][0] / rows['other'][0]:7.3f} {rows['this'][1] / rows['other'][1]:6.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
