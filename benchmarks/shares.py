"""Divided wholes on a virtual network: `python -m benchmarks.shares [--seeds N] [--places 2,3,5,7]`.

First that many schedules of 1 to 7 places on a network that fails as the seed says, and the most that any
window held; a seed that breaks the rule is printed with the command that plays it again. Then what a sound
network uses of the whole, beside fixed parts in the same run, with even need and where one place wants eight
times what the others do.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from standins.members import Network, Weather
from stepflow.budgets.shared_limits import ONE

CALM = Weather(loss=0.01, doubled=0.0, very_late=0.0, cuts=0.0, partitions=0.0, pauses=0.0, kills=0.0)
SECONDS = 20


def schedule(seed: int) -> tuple[int, int]:
    """One seed, and the most that a window held."""
    network = Network(seed, 1 + seed % 7, Weather())
    network.play(SECONDS)
    return seed, network.checker.worst


def used(places: int, uneven: bool, fixed: bool) -> tuple[float, float]:
    """The share of the whole that is used on a sound network, and bytes a second and node."""
    network = Network(1, places, CALM, lambda place: 1.0 if not uneven else 2.4 if place == 0 else 0.3)
    network.play(1)
    if fixed:
        for place in network.places:
            place.shares.kept, place.shares.part = ONE // places, 0
    network.play(9)
    before, sent = network.checker.total, network.bytes
    network.play(SECONDS)
    return (network.checker.total - before) / SECONDS / ONE, (network.bytes - sent) / SECONDS / places


def main() -> int:
    """Print both tables; 1 where a window held more than the whole."""
    words = argparse.ArgumentParser()
    words.add_argument("--seeds", type=int, default=300)
    words.add_argument("--first", type=int, default=0)
    words.add_argument("--places", default="2,3,5,7")
    told = words.parse_args()
    with ProcessPoolExecutor() as pool:
        found = list(pool.map(schedule, range(told.first, told.first + told.seeds), chunksize=10))
    broken = [seed for seed, worst in found if worst > ONE]
    most = max((worst for _, worst in found), default=0) / ONE
    print(f"{len(found)} schedules of {SECONDS} s: {len(broken)} broken, most in a window {most:.4f}")
    for seed in broken:
        print(f"broken: python -m benchmarks.shares --seeds 1 --first {seed} --places 3")
    print("places  need        used  fixed parts  ratio  bytes a second and node")
    for places in map(int, told.places.split(",")):
        for uneven in (False, True):
            (shared, sent), (fixed, _) = used(places, uneven, False), used(places, uneven, True)
            need = "8 to 1" if uneven else "even"
            print(f"{places:6}  {need:8}  {shared:6.2f}  {fixed:11.2f}  {shared / fixed:5.2f}  {sent:8.0f}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
