"""The simulator's wire: frames of records, little-endian, in both directions. It decides nothing.

A batch brings records of events, a reply has records of actions. In both, a record that names an instance
precedes the records that belong to it.
"""

from stepflow.wire.actions import crash, encode
from stepflow.wire.errors import WireError
from stepflow.wire.events import StartInstance, StopInstance, decode
from stepflow.wire.frames import Batch, frame, read_batch

__all__ = [
    "Batch",
    "StartInstance",
    "StopInstance",
    "WireError",
    "crash",
    "decode",
    "encode",
    "frame",
    "read_batch",
]
