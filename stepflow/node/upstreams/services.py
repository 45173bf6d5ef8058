"""The parts of the node that all connections to endpoints use."""

from __future__ import annotations

from dataclasses import dataclass

from stepflow.node.core import Core
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.connection_log import ConnectionLog
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.settings import NodeSettings


@dataclass(slots=True)
class UpstreamServices:
    """The parts of the node that attempts and health checks use and do not own.

    A reload replaces `settings`, so connections must not keep a reference to the old value.
    """

    reactor: Reactor
    core: Core
    clock: Clock
    timers: Timers
    counters: Counters
    log: ConnectionLog
    settings: NodeSettings
