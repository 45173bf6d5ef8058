"""The process on real sockets."""

from __future__ import annotations


def run_node() -> int:
    """Run one node, with GW_CONFIG naming its configuration; its exit code."""
    from stepflow import lazy_imports

    lazy_imports.install()  # before the first import of what it puts off
    from stepflow.node.process.start import start

    return start()
