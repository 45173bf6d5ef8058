"""What a relay uses of the node, needs from its two sides, and hands over to another process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.session_log import SessionLog
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Transport
from stepflow.node.upstreams.liveness import LivenessMonitor


class TransferState(NamedTuple):
    """The state of a session to hand over: its sockets, half lines and pending echoes.

    `SessionTransfer`, the hand-over's message, has fields of the same names.
    """

    client_descriptor: int
    endpoint_descriptor: int
    from_client: bytes  # half line, already forwarded
    from_endpoint: bytes  # half line, already forwarded
    echoes_owed: int  # lines without an echo yet


@dataclass(frozen=True, slots=True)
class RelayServices:
    """The parts of the node that a relay uses and does not own."""

    clock: Clock
    timers: Timers
    counters: Counters
    liveness: LivenessMonitor
    log: SessionLog


class RelaySide(Protocol):
    """What a relay needs from each of its two sides."""

    @property
    def tcp_transport(self) -> Transport:
        """The connection's transport."""
