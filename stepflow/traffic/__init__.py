"""Records the requests and sessions of a node in journals, and reads them.

`journal` has the format and its reader; `recorder` turns the core's events into rows; `writer` owns the
files.
"""

from stepflow.traffic.journal import JournalError, Kind, Reading, read_journal
from stepflow.traffic.recorder import Recorder
from stepflow.traffic.writer import Writer

__all__ = ["JournalError", "Kind", "Reading", "Recorder", "Writer", "read_journal"]
