"""A node on real sockets: the core, its connections, and its process.

Subpackages: `runtime` is shared by all others, `core` connects the policy with the node, `clients`, `relay`
and `upstreams` hold the connections, `admin` answers operators, and `process` starts and stops the node.
"""

from __future__ import annotations


def run_node() -> int:
    """Run the node whose configuration GW_CONFIG names; return its exit code."""
    from stepflow import lazy_imports

    lazy_imports.install()  # before the first import of a module that it defers
    from stepflow.node.process.start import start

    return start()
