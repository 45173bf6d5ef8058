"""Who else there is: the neighbours' messages, and when each was heard. Pure: no socket, no clock."""

from stepflow.members.view import Standing, View
from stepflow.members.wire import MOST_BYTES, BadMessage, Kind, Message, read, written

__all__ = ["MOST_BYTES", "BadMessage", "Kind", "Message", "Standing", "View", "read", "written"]
