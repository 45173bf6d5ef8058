"""The start of a node: its two files, the logs, then the service."""

from __future__ import annotations

import os
import signal
import sys

from stepflow import logs
from stepflow.daemon import OperatorFile, read
from stepflow.errors import InputError, read_with_retries
from stepflow.node.process.config import load

CONF = os.path.join("deploy", "stepflow.conf")


def operator_file() -> OperatorFile:
    """The operator's file: as STEPFLOW_CONF names it, else in its usual place; none is an empty one."""
    if path := os.environ.get("STEPFLOW_CONF", ""):
        return read(path)
    try:
        os.stat(CONF)
    except FileNotFoundError:
        return OperatorFile()
    except OSError:
        pass  # reading it tells what is wrong
    return read(CONF)


def start() -> int:
    """Read the files, then serve until a signal ends it; 2 where one of them is bad."""
    reloads: list[int] = []  # signals that came before the node could heed them, perhaps after it had read
    signal.signal(signal.SIGHUP, lambda number, frame: reloads.append(number))
    try:
        operators = read_with_retries(operator_file)
        config = read_with_retries(lambda: load(os.environ))
    except InputError as fault:
        print(f"stepflow: {fault}", file=sys.stderr)
        return 2
    logs.set_up(operators.log.form, operators.log.level)
    from stepflow.node.process.service import run

    return run(config, operators, lambda before: (load(os.environ, before), operator_file()), reloads)
