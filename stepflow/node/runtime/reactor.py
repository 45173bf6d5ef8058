"""Twisted's reactor, set up for a process that must go on serving whatever happens to its machine.

Two of Twisted's defaults are changed, both by names that Twisted doesn't document:

- It times its calls by `time.time`. Once the wall clock is set back, a due call waits until the clock has
caught up;
  set forward, calls come too early, time-outs of connections among them. Here it counts on the monotonic
  clock.
- It keeps a file descriptor in reserve. Once no other is left, it accepts and closes all clients that wait,
by means
  of that one. Here they wait until a descriptor is free.
"""

from __future__ import annotations

import time
from typing import Any, cast

from twisted.internet import reactor as twisted_reactor
from twisted.internet import tcp

from stepflow.node.runtime.transports import Reactor


def serving_reactor() -> Reactor:
    """The process's reactor; to be called before the first timed call is scheduled on it."""
    cast(Any, twisted_reactor).seconds = time.monotonic
    cast(Any, tcp)._reservedFD = cast(Any, tcp)._NullFileDescriptorReservation()
    return cast(Reactor, twisted_reactor)
