"""The recorder of traffic: what a node writes of its connections, and the reader of that.

`journal` is the format, without files; `recorder` turns the core's events into rows; `writer` owns the files.
"""

from stepflow.traffic.journal import JournalError, Kind, Reading, read_journal
from stepflow.traffic.recorder import Recorder
from stepflow.traffic.writer import Writer

__all__ = ["JournalError", "Kind", "Reading", "Recorder", "Writer", "read_journal"]
