"""Runs a configured node: the reactor, the signals, and the exit code.

Responsible for the effect of each signal: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP reloads,
SIGUSR1 prints the counters. Errors: if the start fails, one line is printed, and the exit code is 1.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta

from stepflow.daemon import OperatorFile
from stepflow.logs import close as close_logs
from stepflow.logs import log_twisted_events
from stepflow.node.process.config import NodeConfig
from stepflow.node.process.reload import ReadFiles
from stepflow.node.process.service import EXIT_FAILED, Node
from stepflow.node.runtime.reactor import serving_reactor
from stepflow.node.runtime.transports import Reactor


def run(
    config: NodeConfig, operator_file: OperatorFile, read_files: ReadFiles, early_reloads: Sequence[int] = ()
) -> int:
    """Run the node until SIGTERM or SIGINT; return its exit code.

    `early_reloads` holds the SIGHUPs that arrived before the node's handlers were installed; if there are
    any, the node reloads once it runs.
    """
    log_twisted_events()
    reactor = serving_reactor()
    node = Node(config, operator_file, reactor, read_files)
    signals = _install_signal_handlers(node, reactor)
    if early_reloads:
        reactor.callLater(0, node.reload)
    try:  # signal handlers are installed before the log says that the node listens
        node.start()
    except Exception as error:
        print(f"stepflow: {config.listen}: {error}", file=sys.stderr)
        return EXIT_FAILED
    reactor.addSystemEventTrigger("before", "shutdown", node.close)
    reactor.run(installSignalHandlers=False)
    node.print_counters()
    # As it exits, the interpreter restores the default handlers, and a further signal would kill the process.
    for number in signals:
        signal.signal(number, signal.SIG_IGN)
    close_logs()
    return node.exit_code


def _install_signal_handlers(node: Node, reactor: Reactor) -> Sequence[int]:
    """Install handlers that process signals in a turn of the reactor; return the signals' numbers."""
    calls: dict[int, Callable[[timedelta], None]] = {
        signal.SIGTERM: node.terminate,
        signal.SIGINT: node.terminate,
        signal.SIGHUP: lambda signalled_at: node.reload(),
        signal.SIGUSR1: lambda signalled_at: node.print_counters(),
    }

    def on_signal(number: int, frame: object) -> None:
        # `callFromThread` is the only reactor call that is safe in a signal handler, as in another thread.
        reactor.callFromThread(calls[number], node.now())

    for number in calls:
        signal.signal(number, on_signal)
    return tuple(calls)
