"""`stepflow check`: whether a file would be taken, before a node is asked to.

Responsible for its printing and exit code; the file is read as a node reads it. Errors: told, one line a
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
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, for programs.")
def check(files: tuple[str, ...], as_json: bool) -> None:
    """Read FILES as a node would: the platform's JSON (*.json), or an operator's file (any other name).

    Exit code 0 where all would be taken, 2 where one would not; each gets one line.
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
    """What is wrong with a file; None where it would be taken."""
    try:
        if file.endswith(".json"):
            load_config({**os.environ, "GW_CONFIG": file})
        else:
            read(file)
    except InputError as error:
        return str(error)
    return None
