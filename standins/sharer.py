"""A process that uses as much of one shared limit as it is allowed to, and prints each use.

`python -m standins.sharer '{"number":0,"listen":"127.0.0.1:7946","peers":["...","..."],"demand":1.0}'` prints
a line for each use: CLOCK_MONOTONIC in nanoseconds and the amount in millionths of the limit.
"""

from __future__ import annotations

import json
import random
import sys
import time

from stepflow import logs
from stepflow.address import Address
from stepflow.budgets.shared_limits import SharedLimits
from stepflow.budgets.timing import FULL_LIMIT
from stepflow.members import Membership
from stepflow.node.member_port import MemberPort
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.reactor import serving_reactor
from stepflow.node.runtime.timers import Timers

WINDOW_US = 1_000_000
LIMIT = 0
ATTEMPTS_PER_TICK = 8
MAX_AMOUNT = FULL_LIMIT // 40  # largest amount of one use


def main() -> None:
    """Use the limit until killed."""
    arguments = json.loads(sys.argv[1])
    logs.set_up()  # stdout carries the uses, so the log must not go there
    reactor, clock, rng = serving_reactor(), Clock(), random.Random(arguments["number"])
    peers = [Address.parse(peer) for peer in arguments["peers"]]
    now = micros(clock.now())
    membership = Membership(arguments["number"], now // 1000, range(len(peers)), now)
    limits = SharedLimits(membership, WINDOW_US, rng, now)

    def use_limit() -> None:
        for _ in range(ATTEMPTS_PER_TICK):
            if rng.random() >= arguments["demand"]:
                continue
            amount = rng.randrange(1, MAX_AMOUNT)
            decided_ns = time.monotonic_ns()  # the printed time is the one that the decision uses
            if limits.try_use((decided_ns + clock.offset_ns) // 1000, LIMIT, amount):
                # One write: print makes several where Python is unbuffered, and a kill may come between them.
                sys.stdout.write(f"{decided_ns} {amount}\n")
                sys.stdout.flush()

    listen = Address.parse(arguments["listen"])
    port = MemberPort(clock, Timers(clock, reactor, Counters()), limits, peers, use_limit)
    reactor.listenUDP(listen.port, port, interface=listen.host)
    print("listening", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
