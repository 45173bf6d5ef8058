"""A node on real sockets: the core, its connections, and its process.

The packages below: `runtime` is shared by all, `clients` and `upstreams` hold the connections, `admin`
answers operators, `process` begins and ends it all.
"""

from __future__ import annotations


def run_node() -> int:
    """Run one node, with GW_CONFIG naming its configuration; returns its exit code."""
    from stepflow import lazy_imports

    lazy_imports.install()  # before the first import of what it puts off
    from stepflow.node.process.start import start

    return start()
