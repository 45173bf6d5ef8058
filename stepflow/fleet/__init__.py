"""The simulation model of the fleet, and its traces. Needs the extra `fleet`; nodes do not import it."""

from stepflow.fleet.trace import Trace, TraceError, convert

__all__ = ["Trace", "TraceError", "convert"]
