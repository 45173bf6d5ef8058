"""The upstream group: the list of peers as discovery tells it. Pure: bytes and messages in, entries out."""

from stepflow.upstream.group import BadList, Group
from stepflow.upstream.values import MOST_BYTES, BadValue, ValueStream

__all__ = ["MOST_BYTES", "BadList", "BadValue", "Group", "ValueStream"]
