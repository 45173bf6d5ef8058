"""What discovery tells: its stream of JSON values, the endpoint list, and when to ask for it.

Pure: no sockets, no clock.
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
