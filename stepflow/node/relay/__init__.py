"""The relay of established sessions: forwards bytes in both directions, and then the end of each.

`relay` joins the two connections of a session. `closing` ends one connection after its data is delivered.
`endpoint_lines` finds the ends of the endpoint's lines, and holds back half lines before a migration.
`client_stall` detects clients that stop reading. `pending_echoes` times lines that have no echo yet.
`backpressure` pauses reading from one side while the other side's buffer is full.
`services` has the types that the relay shares with its users.
"""

from stepflow.node.relay.pending_echoes import ECHO_TIMEOUT
from stepflow.node.relay.relay import Relay
from stepflow.node.relay.services import RelayServices, TransferState

__all__ = ["ECHO_TIMEOUT", "Relay", "RelayServices", "TransferState"]
