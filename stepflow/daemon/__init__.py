"""The operator's file: its lines (`lines`), and the validated model of what it may say (`model`)."""

from stepflow.daemon.lines import Directive, FileError, parse
from stepflow.daemon.model import Log, OperatorFile, Record, read, read_text

__all__ = ["Directive", "FileError", "Log", "OperatorFile", "Record", "parse", "read", "read_text"]
