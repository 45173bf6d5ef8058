"""The upstream group: the list of peers as discovery tells it. Pure: bytes and messages in, entries out."""

from stepflow.upstream.endpoint_group import BadList, Group
from stepflow.upstream.json_stream import MOST_BYTES, BadValue, ValueStream

__all__ = ["MOST_BYTES", "BadList", "BadValue", "Group", "ValueStream"]
