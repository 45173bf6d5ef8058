"""The parts of the node that client connections use and do not own."""

from __future__ import annotations

from dataclasses import dataclass

from stepflow.node.core import Core
from stepflow.node.relay import RelayServices
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.connection_log import ConnectionLog
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.timers import Timers


@dataclass(frozen=True, slots=True)
class ClientServices:
    """The services of the node that client connections use."""

    core: Core
    clock: Clock
    timers: Timers
    counters: Counters
    log: ConnectionLog
    relay: RelayServices
