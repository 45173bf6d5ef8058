"""The node as a service: its parts put together, its start, its reloads, its signals."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from twisted.internet.error import CannotListenError

from stepflow.address import Address
from stepflow.daemon import OperatorFile
from stepflow.errors import InputError
from stepflow.interface import RequestClass, Settings
from stepflow.logs import close as close_logs
from stepflow.logs import get_logger, print_plainly, set_up, take_twisted
from stepflow.node.admin.metrics import Gauges, excluded, render
from stepflow.node.admin.site import CALLS_KEPT, OpsSite
from stepflow.node.admin.site import listen as listen_for_operators
from stepflow.node.clients.connection import ClientFactory
from stepflow.node.clients.listener import ClientListener, listen
from stepflow.node.core import Core
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.process.config import NodeConfig
from stepflow.node.process.handover import Handover
from stepflow.node.process.shutdown import Shutdown
from stepflow.node.process.snapshot import restore_snapshot, take_snapshot
from stepflow.node.recording import DISK_WAIT, Recording
from stepflow.node.runtime.clock import ZERO, Clock, micros
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.garbage import GarbageCollection
from stepflow.node.runtime.reactor import serving_reactor
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.runtime.wall_clock import WallClockMonitor
from stepflow.node.upstreams.liveness import LivenessMonitor, LivenessServices
from stepflow.node.upstreams.pool import UpstreamConnections
from stepflow.node.upstreams.services import UpstreamServices
from stepflow.node.upstreams.session_reports import SessionReportClassifier
from stepflow.os_errors import LISTEN_RETRY_DELAY, LISTEN_RETRY_LIMIT, RESOURCE_SHORTAGE, errno_of
from stepflow.policy import Policy
from stepflow.settings import NodeSettings, merge_settings
from stepflow.upstream import EndpointGroup, EndpointListError

log = get_logger()

OTHERS_KEPT = 24 + CALLS_KEPT  # descriptors for discovery, listeners, streams, the reactor, operators' calls
PROBES_KEPT = 24  # and for the connections of probes, at the least

# A file that can't be read just now is tried again; a new configuration counts as known 4 s after its signal.
RELOAD_AGAIN, RELOAD_FOR = timedelta(milliseconds=50), timedelta(seconds=3)

CHANGEABLE = (
    "discovery",
    "settings",
    "tree",
    "seed",
    "known",
    "ops",
)  # the last three matter at a start only


Reread = Callable[[NodeConfig], tuple[NodeConfig, OperatorFile]]  # in place of the files before


class Node:
    """Puts the parts together, and holds what changes over the life of the process."""

    def __init__(self, config: NodeConfig, operators: OperatorFile, reactor: Reactor, reread: Reread) -> None:
        self._config, self._operators, self._reactor, self._reread = config, operators, reactor, reread
        self._settings = settings = config.settings.policy  # with the classes of all settings so far
        self.counters = Counters()
        self._clock = clock = Clock()
        self._deadlines = Timers(clock, reactor, self.counters)
        self._wall_clock = WallClockMonitor(self._deadlines, self.counters)
        slots = max(1, (config.sockets - OTHERS_KEPT - PROBES_KEPT) // 2)  # a client's socket and a peer's
        self._policy = Policy(settings, config.seed)
        self._core = Core(self._policy, settings, clock, self._deadlines, self.counters, slots)
        self._group = EndpointGroup(settings.zones, settings.kinds)
        upstream_services = UpstreamServices(
            reactor, self._core, clock, self._deadlines, self.counters, config.settings
        )
        self._upstreams = UpstreamConnections(upstream_services, self._group)
        self._session_reports = SessionReportClassifier(config.settings)
        liveness_services = LivenessServices(clock, self._core, self._deadlines, self._session_reports)
        self._liveness = LivenessMonitor(liveness_services, _latency_threshold(settings.classes))
        self._discovery = DiscoveryClient(
            reactor, config.discovery, self._group, self._core, self._deadlines, self.counters
        )
        classes = _numbers(settings, settings)
        self._factory = ClientFactory(
            self._core,
            clock,
            self._deadlines,
            self.counters,
            self._liveness,
            reactor,
            self._upstreams,
            classes,
            _tenants(settings),
            self._free,
        )
        folder = os.environ.get("TMPDIR", "")
        path = os.path.join(folder, f"stepflow-{config.name}") if folder else ""
        self._garbage = GarbageCollection(self._deadlines)
        self._handover = Handover(reactor, self._deadlines, self, path)
        self._recording = Recording(self._core, clock, self._deadlines, config.name)
        self._shutdown = Shutdown(
            config.name,
            self._core,
            self._factory,
            clock,
            self._deadlines,
            self._handover,
            self._longest_deadline,
            self._stop,
        )
        self._port: ClientListener
        self._ready = self._stopped = False
        self._started_at = ZERO
        self._inherited: dict[str, Any] | None = None  # what the process before had learned
        self._inherited_at = ZERO  # when it told that
        self.exit_code = 0

    def now(self) -> timedelta:
        return self._clock.now()

    def _free(self) -> int:
        """Descriptors left, when every request that is open has its peer's."""
        peers = max(self._upstreams.attempts, self._core.open) + max(
            self._upstreams.health_check_connections, PROBES_KEPT
        )
        return self._config.sockets - OTHERS_KEPT - peers - self._factory.open - self._handover.others

    def descriptors(self) -> int:
        """Descriptors that are open, or kept for what is not a client's."""
        return (
            OTHERS_KEPT
            + self._upstreams.attempts
            + self._upstreams.health_check_connections
            + self._factory.open
        )

    def handover_state(self) -> tuple[int, dict[str, Any]]:
        return self._port.fileno(), {
            "list": self._group.message(),
            "learned": take_snapshot(self._policy, micros(self.now())),
        }

    def start(self) -> None:
        """Answer operators, and look for the process that this one is to replace."""
        self._started_at = self.now()
        if self._config.ops is not None:
            self._listen_for_operators(self._config.ops)
        self._handover.find(self._begin)

    def _listen_for_operators(self, address: Address) -> None:
        site = OpsSite(self._deadlines, self._can_serve, self._figures)
        try:
            port = listen_for_operators(self._reactor, address, site).getHost().port
        except (CannotListenError, OSError) as fault:
            if not self._may_try_again(fault):
                raise
            self._deadlines.after(LISTEN_RETRY_DELAY, lambda: self._listen_for_operators(address))
            return
        log.info("hears operators", address=Address(address.host, port))

    def _may_try_again(self, fault: Exception) -> bool:
        """Whether what failed at the start may succeed soon, and there is time left."""
        return errno_of(fault) in RESOURCE_SHORTAGE and self.now() - self._started_at < LISTEN_RETRY_LIMIT

    def _begin(self, listener: int | None, told: dict[str, Any]) -> None:
        """Begin the module's life with the newest list there is, then take clients."""
        try:
            _, known = self._group.apply(told.get("list") or self._config.known)
        except EndpointListError as fault:
            log.warning("the known list is passed over", fault=fault)
            known = ()
        self._core.start(self._upstreams, self._discovery, known)
        if "learned" in told:
            log.info("takes over from the process that serves", node=self._config.name)
            self._inherited, self._inherited_at = told["learned"], self.now()
            self._recall()
        if self._settings.polls_endpoint_list:
            self._listen(listener)
        else:
            self._discovery.keep_watch(lambda: self._listen(listener))

    def _listen(self, listener: int | None) -> None:
        """Take clients, from the socket of the process before if that has passed it."""
        try:
            self._port = listen(self._reactor, self._config.listen, self._factory, self.counters, listener)
        except OSError as fault:
            if self._may_try_again(fault):
                self._deadlines.after(LISTEN_RETRY_DELAY, lambda: self._listen(listener))
                return
            print(f"stepflow: {self._config.listen}: {fault.strerror}", file=sys.stderr)
            self.exit_code = 1
            self._stop()
            return
        address = Address(self._config.listen.host, self._port.getHost().port)
        self._ready = True
        log.info("listens", address=address, node=self._config.name)
        self._recording.follow(self._operators.record, self._settings)
        self._garbage.begin()
        self._wall_clock.begin()
        self._handover.begun()

    def _recall(self) -> None:
        try:
            restore_snapshot(self._policy, self._inherited or {}, micros(self._inherited_at))
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            log.warning("what the process before has learned can't be read", fault=repr(fault))

    def has_all(self) -> None:
        """Reports were held against part of the sessions while those came: their costs are far too high."""
        if self._inherited is not None:
            self._recall()
            self._inherited = None
            log.info(
                "has all sessions", sessions=len(self._core.established_sessions()), node=self._config.name
            )

    def _can_serve(self) -> bool:
        return self._ready and not self._shutdown.begun

    def _figures(self) -> bytes:
        gauges = Gauges(self._core.open, len(self._group), excluded(self._policy.model.endpoints.values()))
        return render(self.counters, gauges)

    def reload(self) -> None:
        """Read the configuration again and go on with it, as far as it can change while the node runs."""
        self._reload(self.now() + RELOAD_FOR)

    def _reload(self, until: timedelta) -> None:
        if self._shutdown.begun:
            return
        try:
            told, operators = self._reread(self._config)
        except InputError as fault:
            if fault.is_transient and self.now() < until:
                self._deadlines.after(RELOAD_AGAIN, lambda: self._reload(until))
                return
            self.counters.reloads_failed += 1
            log.warning("reload turned down, the old configuration goes on", fault=fault)
            return
        old, self._config = (
            self._config,
            self._config._replace(discovery=told.discovery, settings=told.settings, tree=told.tree),
        )
        for name in old._fields:
            if name not in CHANGEABLE and getattr(told, name) != getattr(old, name):
                log.warning("reload passes over what can't change while the node runs", key=name)
        if operators.log != self._operators.log:
            set_up(operators.log.form, operators.log.level)
        self._operators = operators
        if told.settings != old.settings:
            self._retune(told.settings)
        self._recording.follow(operators.record, self._settings)
        if told.discovery != old.discovery:
            self._discovery.change_address(told.discovery)
        self.counters.reloads += 1
        log.info("reloaded", discovery=told.discovery)

    def _retune(self, told: NodeSettings) -> None:
        """Hand new settings to all who hold the old ones, in one step."""
        self._settings = merge_settings(self._settings, told.policy)
        self._core.update_settings(self._settings)
        self._upstreams.update_settings(told._replace(policy=self._settings))
        self._liveness.update_latency_threshold(_latency_threshold(told.policy.classes))
        self._session_reports.update_settings(told)
        self._factory.classes = _numbers(self._settings, told.policy)
        self._factory.tenants = _tenants(self._settings)
        log.info("takes settings", classes=",".join(cls.name for cls in told.policy.classes))

    def terminate(self, told: timedelta | None = None) -> None:
        """Leave in order, from the moment that the signal came."""
        listener = self._port if self._ready else None
        self._shutdown.begin(self.now() if told is None else told, listener)

    def taken(self, number: int, by_other: bool) -> None:
        """What the successor made of a session that was passed to it."""
        self._shutdown.taken(number, by_other)

    def adopt(self, session: dict[str, Any], client: int, peer: int) -> bool:
        """Go on with a session of the process before."""
        return self._can_serve() and self._factory.adopt(session, client, peer)

    def _longest_deadline(self) -> timedelta:
        longest = max(cls.deadline_us for cls in self._config.settings.policy.classes)
        return timedelta(microseconds=longest)

    def _stop(self) -> None:
        if not self._stopped:
            self._stopped = True
            self._reactor.stop()

    def close(self) -> None:
        """Give back what outlives the clients."""
        left = self._shutdown.time_left() if self._shutdown.begun else DISK_WAIT
        self._recording.end(max(left, DISK_WAIT))
        self._handover.close()
        self._discovery.close()
        self._upstreams.close()

    def print_counters(self) -> None:
        print_plainly(f"counters: {self.counters}")


