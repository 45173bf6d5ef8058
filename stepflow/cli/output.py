"""What the commands print and write in the same way: tables, JSON, new files.

Responsible for the form of output, none of its content. Owns nothing. Errors: InputError for a file that
can't be written.
"""

from __future__ import annotations

from collections.abc import Sequence

import click
import msgspec

from stepflow.errors import InputError

Row = Sequence[str]


def print_table(rows: Sequence[Row]) -> None:
    """Print rows of as many cells each, in columns that are flush right."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        click.echo("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def print_json(value: object) -> None:
    """Print one JSON object on a line."""
    click.echo(msgspec.json.encode(value))


def write_new_file(path: str, text: str) -> None:
    """Write a new file; one that is there is not touched."""
    try:
        with open(path, "x") as file:
            file.write(text)
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from None


def format_counts(counts: dict[str, int]) -> str:
    """Counts by name in one line."""
    return ", ".join(f"{name or 'none yet'} {count}" for name, count in sorted(counts.items())) or "none"
