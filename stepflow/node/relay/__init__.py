"""The relay of established sessions: bytes both ways, and ends that come behind them.

`relay` joins the two connections of a session, `closing` ends one connection in order, `client_stall` finds
clients that read nothing, `pending_echoes` times the lines that wait for their echo, and `backpressure` stops
one side while the other is full.
"""

from stepflow.node.relay.relay import ECHO_TIMEOUT, Relay, RelayServices, TransferState

__all__ = ["ECHO_TIMEOUT", "Relay", "RelayServices", "TransferState"]