def _numbers(settings: Settings, told: Settings) -> dict[bytes, int]:
    """The classes that clients may name, by their numbers in the table."""
    return {cls.name.encode(): settings.classes.index(cls) for cls in told.classes}


def _tenants(settings: Settings) -> dict[bytes, int]:
    """The tenants that clients may name, by their numbers."""
    return {tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)}


def _latency_threshold(classes: tuple[RequestClass, ...]) -> timedelta:
    """Messages that take longer are reported: a third of the shortest message latency objective."""
    aims = [cls.message_latency_objective_us for cls in classes if cls.message_latency_objective_us > 0]
    return timedelta(microseconds=min(aims)) / 3 if aims else timedelta(days=1)


def run(config: NodeConfig, operators: OperatorFile, reread: Reread, reloads: Sequence[int] = ()) -> int:
    """Run the node until SIGTERM or SIGINT; `reloads` holds the SIGHUPs that came before."""
    take_twisted()
    reactor = serving_reactor()
    node = Node(config, operators, reactor, reread)
    calls: dict[int, Callable[[timedelta], None]] = {
        signal.SIGTERM: node.terminate,
        signal.SIGINT: node.terminate,
        signal.SIGHUP: lambda told: node.reload(),
        signal.SIGUSR1: lambda told: node.print_counters(),
    }

    def on_signal(number: int, frame: object) -> None:
        # From a signal handler as from a thread: nothing else is safe.
        reactor.callFromThread(calls[number], node.now())

    for number in calls:
        signal.signal(number, on_signal)
    if reloads:
        reactor.callLater(0, node.reload)
    try:  # with the signals heard from before the log's word that it listens
        node.start()
    except Exception as fault:
        print(f"stepflow: {config.listen}: {fault}", file=sys.stderr)
        return 1
    reactor.addSystemEventTrigger("before", "shutdown", node.close)
    reactor.run(installSignalHandlers=False)
    node.print_counters()
    for number in calls:  # the interpreter, as it ends, would make a further signal deadly again
        signal.signal(number, signal.SIG_IGN)
    close_logs()
    return node.exit_code
