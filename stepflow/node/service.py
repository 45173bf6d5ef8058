"""The node as a service: start, signals, shutdown."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, cast

from twisted.internet.error import CannotListenError

from stepflow.daemon import OperatorFile
from stepflow.endpoint import Endpoint
from stepflow.faults import BadInput
from stepflow.interface import RequestClass, Settings
from stepflow.logs import close as close_logs
from stepflow.logs import get_logger, print_plainly, set_up, take_twisted
from stepflow.node.client import ClientConnection, ClientFactory
from stepflow.node.clock import ZERO, Clock, micros
from stepflow.node.config import NodeConfig
from stepflow.node.core import Core, RequestContext
from stepflow.node.counters import Counters
from stepflow.node.deadlines import Deadlines
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.figures import Gauges, excluded, render
from stepflow.node.heap import Heap
from stepflow.node.learned import learned, recall
from stepflow.node.leaving import MOVES_FROM, Leave, leave, move_waits
from stepflow.node.listener import listen
from stepflow.node.notes import NoteReader
from stepflow.node.ops import CALLS_KEPT, OpsSite
from stepflow.node.ops import listen as listen_for_operators
from stepflow.node.peer import Peers
from stepflow.node.ports import Reactor
from stepflow.node.pulse import Pulses
from stepflow.node.reactor import serving_reactor
from stepflow.node.recording import DISK_WAIT, Recording
from stepflow.node.successor import Handover
from stepflow.node.wall_clock import WallClockMonitor
from stepflow.policy import Policy
from stepflow.settings import NodeSettings, follow
from stepflow.shortage import LISTEN_AGAIN, LISTEN_FOR, OF_THIS_MACHINE, errno_of
from stepflow.upstream import BadList, Group

log = get_logger()

OTHERS_KEPT = 24 + CALLS_KEPT  # descriptors for discovery, listeners, streams, the reactor, operators' calls
PROBES_KEPT = 24  # and for the connections of probes, at the least

PASS_EVERY = timedelta(milliseconds=20)  # between two looks for sessions that a successor can have
MOST_OFFERED = 32  # at a time: each holds two descriptors in both processes until it is answered
LOOK_EVERY = timedelta(milliseconds=50)  # whether all have been read
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
    """Puts the parts together and owns the listener."""

    def __init__(self, config: NodeConfig, operators: OperatorFile, reactor: Reactor, reread: Reread) -> None:
        self._config, self._operators, self._reactor, self._reread = config, operators, reactor, reread
        self._settings = settings = config.settings.module  # with the classes of all settings so far
        self.counters = Counters()
        self._clock = clock = Clock()
        self._deadlines = Deadlines(clock, reactor, self.counters)
        self._wall_clock = WallClockMonitor(self._deadlines, self.counters)
        slots = max(1, (config.sockets - OTHERS_KEPT - PROBES_KEPT) // 2)  # a client's socket and a peer's
        self._policy = Policy(settings, config.seed)
        self._core = Core(self._policy, settings, clock, self._deadlines, self.counters, slots)
        self._group = Group(settings.zones, settings.kinds)
        self._peers = Peers(
            reactor, self._core, clock, self._deadlines, self.counters, self._group, config.settings
        )
        self._notes = NoteReader(config.settings)
        self._pulses = Pulses(clock, self._core, self._deadlines, _late(settings.classes), self._notes)
        self._discovery = DiscoveryClient(
            reactor, config.discovery, self._group, self._core, self._deadlines, self.counters
        )
        classes = _numbers(settings, settings)
        self._factory = ClientFactory(
            self._core,
            clock,
            self._deadlines,
            self.counters,
            self._pulses,
            reactor,
            self._peers,
            classes,
            _tenants(settings),
            self._free,
        )
        folder = os.environ.get("TMPDIR", "")
        path = os.path.join(folder, f"stepflow-{config.name}") if folder else ""
        self._heap = Heap(self._deadlines)
        self._handover = Handover(reactor, self._deadlines, self, path)
        self._recording = Recording(self._core, clock, self._deadlines, config.name)
        self._ready = self._stopping = self._closed = self._ending = self._stopped = False
        self._started_at = self._left_at = ZERO  # when the process began, and when SIGTERM came
        self._offered: dict[int, RequestContext] = {}  # sessions on their way to the successor
        self._offers = 0
        self._told_all = False
        self._bequest: dict[str, Any] | None = None  # what the process before had learned
        self._bequest_at = ZERO  # when it told that
        self.exit_code = 0

    def now(self) -> timedelta:
        return self._clock.now()

    def _free(self) -> int:
        """Descriptors left, when every request that is open has its peer's."""
        peers = max(self._peers.attempts, self._core.open) + max(self._peers.links, PROBES_KEPT)
        return self._config.sockets - OTHERS_KEPT - peers - self._factory.open - self._handover.others

    def descriptors(self) -> int:
        """Descriptors that are open, or kept for what is not a client's."""
        return OTHERS_KEPT + self._peers.attempts + self._peers.links + self._factory.open

    def bequest(self) -> tuple[int, dict[str, Any]]:
        return self._port.fileno(), {
            "list": self._group.message(),
            "learned": learned(self._policy, micros(self.now())),
        }

    def start(self) -> None:
        """Answer operators, and look for the process that this one is to replace."""
        self._started_at = self.now()
        if self._config.ops is not None:
            self._listen_for_operators(self._config.ops)
        self._handover.find(self._begin)

    def _listen_for_operators(self, address: Endpoint) -> None:
        site = OpsSite(self._deadlines, self._can_serve, self._figures)
        try:
            port = listen_for_operators(self._reactor, address, site).getHost().port
        except (CannotListenError, OSError) as fault:
            if not self._may_try_again(fault):
                raise
            self._deadlines.after(LISTEN_AGAIN, lambda: self._listen_for_operators(address))
            return
        log.info("hears operators", address=Endpoint(address.host, port))

    def _may_try_again(self, fault: Exception) -> bool:
        """Whether what failed at the start may succeed soon, and there is time left."""
        return errno_of(fault) in OF_THIS_MACHINE and self.now() - self._started_at < LISTEN_FOR

    def _begin(self, listener: int | None, told: dict[str, Any]) -> None:
        """Begin the module's life with the newest list there is, then take clients."""
        try:
            _, known = self._group.apply(told.get("list") or self._config.known)
        except BadList as fault:
            log.warning("the known list is passed over", fault=fault)
            known = ()
        self._core.start(self._peers, self._discovery, known)
        if "learned" in told:
            log.info("takes over from the process that serves", node=self._config.name)
            self._bequest, self._bequest_at = told["learned"], self.now()
            self._recall()
        if self._settings.ask_for_list:
            self._listen(listener)
        else:
            self._discovery.keep(lambda: self._listen(listener))

    def _listen(self, listener: int | None) -> None:
        """Take clients, from the socket of the process before if that has passed it."""
        try:
            self._port = listen(self._reactor, self._config.listen, self._factory, self.counters, listener)
        except OSError as fault:
            if self._may_try_again(fault):
                self._deadlines.after(LISTEN_AGAIN, lambda: self._listen(listener))
                return
            print(f"stepflow: {self._config.listen}: {fault.strerror}", file=sys.stderr)
            self.exit_code = 1
            self._stop()
            return
        address = Endpoint(self._config.listen.host, self._port.getHost().port)
        self._ready = True
        log.info("listens", address=address, node=self._config.name)
        self._recording.follow(self._operators.record, self._settings)
        self._heap.begin()
        self._wall_clock.begin()
        self._handover.begun()

    def _recall(self) -> None:
        try:
            recall(self._policy, self._bequest or {}, micros(self._bequest_at))
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            log.warning("what the process before has learned can't be read", fault=repr(fault))

    def has_all(self) -> None:
        """Reports were held against part of the sessions while those came: their costs are far too high."""
        if self._bequest is not None:
            self._recall()
            self._bequest = None
            log.info("has all sessions", sessions=len(self._core.standing()), node=self._config.name)

    def _can_serve(self) -> bool:
        return self._ready and not self._stopping

    def _figures(self) -> bytes:
        gauges = Gauges(self._core.open, len(self._group), excluded(self._policy.model.servers.values()))
        return render(self.counters, gauges)

    def reload(self) -> None:
        """Read the configuration again and go on with it, as far as it can change while the node runs."""
        self._reload(self.now() + RELOAD_FOR)

    def _reload(self, until: timedelta) -> None:
        if self._stopping:
            return
        try:
            told, operators = self._reread(self._config)
        except BadInput as fault:
            if fault.passing and self.now() < until:
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
            self._discovery.move(told.discovery)
        self.counters.reloads += 1
        log.info("reloaded", discovery=told.discovery)

    def _retune(self, told: NodeSettings) -> None:
        """Hand new settings to all who hold the old ones, in one step."""
        self._settings = follow(self._settings, told.module)
        self._core.retune(self._settings)
        self._peers.settings = told._replace(module=self._settings)
        self._pulses.retune(_late(told.module.classes))
        self._notes.retune(told)
        self._factory.classes = _numbers(self._settings, told.module)
        self._factory.tenants = _tenants(self._settings)
        log.info("takes settings", classes=",".join(cls.name for cls in told.module.classes))

    def terminate(self, told: timedelta | None = None) -> None:
        """Leave in order: take what still comes, move all clients, answer all that waits, exit.

        All moments count from when the signal came, which a busy process hears of late.
        """
        if self._stopping:
            return
        self._stopping = True
        self._left_at = self._clock.now() if told is None else told
        log.info("leaves", connections=len(self._core.standing()), node=self._config.name)
        if not self._ready:
            self._stop()
            return
        self._deadlines.at(self._left_at + self._leave_plan().end, self._end)
        self._handover.leave()
        self._give_over()

    def _give_over(self) -> None:
        """Serve on for a while, or until the successor does: it holds the listener, but may be half begun."""
        if self._ending:
            return
        if not self._handover.has_successor:
            self._deadlines.at(self._left_at + self._leave_plan().shut, self._leave)
        elif not self._handover.successor_serves:
            self._deadlines.after(PASS_EVERY, self._give_over)
        else:
            # It accepts from the same queue; whoever was accepted here is still heard here. The listener
            # stays open in this process too, unheard: its queue would go with a successor that dies.
            self._port.stop_hearing()
            log.info("listens no more", node=self._config.name)
            self._pass_on()
            self._look()

    def _close_listener(self) -> None:
        """Take all that the kernel has accepted, unless a successor does, and nothing from then on."""
        if self._closed:
            return
        self._closed = True
        if self._handover.successor_serves:  # and the log has said that this process listens no more
            self._port.close_now()
        else:
            self._port.end(lambda: log.info("listens no more", node=self._config.name))

    def _pass_on(self) -> None:
        """Offer what stands to the successor, some at a time, and look again for what comes up later."""
        if self._ending:
            return
        if not self._handover.has_successor:
            self._take_back()
            self._leave()
            return
        for context in self._core.standing():
            if len(self._offered) >= MOST_OFFERED:
                break
            session = cast(ClientConnection, context.front).offer()
            if session is not None:
                self._offers += 1
                self._offered[self._offers] = context
                self._handover.pass_on(self._offers, session, session["client"], session["peer"])
        if not self._told_all and not self._core.standing():
            self._told_all = True
            self._handover.passed_all()
        self._deadlines.after(PASS_EVERY, self._pass_on)

    def _take_back(self) -> None:
        """Go on with what was offered: no answer will come, or none in time."""
        for number in tuple(self._offered):
            self.taken(number, False)

    def taken(self, number: int, by_other: bool) -> None:
        context = self._offered.pop(number, None)
        if context is not None:
            cast(ClientConnection, context.front).taken(by_other)
            if not by_other:
                self._core.move(context)

    def adopt(self, session: dict[str, Any], client: int, peer: int) -> bool:
        return self._ready and not self._stopping and self._factory.adopt(session, client, peer)

    def _leave_plan(self) -> Leave:
        longest = max(cls.deadline_us for cls in self._config.settings.module.classes)
        return leave(timedelta(microseconds=longest))

    def _leave(self) -> None:
        """With nobody to take over: the clients go to other nodes."""
        if self._ending:
            return
        self._core.reject_pending()
        self._close_listener()
        # A session is served here until it is moved, and its client may find no other node: those of a fleet
        # that restarts in turn are back before this one's end. So the moves take all the time there is.
        left = self._left_at + self._leave_plan().end - self._clock.now()
        self._move_all(left, MOVES_FROM)

    def _move_all(self, span: timedelta, kept: float) -> None:
        """Move what stands one by one, within a span that begins with a share in which all are kept."""
        standing = self._core.standing()
        waits = move_waits(span, len(standing), kept)
        for wait, context in zip(waits, standing, strict=True):
            self._deadlines.after(wait, lambda context=context: self._core.move(context))  # type: ignore[misc]

    def _end(self) -> None:
        """Answer and move whoever is left; stop once the last clients have read that."""
        self._ending = True
        self._take_back()
        self._core.settle_pending()
        self._close_listener()
        self._factory.turn_away()
        for context in self._core.standing():
            self._core.move(context)
        self._deadlines.at(self._left_at + self._leave_plan().stop, self._stop)
        self._look()

    def _look(self) -> None:
        if self._factory.open:
            self._deadlines.after(LOOK_EVERY, self._look)
        else:
            self._stop()

    def _stop(self) -> None:
        if not self._stopped:
            self._stopped = True
            self._reactor.stop()

    def close(self) -> None:
        """Give back what outlives the clients."""
        left = self._left_at + self._leave_plan().stop - self.now() if self._stopping else DISK_WAIT
        self._recording.end(max(left, DISK_WAIT))
        self._handover.close()
        self._discovery.close()
        self._peers.close()

    def print_counters(self) -> None:
        print_plainly(f"counters: {self.counters}")


def _numbers(settings: Settings, told: Settings) -> dict[bytes, int]:
    """The classes that clients may name, by their numbers in the table."""
    return {cls.name.encode(): settings.classes.index(cls) for cls in told.classes}


def _tenants(settings: Settings) -> dict[bytes, int]:
    """The tenants that clients may name, by their numbers."""
    return {tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)}


def _late(classes: tuple[RequestClass, ...]) -> timedelta:
    """Messages that take longer are noted: a third of the shortest message aim."""
    aims = [cls.message_aim_us for cls in classes if cls.message_aim_us > 0]
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
