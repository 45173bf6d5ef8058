"""The operator's file: its syntax (`lines`) and its validated model (`model`)."""

from stepflow.daemon.lines import Directive, FileError, parse
from stepflow.daemon.model import Log, OperatorFile, Record, read, read_text

__all__ = ["Directive", "FileError", "Log", "OperatorFile", "Record", "parse", "read", "read_text"]
