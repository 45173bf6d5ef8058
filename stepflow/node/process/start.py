"""The start of a node's process: its two files and the logs, then the service.

Responsible for the exit code 2 of a bad file, and for signals that come before the node runs. A file that
can't be read for a moment is read again (stepflow/errors.py).
"""

from __future__ import annotations

import os
import signal
import sys

from stepflow import logs
from stepflow.daemon import OperatorFile, read
from stepflow.errors import InputError, read_with_retries
from stepflow.node.process.config import NodeConfig, load_config

OPERATOR_FILE = os.path.join("deploy", "stepflow.conf")
EXIT_BAD_INPUT = 2


def load_operator_file() -> OperatorFile:
    """The operators' file: as STEPFLOW_CONF names it, else in its usual place; none is an empty one."""
    if path := os.environ.get("STEPFLOW_CONF", ""):
        return read(path)
    try:
        os.stat(OPERATOR_FILE)
    except FileNotFoundError:
        return OperatorFile()
    except OSError:
        pass  # reading it tells what is wrong
    return read(OPERATOR_FILE)


def reload_files(replaced: NodeConfig) -> tuple[NodeConfig, OperatorFile]:
    """Both files again, in place of this configuration and the operators' file before."""
    return load_config(os.environ, replaced), load_operator_file()


def start() -> int:
    """Read the files, then serve until a signal ends it; 2 where one of them is bad."""
    early_reloads: list[
        int
    ] = []  # SIGHUPs that came before the node runs, perhaps after it had read its files
    signal.signal(signal.SIGHUP, lambda number, frame: early_reloads.append(number))
    try:
        operators = read_with_retries(load_operator_file)
        config = read_with_retries(lambda: load_config(os.environ))
    except InputError as error:
        print(f"stepflow: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    logs.set_up(operators.log.form, operators.log.level)
    from stepflow.node.process.run import run

    return run(config, operators, reload_files, early_reloads)
