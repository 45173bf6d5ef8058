"""The program's entry: without a command it runs one node, with one the command line.

A node loads nothing of the command line: two hundred of them share a machine.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command of the program's arguments; returns its exit code."""
    arguments = sys.argv[1:]
    if arguments in ([], ["run"]):
        from stepflow.node import run_node

        return run_node()
    from stepflow.cli import main as run_command

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
