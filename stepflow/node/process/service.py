"""The process of a node: its start, its side of the hand-over, its service and its shutdown.

Responsible for the order in which the parts start and stop (build.py connects them, reload.py replaces their
settings, shutdown.py runs the graceful shutdown). Owns the parts, the client listener and the exit code.
Points in time are timedeltas of the node's clock. Errors: a start that fails raises, or stops the process
with exit code 1; later failures are logged.
"""

from __future__ import annotations

import sys
from datetime import timedelta

from twisted.internet.error import CannotListenError

from stepflow.address import Address
from stepflow.daemon import OperatorFile
from stepflow.logs import get_logger, print_line
from stepflow.node.admin.metrics import Gauges, count_excluded, render
from stepflow.node.admin.site import AdminSite
from stepflow.node.admin.site import listen as listen_for_operators
from stepflow.node.clients.listener import ClientListener, listen
from stepflow.node.list_transfer import ListTransfer
from stepflow.node.process.build import build_parts
from stepflow.node.process.config import NodeConfig
from stepflow.node.process.handover_messages import HandoverMessageError, HandoverState, read_snapshot
from stepflow.node.process.reload import ReadFiles, Reloader
from stepflow.node.process.snapshot import restore_snapshot, take_snapshot
from stepflow.node.recording import CLOSE_WAIT
from stepflow.node.runtime.clock import ZERO, micros
from stepflow.node.runtime.transports import Reactor
from stepflow.node.session_transfer import SessionTransfer
from stepflow.os_errors import LISTEN_RETRY_DELAY, LISTEN_RETRY_LIMIT, RESOURCE_SHORTAGE, errno_of
from stepflow.upstream import EndpointListError

log = get_logger()

EXIT_FAILED = 1


