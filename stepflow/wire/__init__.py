"""The codec of the simulator's wire: frames of little-endian records, in both directions. Makes no decisions.

A batch contains records of events, a reply contains records of actions. In both, a record that selects an
instance precedes the records of that instance.
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
