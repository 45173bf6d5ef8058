"""Starts stepflow: without a word one real node, with one the command line's."""

from __future__ import annotations

import os
import signal
import sys

from stepflow import logs
from stepflow.daemon import OperatorFile, read
from stepflow.faults import BadInput
from stepflow.node.config import load

CONF = os.path.join("deploy", "stepflow.conf")


def operator_file() -> OperatorFile:
    """The operator's file: as STEPFLOW_CONF names it, else in its usual place; none is an empty one."""
    if path := os.environ.get("STEPFLOW_CONF", ""):
        return read(path)
    return read(CONF) if os.path.exists(CONF) else OperatorFile()


def run_node() -> int:
    """Run one node, with GW_CONFIG naming its configuration."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node can reload: the file was just read
    try:
        operators = operator_file()
        config = load(os.environ)
    except BadInput as fault:
        print(f"stepflow: {fault}", file=sys.stderr)
        return 2
    logs.set_up(operators.log.form, operators.log.level)
    from stepflow.node.service import run

    return run(config, operators, lambda before: (load(os.environ, before), operator_file()))


def main() -> int:
    words = sys.argv[1:]
    if words in ([], ["run"]):
        return run_node()
    from stepflow.cli import main as command_line  # which `run` has no room for

    return command_line(words)


if __name__ == "__main__":
    sys.exit(main())
