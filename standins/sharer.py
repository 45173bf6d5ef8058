"""A process that spends what it may of one whole, as fast as it can, and writes down when it did.

`python -m standins.sharer '{"me":0,"listen":"127.0.0.1:7946","peers":["...","..."],"need":1.0}'`: a line for
each spend, CLOCK_MONOTONIC in nanoseconds and the amount, of a million.
"""

from __future__ import annotations

import json
import random
import sys
import time

from stepflow import logs
from stepflow.address import Address
from stepflow.budgets.shared_limits import ONE, Shares
from stepflow.members import View
from stepflow.node.member_port import MemberPort
from stepflow.node.runtime.clock import Clock, micros
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.reactor import serving_reactor
from stepflow.node.runtime.timers import Timers

WINDOW_US = 1_000_000


def main() -> None:
    """Run until killed."""
    told = json.loads(sys.argv[1])
    logs.set_up()  # what is written down goes to standard output, and the log must not
    reactor, clock, rng = serving_reactor(), Clock(), random.Random(told["me"])
    peers = [Address.parse(peer) for peer in told["peers"]]
    now = micros(clock.now())
    view = View(told["me"], now // 1000, range(len(peers)), now)
    shares = Shares(view, WINDOW_US, rng, now)

    def spend() -> None:
        for _ in range(8):
            if rng.random() >= told["need"]:
                continue
            amount = rng.randrange(1, ONE // 40)
            decided = time.monotonic_ns()  # what is written down is the moment that the decision went by
            if shares.spend((decided + clock.offset_ns) // 1000, 0, amount):
                print(decided, amount, flush=True)

    listen = Address.parse(told["listen"])
    port = MemberPort(clock, Timers(clock, reactor, Counters()), shares, peers, spend)
    reactor.listenUDP(listen.port, port, interface=listen.host)
    print("listens", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
