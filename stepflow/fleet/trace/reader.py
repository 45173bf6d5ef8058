"""Reads a trace from its folder, after a check of its version and columns."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from stepflow.fleet.trace.schema import MANIFEST, SCHEMAS, VERSION, Manifest, TraceError


class _Versioned(msgspec.Struct):
    """The part of a manifest that is the same in every version."""

    version: int


class Trace:
    """An open trace. Raises TraceError if the folder holds no trace, or one of a later version."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        path = self.folder / MANIFEST
        try:
            version = msgspec.json.decode(path.read_bytes(), type=_Versioned).version
            if version > VERSION:
                raise TraceError(f"{path}: a trace of version {version}; this program reads up to {VERSION}")
            self.manifest = msgspec.json.decode(path.read_bytes(), type=Manifest)
        except OSError as error:
            raise TraceError(f"{path}: {error.strerror}") from None
        except msgspec.DecodeError as error:
            raise TraceError(f"{path}: {error}") from None

    def table(self, name: str) -> pa.Table:
        """A table with the columns of this version; columns of later versions are left out.

        Raises TraceError if the file can't be read, or lacks a column or has one of another type.
        """
        path = self.folder / f"{name}.parquet"
        try:
            _check_columns(path, pq.read_schema(path), SCHEMAS[name])
            return pq.read_table(path, columns=SCHEMAS[name].names)
        except OSError as error:
            raise TraceError(f"{path}: {str(error).splitlines()[0]}") from None
        except pa.ArrowInvalid:
            raise TraceError(f"{path}: cut off, or not a Parquet file") from None


def _check_columns(path: Path, found: pa.Schema, expected: pa.Schema) -> None:
    """Raise TraceError if a table lacks a column or has one of another type."""
    for column in expected:
        if column.name not in found.names:
            raise TraceError(f"{path}: unexpected schema: no column {column.name!r}")
        kind = found.field(column.name).type
        if kind != column.type:
            raise TraceError(f"{path}: unexpected schema: {column.name!r} is {kind}, not {column.type}")
