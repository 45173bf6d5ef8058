"""The upstream group: the list of peers as discovery tells it. Pure: bytes and messages in, entries out."""

from stepflow.upstream.endpoint_group import EndpointGroup, EndpointListError
from stepflow.upstream.json_stream import MAX_VALUE_BYTES, JsonStream, JsonStreamError

__all__ = ["MAX_VALUE_BYTES", "EndpointGroup", "EndpointListError", "JsonStream", "JsonStreamError"]
