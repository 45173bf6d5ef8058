"""Starts a node's process: reads its two files, sets up the logs, and runs the node.

Responsible for exit code 2 if a file is invalid, and for signals that arrive before the node runs. If reading
a file fails with a transient error, the file is read again (stepflow/errors.py).
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
    """Read the operators' file at STEPFLOW_CONF or the default path; a missing default file is empty."""
    if path := os.environ.get("STEPFLOW_CONF", ""):
        return read(path)
    try:
        os.stat(OPERATOR_FILE)
    except FileNotFoundError:
        return OperatorFile()
    except OSError:
        pass  # `read` reports the error
    return read(OPERATOR_FILE)


def reload_files(replaced: NodeConfig) -> tuple[NodeConfig, OperatorFile]:
    """Read both files again; return the configuration that replaces `replaced`, and the operators' file."""
    return load_config(os.environ, replaced), load_operator_file()


def start() -> int:
    """Read the files and run the node; return the exit code, which is 2 if a file is invalid."""
    early_reloads: list[int] = []  # SIGHUPs received before the node runs; its files may be read already
    signal.signal(signal.SIGHUP, lambda number, frame: early_reloads.append(number))
    try:
        operator_file = read_with_retries(load_operator_file)
        config = read_with_retries(lambda: load_config(os.environ))
    except InputError as error:
        print(f"stepflow: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    logs.set_up(operator_file.log.form, operator_file.log.level)
    from stepflow.node.process.run import run

    return run(config, operator_file, reload_files, early_reloads)
