"""How late a node hears of a drain after an outage of discovery: python -m benchmarks.outages [OPTIONS].

Each node has an agent of its own, or with --ask-within-ms a discovery of its own that it has to ask, which
falls silent for a drawn time, before or after the node has started, and then has the news that an endpoint
drains. A row for each way in which the calls of an outage may be treated; "late" counts the nodes that heard
after the grace period, or after the time for asking. With --against the nodes run another checkout.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.memory import ROOT
from standins.agent import Agent, Outage
from standins.fleet import HOST, MapServer
from standins.node import running_node

OUTAGE_S = (0.2, 23.0)
WAIT_LIMIT_S = 8.0  # a node that hears later is not waited for


@dataclass(frozen=True)
class Terms:
    """The settings of the nodes; times in milliseconds."""

    grace_ms: int  # of drains
    ask_within_ms: int  # 0: lists are pushed

    @property
    def heard_within_s(self) -> float:
        """The seconds within which news has to be heard."""
        return (self.ask_within_ms or self.grace_ms) / 1000

    def apply(self, settings: dict[str, Any]) -> None:
        """Write them to a configuration's settings."""
        safety = settings.setdefault("safety", {})
        safety["drain_grace_us"] = self.grace_ms * 1000
        settings["discovery"] = "pushed"
        if self.ask_within_ms:
            settings["discovery"] = "on_request"
            safety["ask_within_us"] = self.ask_within_ms * 1000

    def __str__(self) -> str:
        asked = f"asked within {self.ask_within_ms} ms" if self.ask_within_ms else "pushed"
        return f"lists {asked}, grace {self.grace_ms} ms"


@dataclass(frozen=True)
class Result:
    """One outage as its node's agent saw it; times in seconds."""

    length_s: float
    calls: int  # that the agent got during the outage
    heard_after_s: float  # from the return to the first answer with the news


def configuration(agent: Agent, name: str, terms: Terms) -> dict[str, Any]:
    """Return the configuration of example/config.json with these terms."""
    config: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    terms.apply(config["settings"])
    config.update(name=name, listen=f"{HOST}:0", discovery=agent.address, known=agent.known())
    return config


async def play_outage(number: int, outage: Outage, seed: int, terms: Terms, root: Path) -> Result:
    """Play one outage with a node of its own."""
    rng = random.Random(seed * 1000 + number)
    server = MapServer("s-1")
    agent = Agent([server, MapServer("s-2")])
    await agent.begin()
    starts_in_outage = rng.choice((False, True))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(agent, f"n{number}", terms)))
        if starts_in_outage:
            agent.begin_outage(outage)
        async with running_node(path, {"TMPDIR": folder, "STEPFLOW_CONF": os.devnull}, root):
            if not starts_in_outage:
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                agent.begin_outage(outage)
            calls_before, length_s = agent.calls, rng.uniform(*OUTAGE_S)
            await asyncio.sleep(length_s)
            calls = agent.calls - calls_before
            agent.end_outage(server, "Terminating")
            until = agent.told_at + WAIT_LIMIT_S
            while not agent.heard_at and asyncio.get_running_loop().time() < until:
                await asyncio.sleep(0.005)
    agent.close()
    return Result(length_s, calls, (agent.heard_at or until) - agent.told_at)


async def measure(outages: int, seed: int, terms: Terms, root: Path) -> None:
    """Play outages of each kind and print a row for each."""
    print(f"{terms}, {outages} outages of {OUTAGE_S[0]} to {OUTAGE_S[1]} s a row, seed {seed}")
    print(f"{'calls are':>10} {'calls in an outage':>22} {'a second':>9} {'heard after, s':>24} {'late':>5}")
    for outage in Outage:
        results = await asyncio.gather(
            *(play_outage(number, outage, seed, terms, root) for number in range(outages))
        )
        calls = [result.calls for result in results]
        rate = sum(calls) / sum(result.length_s for result in results)
        heard = sorted(result.heard_after_s for result in results)
        late = sum(span > terms.heard_within_s for span in heard)
        call_text = f"{statistics.median(calls):.0f}, at most {max(calls)}"
        heard_text = f"{statistics.median(heard):.3f}, at most {heard[-1]:.3f}"
        print(f"{outage.value:>10} {call_text:>22} {rate:9.2f} {heard_text:>24} {late:5}")


def main() -> int:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--outages", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--grace-ms", type=int, default=500)
    parser.add_argument("--ask-within-ms", type=int, default=0)
    parser.add_argument("--against", type=Path, default=ROOT)
    arguments = parser.parse_args()
    terms = Terms(arguments.grace_ms, arguments.ask_within_ms)
    asyncio.run(measure(arguments.outages, arguments.seed, terms, arguments.against))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
