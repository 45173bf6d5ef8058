"""The data of discovery: its stream of JSON values, the endpoint list, and the schedule of polls.

This package does no I/O and reads no clock.
"""

from stepflow.upstream.endpoint_group import EndpointGroup
from stepflow.upstream.errors import DiscoveryDataError, EndpointListError, JsonStreamError
from stepflow.upstream.json_stream import MAX_VALUE_BYTES, JsonStream

__all__ = [
    "MAX_VALUE_BYTES",
    "DiscoveryDataError",
    "EndpointGroup",
    "EndpointListError",
    "JsonStream",
    "JsonStreamError",
]
