"""A trace: journals of traffic as Parquet tables in a folder, with a manifest.

`schema` has the columns; `converter` makes a trace from journals; `reader` opens a trace; `summary`
summarizes it.
"""

from stepflow.fleet.trace.converter import convert
from stepflow.fleet.trace.reader import Trace
from stepflow.fleet.trace.schema import SCHEMAS, Manifest, Source, TraceError
from stepflow.fleet.trace.summary import summary

__all__ = ["SCHEMAS", "Manifest", "Source", "Trace", "TraceError", "convert", "summary"]
