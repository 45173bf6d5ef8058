"""The entry point: runs one node without a command or for `run`, otherwise the command line.

A node doesn't import the command line, to save memory: two hundred nodes share a machine.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command in the program's arguments and return its exit code."""
    arguments = sys.argv[1:]
    if arguments in ([], ["run"]):
        from stepflow.node import run_node

        return run_node()
    from stepflow.cli import main as run_command

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
