"""Starts stepflow: without a word one real node, with one the command line's."""

from __future__ import annotations

import sys


def main() -> int:
    words = sys.argv[1:]
    if words in ([], ["run"]):
        from stepflow.node import run_node

        return run_node()
    from stepflow.cli import main as command_line  # which `run` has no room for

    return command_line(words)


if __name__ == "__main__":
    sys.exit(main())
