"""Reads a trace from its folder, after a check that it is of a version and columns known here."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from stepflow.fleet.trace.schema import MANIFEST, SCHEMAS, VERSION, Manifest, TraceError


class _Versioned(msgspec.Struct):
    """The part of a manifest that every version has."""

    version: int


class Trace:
    """An opened trace. Raises TraceError for a folder that holds none, or one of a later version."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        path = self.folder / MANIFEST
        try:
            version = msgspec.json.decode(path.read_bytes(), type=_Versioned).version
            if version > VERSION:
                raise TraceError(f"{path}: a trace of version {version}; this reads up to {VERSION}")
            self.manifest = msgspec.json.decode(path.read_bytes(), type=Manifest)
        except OSError as error:
            raise TraceError(f"{path}: {error.strerror}") from None
        except msgspec.DecodeError as error:
            raise TraceError(f"{path}: {error}") from None

    def table(self, name: str) -> pa.Table:
        """One table, of the columns that this version writes; those that were added later are left out."""
        path = self.folder / f"{name}.parquet"
        try:
            _check_columns(path, pq.read_schema(path), SCHEMAS[name])
            return pq.read_table(path, columns=SCHEMAS[name].names)
        except OSError as error:
            raise TraceError(f"{path}: {str(error).splitlines()[0]}") from None
        except pa.ArrowInvalid:
            raise TraceError(f"{path}: cut off, or no Parquet file") from None


def _check_columns(path: Path, found: pa.Schema, expected: pa.Schema) -> None:
    """Raise TraceError if a table lacks a column or has one of another type."""
    for column in expected:
        if column.name not in found.names:
            raise TraceError(f"{path}: a foreign schema: no column {column.name!r}")
        kind = found.field(column.name).type
        if kind != column.type:
            raise TraceError(f"{path}: a foreign schema: {column.name!r} is {kind}, not {column.type}")
