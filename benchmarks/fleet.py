"""Speed of the simulation and coverage of its intervals: python -m benchmarks.fleet speed|coverage.

speed: simulated seconds for each second of one core, by the size of the fleet; the first row is the baseline
of the ratio. coverage: how often the confidence interval of the difference contains 0 when the policy is
compared with itself.
"""

from __future__ import annotations

import argparse
import math
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from stepflow.fleet.compare import interval
from stepflow.fleet.measurements import score
from stepflow.fleet.scenario import Class, Day, Fault, Kind, Scenario
from stepflow.fleet.simulation import Simulation
from stepflow.policy import Policy

KINDS = {
    "std-3c": Kind(0.25, 3, (1.7, 2.3), (0.32, 0.58), (4.0, 7.5)),
    "wide-4c": Kind(0.51, 4, (1.0, 1.4), (0.33, 0.51), (4.3, 8.4)),
    "old-3c": Kind(0.24, 3, (0.68, 0.92), (0.3, 0.6), (4.8, 8.7)),
}
CLASSES = {"view": Class(0.59), "save-edge": Class(0.41, (4, 8), (1, 3), aim_ms=800, wait_ms=4800, worth=3)}
SIZES = ((22, 2, 24.0), (50, 5, 55.0), (150, 14, 165.0), (500, 48, 1000.0))
SMALL_SCENARIO = Scenario(
    Day(seconds=15, warm=2, servers=8, nodes=2, rate=10, life=20, groups=30, utilization=0.6),
    KINDS,
    CLASSES,
    (Fault("start", 6, 1, 0.2),),
)


def speed(seconds: float) -> None:
    """Print the simulated seconds for each second of one core, by the size of the fleet."""
    columns = (("servers", 8), ("nodes", 6), ("standing", 9), ("1/s", 6), ("sim s/s", 8), ("ratio", 7))
    print(*(f"{name:>{width}}" for name, width in columns), "us a connection and second")
    first_pace = 0.0
    for servers, nodes, rate in SIZES:
        day = Day(seconds=seconds, warm=0, servers=servers, nodes=nodes, rate=rate, groups=int(5 * rate))
        simulation = Simulation(Scenario(day, KINDS, CLASSES), 1)
        started_at = time.perf_counter()
        simulation.run()
        elapsed = time.perf_counter() - started_at
        pace = seconds / elapsed
        first_pace = first_pace or pace
        established = simulation.traffic.established
        cost = 1e6 * elapsed / seconds / established
        row = f"{servers:8} {nodes:6} {established:9} {rate:6.0f} {pace:8.2f}"
        print(f"{row} {pace / first_pace:7.3f} {cost:10.1f}", flush=True)


def _net(seed: int, policy_stream: str) -> float:
    return score(SMALL_SCENARIO, Simulation(SMALL_SCENARIO, seed, Policy, policy_stream).run()).net


def coverage(repeats: int, runs: int) -> None:
    """Print how often the interval of the difference between two equal policies contains 0."""
    seeds = range(repeats * runs)
    with ProcessPoolExecutor() as pool:
        net_values = [list(pool.map(_net, seeds, [stream] * len(seeds), chunksize=10)) for stream in "AB"]
    differences = [b - a for a, b in zip(*net_values, strict=True)]
    intervals = [interval(differences[i * runs : (i + 1) * runs], 0.95) for i in range(repeats)]
    covering = sum(each.includes_zero for each in intervals)
    width = sum(each.high - each.low for each in intervals) / repeats
    error = 1.96 * math.sqrt(0.95 * 0.05 / repeats)
    print(
        f"{covering} of {repeats} intervals of 95% hold 0 ({runs} pairs each; 0.95 +- {error:.3f} expected)"
    )
    print(f"mean width {width:.4f}")


def main() -> int:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("speed", "coverage"))
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--repeats", type=int, default=100)
    parser.add_argument("--runs", type=int, default=10)
    arguments = parser.parse_args()
    if arguments.what == "speed":
        speed(arguments.seconds)
    else:
        coverage(arguments.repeats, arguments.runs)
    return 0


if __name__ == "__main__":
    sys.exit(main())
