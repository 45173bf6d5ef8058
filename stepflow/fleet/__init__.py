"""The model of the fleet and the traces it is fed with. Needs the extra `fleet`; no node imports it."""

from stepflow.fleet.trace import Trace, TraceError, convert

__all__ = ["Trace", "TraceError", "convert"]
