"""Shared limits on a virtual network: `python -m benchmarks.shares [--seeds N] [--members 2,3,5,7]`.

First runs --seeds schedules of 1 to 7 members on a network whose faults follow from the seed, and prints the
largest use within any window; for each seed that breaks the limit, it prints a command to run it again. Then
prints the part of the limit that is used on a healthy network, and that used with fixed shares, for even
demand and for one member with eight times the demand of each other.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from standins.members import FaultRates, VirtualNetwork
from stepflow.budgets.timing import FULL_LIMIT

HEALTHY = FaultRates(
    loss=0.01, duplicates=0.0, long_delays=0.0, cuts=0.0, partitions=0.0, pauses=0.0, kills=0.0
)
SECONDS = 20


def run_schedule(seed: int) -> tuple[int, int]:
    """Run the schedule of one seed; returns the seed and the largest use within a window."""
    network = VirtualNetwork(seed, 1 + seed % 7, FaultRates())
    network.run(SECONDS)
    return seed, network.checker.max_in_window


def demand_of(member: int, uneven: bool) -> float:
    """Return a member's demand, as a factor (`VirtualMember.demand`)."""
    if not uneven:
        return 1.0
    return 2.4 if member == 0 else 0.3


def measure_usage(members: int, uneven: bool, fixed: bool) -> tuple[float, float]:
    """Return the used part of the limit on a healthy network, and the bytes sent a second by each member."""
    network = VirtualNetwork(1, members, HEALTHY, lambda member: demand_of(member, uneven))
    network.run(1)
    if fixed:
        for member in network.members:
            member.limits.reserved_share, member.limits.leasable_share = FULL_LIMIT // members, 0
    network.run(9)
    used_before, bytes_before = network.checker.total, network.bytes_sent
    network.run(SECONDS)
    used = (network.checker.total - used_before) / SECONDS / FULL_LIMIT
    return used, (network.bytes_sent - bytes_before) / SECONDS / members


def print_schedules(first: int, count: int) -> int:
    """Run schedules and print the largest use within a window; returns the number that broke the limit."""
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_schedule, range(first, first + count), chunksize=10))
    broken = [seed for seed, used in results if used > FULL_LIMIT]
    most = max((used for _, used in results), default=0) / FULL_LIMIT
    print(f"{len(results)} schedules of {SECONDS} s: {len(broken)} broken, most in a window {most:.4f}")
    for seed in broken:
        print(f"broken: python -m benchmarks.shares --seeds 1 --first {seed} --members 3")
    return len(broken)


def print_usage(member_counts: list[int]) -> None:
    """Print the used part of the limit, with leases and with fixed shares."""
    print("members  demand      used  fixed shares  ratio  bytes a second and member")
    for members in member_counts:
        for uneven in (False, True):
            shared, sent = measure_usage(members, uneven, fixed=False)
            fixed, _ = measure_usage(members, uneven, fixed=True)
            demand = "8 to 1" if uneven else "even"
            print(
                f"{members:7}  {demand:8}  {shared:6.2f}  {fixed:12.2f}  {shared / fixed:5.2f}  {sent:8.0f}"
            )


def main() -> int:
    """Print both tables; returns 1 if a schedule broke the limit."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--members", default="2,3,5,7")
    arguments = parser.parse_args()
    broken = print_schedules(arguments.first, arguments.seeds)
    print_usage([int(count) for count in arguments.members.split(",")])
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
