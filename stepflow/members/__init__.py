"""Who else there is: the neighbours' messages, and when each was heard. Pure: no socket, no clock."""

from stepflow.members.datagrams import MOST_BYTES, BadMessage, Kind, Message, read, written
from stepflow.members.membership import Standing, View

__all__ = ["MOST_BYTES", "BadMessage", "Kind", "Message", "Standing", "View", "read", "written"]
