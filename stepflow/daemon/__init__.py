"""The operator's file: a line-based format and its validated model."""

from stepflow.daemon.lines import Directive, FileError, parse
from stepflow.daemon.model import Log, OperatorFile, Record, read, read_text

__all__ = ["Directive", "FileError", "Log", "OperatorFile", "Record", "parse", "read", "read_text"]
