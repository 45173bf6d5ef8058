"""Twisted's reactor, timed by the monotonic clock.

Twisted times its calls by `time.time`. Once the wall clock is set back, a call that is due waits until the
clock has caught up; set forward, calls come at once, time-outs of connections among them.
"""

from __future__ import annotations

import time
from typing import Any, cast

from twisted.internet import reactor as twisted_reactor

from stepflow.node.ports import Reactor


def monotonic_reactor() -> Reactor:
    """The process's reactor; to be asked for before the first call is set."""
    cast(Any, twisted_reactor).seconds = time.monotonic
    return cast(Reactor, twisted_reactor)
