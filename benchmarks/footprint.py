"""What a node holds by itself: python -m benchmarks.footprint [--servers N] [--sessions N] [--packages N].

Prints the private memory of a node that idles, with many servers in its list, and as sessions are added a
hundred at a time, beside a bare interpreter's (the baseline of the ratio); then the modules that `run` loads
and what each package adds while it is imported.
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

from benchmarks.memory import ROOT, Load, configuration
from standins.fleet import Fleet, MapServer
from standins.node import start_node

STEP = 100  # sessions
# Runs in a fresh interpreter: what each import adds without what it imports itself. The file is read through
# one descriptor, so that looking costs next to nothing.
BY_PACKAGE = """
import importlib._bootstrap as machinery, json, sys
rollup = open("/proc/self/smaps_rollup", "rb", buffering=0)
def private():
    rollup.seek(0)
    lines = rollup.read().split(b"\\n")
    return next(int(line.split()[1]) for line in lines if line.startswith(b"Private_Dirty"))
added, inner, load_as_ever = {}, [0], machinery._load_unlocked
def load(spec):
    before = private()
    inner.append(0)
    try:
        return load_as_ever(spec)
    finally:
        grew, within = private() - before, inner.pop()
        inner[-1] += grew
        parts = spec.name.split(".")
        name = ".".join(parts[: 2 if parts[0] in ("stepflow", "twisted") else 1])
        found = added.setdefault(name, [0, 0])
        found[0] += 1
        found[1] += grew - within
machinery._load_unlocked = load
from stepflow import lazy_imports
lazy_imports.begin()
import stepflow.node.process.start, stepflow.node.process.run
print(json.dumps([len(sys.modules), added]))
"""


def private_in(rollup: str) -> float:
    """MB that a process shares with no other, as the kernel's sums of its memory tell."""
    lines = rollup.splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("Private_Dirty"))


def private_mb(pid: int) -> float:
    """The same of a process that runs."""
    return private_in(Path(f"/proc/{pid}/smaps_rollup").read_text())


def bare_mb() -> float:
    """The same of an interpreter that imports nothing."""
    code = "print(open('/proc/self/smaps_rollup').read())"
    return private_in(
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    )


async def rows(root: Path, servers: int, sessions: int) -> list[tuple[str, float]]:
    """What was held: at idle with one server, with all of them, and with more and more sessions."""
    found = [("a bare interpreter", bare_mb())]
    for count in (1, servers):
        fleet = Fleet([MapServer(f"s-{i}") for i in range(count)])
        await fleet.begin()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(configuration(fleet)))
            node, port = await start_node(path, {"TMPDIR": folder}, root)
            await asyncio.sleep(3)  # the first watch and the first probes are over
            found.append((f"idle, {count} servers", private_mb(node.pid)))
            load = Load(port)
            stand: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            while count == servers and len(stand) < sessions:
                if (session := await load.open()) is None:
                    await asyncio.sleep(0.05)
                    continue
                stand.append(session)
                if len(stand) % STEP == 0:
                    found.append((f"{len(stand)} sessions", private_mb(node.pid)))
            for _, writer in stand:
                writer.close()
            node.kill()
            await node.wait()
        fleet.close()
    return found


def main() -> int:
    """Print the private memory of a node, then that of the packages that it loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=90)
    parser.add_argument("--sessions", type=int, default=300)
    parser.add_argument("--packages", type=int, default=15, help="how many packages are shown")
    parser.add_argument("--root", type=Path, default=ROOT, help="the checkout whose node is measured")
    told = parser.parse_args()
    found = asyncio.run(rows(told.root, told.servers, told.sessions))
    for name, held in found:
        print(f"{name:24} {held:6.1f} MB {held / found[0][1]:6.2f}")
    done = subprocess.run(
        [sys.executable, "-c", BY_PACKAGE], cwd=told.root, capture_output=True, text=True, check=True
    )
    modules, added = json.loads(done.stdout)
    print(f"\n{modules} modules; the packages that add most, in KB:")
    most: list[tuple[str, Any]] = sorted(added.items(), key=lambda item: -item[1][1])
    for name, (count, grew) in most[: told.packages]:
        print(f"{name:24} {count:4} modules {grew:6}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
