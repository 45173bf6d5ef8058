"""The node's entry point behind its configuration: the reactor, the signals, and the exit code.

Responsible for which signal does what: SIGTERM and SIGINT end the node in order, SIGHUP reloads, SIGUSR1
prints the counters. Errors: a start that fails is printed in one line, with exit code 1.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta

from stepflow.daemon import OperatorFile
from stepflow.logs import close as close_logs
from stepflow.logs import take_twisted
from stepflow.node.process.config import NodeConfig
from stepflow.node.process.reload import ReadFiles
from stepflow.node.process.service import EXIT_FAILED, Node
from stepflow.node.runtime.reactor import serving_reactor
from stepflow.node.runtime.transports import Reactor


def run(
    config: NodeConfig, operators: OperatorFile, read_files: ReadFiles, early_reloads: Sequence[int] = ()
) -> int:
    """Run the node until SIGTERM or SIGINT; `early_reloads` holds the SIGHUPs that came before."""
    take_twisted()
    reactor = serving_reactor()
    node = Node(config, operators, reactor, read_files)
    signals = _install_signal_handlers(node, reactor)
    if early_reloads:
        reactor.callLater(0, node.reload)
    try:  # the signals are handled before the log says that the node listens
        node.start()
    except Exception as error:
        print(f"stepflow: {config.listen}: {error}", file=sys.stderr)
        return EXIT_FAILED
    reactor.addSystemEventTrigger("before", "shutdown", node.close)
    reactor.run(installSignalHandlers=False)
    node.print_counters()
    for number in signals:  # the interpreter, as it ends, would make a further signal deadly again
        signal.signal(number, signal.SIG_IGN)
    close_logs()
    return node.exit_code


def _install_signal_handlers(node: Node, reactor: Reactor) -> Sequence[int]:
    """Have signals do their work in the reactor's turn; returns their numbers."""
    calls: dict[int, Callable[[timedelta], None]] = {
        signal.SIGTERM: node.terminate,
        signal.SIGINT: node.terminate,
        signal.SIGHUP: lambda signalled_at: node.reload(),
        signal.SIGUSR1: lambda signalled_at: node.print_counters(),
    }

    def on_signal(number: int, frame: object) -> None:
        # From a signal handler as from a thread: nothing else is safe.
        reactor.callFromThread(calls[number], node.now())

    for number in calls:
        signal.signal(number, on_signal)
    return tuple(calls)
