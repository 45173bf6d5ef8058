"""stepflow check: whether a file would be taken, before a node is asked to."""

from __future__ import annotations

import os
from typing import Any

import click
import msgspec

from stepflow.daemon import read
from stepflow.errors import InputError
from stepflow.node.process.config import load_config


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line, for programs.")
def check(files: tuple[str, ...], as_json: bool) -> None:
    """Read FILES as a node would: the platform's JSON (*.json), or an operator's file (any other name).

    Exit code 0 where all would be taken, 2 where one would not; each gets one line.
    """
    faults = [(file, fault_of(file)) for file in files]
    for file, fault in faults:
        if as_json:
            told: dict[str, Any] = {"file": file, "ok": fault is None, "fault": fault}
            click.echo(msgspec.json.encode(told))
        else:
            click.echo(f"{file}: ok" if fault is None else fault, err=fault is not None)
    if any(fault is not None for _, fault in faults):
        raise click.exceptions.Exit(2)


def fault_of(file: str) -> str | None:
    """What is wrong with a file; None where it would be taken."""
    try:
        if file.endswith(".json"):
            load_config({**os.environ, "GW_CONFIG": file})
        else:
            read(file)
    except InputError as fault:
        return str(fault)
    return None
