"""Output shared by the commands: tables, JSON and new files.

Defines the form of the output, not its content. Owns no state. Errors: InputError for a file that can't be
written.
"""

from __future__ import annotations

from collections.abc import Sequence

import click
import msgspec

from stepflow.errors import InputError

Row = Sequence[str]


def print_table(rows: Sequence[Row]) -> None:
    """Print rows of equal length in right-aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        click.echo("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    click.echo(msgspec.json.encode(value))


def write_new_file(path: str, text: str) -> None:
    """Write a new file; raises InputError if it exists or can't be written."""
    try:
        with open(path, "x") as file:
            file.write(text)
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from None


def format_counts(counts: dict[str, int]) -> str:
    """Format counts by name in one line."""
    return ", ".join(f"{name or 'none yet'} {count}" for name, count in sorted(counts.items())) or "none"
