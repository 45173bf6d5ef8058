"""Twisted's reactor, set up for a process that must serve on whatever its machine does.

Twisted times its calls by `time.time`. Once the wall clock is set back, a call that is due waits until the
clock has caught up; set forward, calls come at once, time-outs of connections among them.

It also keeps a descriptor in reserve, with which it accepts and closes all who wait once none is left: here
they wait until there is one.
"""

from __future__ import annotations

import time
from typing import Any, cast

from twisted.internet import reactor as twisted_reactor
from twisted.internet import tcp

from stepflow.node.runtime.transports import Reactor


def serving_reactor() -> Reactor:
    """The process's reactor; to be asked for before the first call is set."""
    cast(Any, twisted_reactor).seconds = time.monotonic
    cast(Any, tcp)._reservedFD = cast(Any, tcp)._NullFileDescriptorReservation()
    return cast(Reactor, twisted_reactor)
