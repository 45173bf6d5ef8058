"""`stepflow check`: checks whether a node would accept a file.

Handles output and exit code; the file is read by the code that a node uses. Errors are printed, one line per
file.
"""

from __future__ import annotations

import os

import click

from stepflow.cli.output import print_json
from stepflow.daemon import read
from stepflow.errors import InputError
from stepflow.node.process.config import load_config

EXIT_BAD_INPUT = 2


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def check(files: tuple[str, ...], as_json: bool) -> None:
    """Check FILES as a node reads them: the platform's JSON (*.json), or an operator's file (any other name).

    Prints one line per file. Exits with 0 if a node would accept all files, with 2 otherwise.
    """
    errors = [(file, find_error(file)) for file in files]
    for file, error in errors:
        if as_json:
            print_json({"file": file, "ok": error is None, "fault": error})
        else:
            click.echo(f"{file}: ok" if error is None else error, err=error is not None)
    if any(error is not None for _, error in errors):
        raise click.exceptions.Exit(EXIT_BAD_INPUT)


def find_error(file: str) -> str | None:
    """Return the error message of a file; None if a node would accept it."""
    try:
        if file.endswith(".json"):
            load_config({**os.environ, "GW_CONFIG": file})
        else:
            read(file)
    except InputError as error:
        return str(error)
    return None