class Node:
    """One process of a node; `start` starts it, `terminate` begins its graceful shutdown."""

    def __init__(
        self, config: NodeConfig, operator_file: OperatorFile, reactor: Reactor, read_files: ReadFiles
    ) -> None:
        self.name = config.name
        self._config, self._reactor = config, reactor  # the configuration at the start
        self._parts = build_parts(config, reactor, self)
        self._reloader = Reloader(self._parts, config, operator_file, read_files)
        self._listener: ClientListener | None = None
        self._stopped = False
        self._started_at = ZERO
        self._predecessor_state: HandoverState | None = None  # kept until all of its sessions have arrived
        self._predecessor_found_at = ZERO
        self.exit_code = 0

    def now(self) -> timedelta:
        """Return the time of the node's clock."""
        return self._parts.clock.now()

    # Start.

    def start(self) -> None:
        """Listen for operators, and look for the predecessor."""
        self._started_at = self.now()
        if self._config.ops is not None:
            self._listen_for_operators(self._config.ops)
        self._parts.handover.find_predecessor(self._start_policy)

    def _listen_for_operators(self, address: Address) -> None:
        site = AdminSite(self._parts.timers, self._can_serve, self._metrics)
        try:
            port = listen_for_operators(self._reactor, address, site).getHost().port
        except (CannotListenError, OSError) as error:
            if not self._may_retry_listen(error):
                raise
            self._parts.timers.after(LISTEN_RETRY_DELAY, lambda: self._listen_for_operators(address))
            return
        log.info("admin listening", address=Address(address.host, port))

    def _may_retry_listen(self, error: Exception) -> bool:
        """Return whether listening may succeed soon, and there is time left to retry it."""
        return errno_of(error) in RESOURCE_SHORTAGE and self.now() - self._started_at < LISTEN_RETRY_LIMIT

    def _start_policy(self, listener: int | None, state: HandoverState) -> None:
        """Start the policy with the newest known endpoint list, then accept clients."""
        try:
            _, known = self._parts.endpoint_group.apply(state.endpoint_list or self._config.known)
        except EndpointListError as error:
            log.warning("invalid known endpoint list", fault=error)
            known = ()
        discovery = self._parts.discovery
        discovery.update_rules(self._reloader.settings.rules)
        self._parts.core.start(self._parts.upstreams, discovery, known)
        if state.has_snapshot:
            log.info("taking over from predecessor", node=self.name)
            self._predecessor_state = HandoverState(snapshot=state.snapshot)  # the list is not needed again
            self._predecessor_found_at = self.now()
            self._restore_snapshot(state)
            if self._reloader.settings.polls_endpoint_list:
                discovery.start_watch()
        if self._reloader.settings.polls_endpoint_list:
            self._listen(listener)
        else:
            discovery.start_agent_watch(lambda: self._listen(listener))

    def _restore_snapshot(self, state: HandoverState) -> None:
        try:
            snapshot = read_snapshot(state.snapshot)
        except HandoverMessageError as error:
            log.warning("invalid predecessor snapshot", fault=repr(error))
            return
        restore_snapshot(self._parts.policy, snapshot, micros(self._predecessor_found_at))

    def _listen(self, inherited: int | None) -> None:
        """Accept clients, from the predecessor's listening socket if it was passed."""
        address, clients = self._config.listen, self._parts.clients
        try:
            listener = listen(self._reactor, address, clients, self._parts.counters, inherited)
        except OSError as error:
            if self._may_retry_listen(error):
                self._parts.timers.after(LISTEN_RETRY_DELAY, lambda: self._listen(inherited))
                return
            print(f"stepflow: {address}: {error.strerror}", file=sys.stderr)
            self.exit_code = EXIT_FAILED
            self.stop()
            return
        self._listener = listener
        log.info("listening", address=Address(address.host, listener.getHost().port), node=self.name)
        self._reloader.update_recording()
        self._parts.garbage.start()
        self._parts.wall_clock.start()
        self._parts.handover.start_serving()

    # Service.

    def _can_serve(self) -> bool:
        return self._listener is not None and not self._parts.shutdown.has_begun

    def _metrics(self) -> bytes:
        parts = self._parts
        gauges = Gauges(
            in_flight=parts.core.open_requests,
            map_servers_known=len(parts.endpoint_group),
            map_servers_excluded=count_excluded(parts.policy.model.endpoints.values()),
        )
        return render(self._parts.counters, gauges)

    def reload(self) -> None:
        """Read the files again, and apply what can change while the node runs."""
        self._reloader.reload()

    def print_counters(self) -> None:
        """Print the counters to standard error, whatever the log's level."""
        print_line(f"counters: {self._parts.counters}")

    # Hand-over: called by handover.py for the messages of its channel.

    def handover_state(self) -> tuple[int, HandoverState]:
        """Return the listening socket's descriptor, and the state for a successor."""
        assert self._listener is not None  # this process awaits a successor only once it accepts clients
        snapshot = take_snapshot(self._parts.policy, micros(self.now()))
        state = HandoverState(endpoint_list=self._parts.endpoint_group.to_message(), snapshot=snapshot)
        return self._listener.fileno(), state

    def reclaim_descriptors(self) -> None:
        """Close idle connections to endpoints, since the two processes share the limit of descriptors."""
        self._parts.descriptors.reclaim()

    def open_descriptors(self) -> int:
        """Return the number of descriptors that this process holds open, or reserves."""
        return self._parts.descriptors.in_use()

    def adopt_session(self, session: SessionTransfer, client: int, endpoint: int) -> bool:
        """Adopt a session of the predecessor; return False if that process has to keep the session."""
        return self._can_serve() and self._parts.clients.adopt(session, client, endpoint)

    def closed_requests(self) -> list[int]:
        """Return the ids of the requests that this process has closed and that may have run."""
        return self._parts.clients.request_ids.remembered()

    def closed_requests_received(self, ids: list[int]) -> None:
        """Record that the other process has closed requests with these ids, which may have run."""
        self._parts.clients.request_ids.remember(ids)

    def list_received(self, transfer: ListTransfer) -> None:
        """Apply a message of discovery that the other process has received."""
        self._parts.discovery.apply_transferred(transfer)

    def sessions_complete(self) -> None:
        """Restore the predecessor's snapshot again, since all of its sessions have arrived.

        Until then, load reports were compared with the load of only some sessions, so the costs learned from
        them are far too high.
        """
        if self._predecessor_state is None:
            return
        self._restore_snapshot(self._predecessor_state)
        self._predecessor_state = None
        sessions = len(self._parts.core.established_sessions())
        log.info("all sessions received", sessions=sessions, node=self.name)

    def session_answered(self, number: int, accepted: bool) -> None:
        """Handle the successor's answer to the offer with this number."""
        self._parts.shutdown.session_answered(number, accepted)

    # Shutdown.

    def terminate(self, signalled_at: timedelta) -> None:
        """Begin the graceful shutdown, timed from when the signal arrived."""
        self._parts.shutdown.begin(signalled_at, self._listener)

    def longest_deadline(self) -> timedelta:
        """Return the longest deadline of any request class in the current settings."""
        longest = max(cls.deadline_us for cls in self._reloader.config.settings.policy.classes)
        return timedelta(microseconds=longest)

    def stop(self) -> None:
        """Stop the reactor; later calls have no effect."""
        if not self._stopped:
            self._stopped = True
            self._reactor.stop()

    def close(self) -> None:
        """End the recording, and close the connections to the other process, discovery and endpoints."""
        shutdown = self._parts.shutdown
        left = shutdown.time_left() if shutdown.has_begun else CLOSE_WAIT
        self._parts.recording.end(max(left, CLOSE_WAIT))
        if self._parts.handover.is_connected:  # the other process has to know all that discovery has told
            self._parts.discovery.read_pending()
        self._parts.handover.close()
        self._parts.discovery.close()
        self._parts.upstreams.close()
