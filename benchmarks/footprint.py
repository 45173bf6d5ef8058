"""Private memory of a node: python -m benchmarks.footprint [--servers N] [--sessions N] [--packages N].

Prints the private memory of a bare interpreter (the baseline of the ratio), of an idle node with one endpoint
and with many, and of a node as sessions are added a hundred at a time; then the number of modules that `run`
loads, and the memory that each package adds while it is imported.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.memory import ROOT, LoadGenerator, configuration
from standins.fleet import Fleet, MapServer
from standins.node import start_node

STEP = 100  # sessions
# Runs in a new interpreter: measures the memory that each import adds, without the imports inside it.
# smaps_rollup stays open between readings, so that a reading costs little.
MEASURE_PACKAGES = """
import importlib._bootstrap as machinery, json, sys
rollup = open("/proc/self/smaps_rollup", "rb", buffering=0)
def private():
    rollup.seek(0)
    lines = rollup.read().split(b"\\n")
    return next(int(line.split()[1]) for line in lines if line.startswith(b"Private_Dirty"))
added, nested, original_load = {}, [0], machinery._load_unlocked
def load(spec):
    before = private()
    nested.append(0)
    try:
        return original_load(spec)
    finally:
        growth, nested_growth = private() - before, nested.pop()
        nested[-1] += growth
        parts = spec.name.split(".")
        name = ".".join(parts[: 2 if parts[0] in ("stepflow", "twisted") else 1])
        totals = added.setdefault(name, [0, 0])
        totals[0] += 1
        totals[1] += growth - nested_growth
machinery._load_unlocked = load
from stepflow import lazy_imports
lazy_imports.install()
import stepflow.node.process.start, stepflow.node.process.run
print(json.dumps([len(sys.modules), added]))
"""


def parse_private_mb(rollup: str) -> float:
    """Return the MB that a process shares with no other, from the text of its smaps_rollup."""
    lines = rollup.splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("Private_Dirty"))


def process_private_mb(pid: int) -> float:
    """Return the private memory of a running process in MB."""
    return parse_private_mb(Path(f"/proc/{pid}/smaps_rollup").read_text())


def interpreter_private_mb() -> float:
    """Return the private memory in MB of an interpreter that imports nothing."""
    code = "print(open('/proc/self/smaps_rollup').read())"
    return parse_private_mb(
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    )


async def measure_node(root: Path, servers: int, sessions: int) -> list[tuple[str, float]]:
    """Return the private MB by case: bare interpreter, idle with one endpoint and with all, with sessions."""
    results = [("a bare interpreter", interpreter_private_mb())]
    for count in (1, servers):
        fleet = Fleet([MapServer(f"s-{i}") for i in range(count)])
        await fleet.begin()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(configuration(fleet)))
            node, port = await start_node(path, {"TMPDIR": folder}, root)
            await asyncio.sleep(3)  # until the first watch and the first health checks are over
            results.append((f"idle, {count} servers", process_private_mb(node.pid)))
            load = LoadGenerator(port)
            open_sessions: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            while count == servers and len(open_sessions) < sessions:
                if (session := await load.open()) is None:
                    await asyncio.sleep(0.05)
                    continue
                open_sessions.append(session)
                if len(open_sessions) % STEP == 0:
                    results.append((f"{len(open_sessions)} sessions", process_private_mb(node.pid)))
            for _, writer in open_sessions:
                writer.close()
            node.kill()
            await node.wait()
        fleet.close()
    return results


def main() -> int:
    """Print the private memory of a node, then what the packages that it loads add."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=90)
    parser.add_argument("--sessions", type=int, default=300)
    parser.add_argument("--packages", type=int, default=15, help="how many packages are shown")
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose node is measured")
    arguments = parser.parse_args()
    results = asyncio.run(measure_node(arguments.root, arguments.servers, arguments.sessions))
    for name, private_mb in results:
        print(f"{name:24} {private_mb:6.1f} MB {private_mb / results[0][1]:6.2f}")
    completed = subprocess.run(
        [sys.executable, "-c", MEASURE_PACKAGES],
        cwd=arguments.root,
        capture_output=True,
        text=True,
        check=True,
    )
    modules, added = json.loads(completed.stdout)
    print(f"\n{modules} modules; the packages that add most, in KB:")
    largest: list[tuple[str, Any]] = sorted(added.items(), key=lambda item: -item[1][1])
    for name, (count, added_kb) in largest[: arguments.packages]:
        print(f"{name:24} {count:4} modules {added_kb:6}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
