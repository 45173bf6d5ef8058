"""Builds the parts of a node and connects them.

Responsible for the arguments of each part; the parts start to work in `Node.start`. Owns nothing: `Node`
holds the parts.
"""

from __future__ import annotations

import os
from datetime import timedelta
from functools import partial
from typing import NamedTuple, Protocol

from stepflow.interface import RequestClass, Settings
from stepflow.node.clients.factory import ClientFactory
from stepflow.node.clients.services import ClientServices
from stepflow.node.core import Core
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.process.config import NodeConfig
from stepflow.node.process.descriptors import DescriptorBudget, session_slots
from stepflow.node.process.handover import Handover, HandoverProcess
from stepflow.node.process.shutdown import Shutdown, StoppableProcess
from stepflow.node.recording import Recording
from stepflow.node.relay import RelayServices
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.connection import connect
from stepflow.node.runtime.connection_log import ConnectionLog
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.garbage import GarbageCollection
from stepflow.node.runtime.session_log import SessionLog
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.runtime.wall_clock import WallClockMonitor
from stepflow.node.upstreams.liveness import LivenessMonitor, LivenessServices
from stepflow.node.upstreams.pool import UpstreamConnections
from stepflow.node.upstreams.services import UpstreamServices
from stepflow.node.upstreams.session_reports import SessionReportClassifier
from stepflow.policy import Policy
from stepflow.upstream import EndpointGroup

LATENCY_THRESHOLD_DIVISOR = 3  # the threshold is the shortest latency objective divided by this
NEVER_LATE = timedelta(days=1)


class NodeParts(NamedTuple):
    """All parts of a node, each listed after those that it depends on."""

    # Shared by all parts.
    reactor: Reactor
    clock: Clock
    counters: Counters
    timers: Timers
    # The decisions, the endpoint list that they are based on, and the core that carries them out.
    policy: Policy
    endpoint_group: EndpointGroup
    core: Core
    # The connections: toward endpoints, discovery, the other process, and clients.
    upstreams: UpstreamConnections
    session_reports: SessionReportClassifier
    liveness: LivenessMonitor
    discovery: DiscoveryClient
    handover: Handover
    descriptors: DescriptorBudget
    clients: ClientFactory
    # Shutdown and monitoring of the process.
    shutdown: Shutdown
    recording: Recording
    garbage: GarbageCollection
    wall_clock: WallClockMonitor


class Process(HandoverProcess, StoppableProcess, Protocol):
    """The interface that the parts need from their process."""


def build_parts(config: NodeConfig, reactor: Reactor, process: Process) -> NodeParts:
    """Build the parts of a node; none of them starts to work yet.

    Long: one call for each part, in the order of their dependencies.
    """
    settings = config.settings.policy
    clock, counters = Clock(), Counters()
    timers = Timers(clock, reactor, counters)
    connection_log = ConnectionLog(timers, counters)
    policy = Policy(settings, config.seed)
    core = Core(policy, settings, clock, timers, counters, session_slots(config.sockets))
    group = EndpointGroup(settings.zones, settings.kinds)
    upstreams = UpstreamConnections(
        UpstreamServices(reactor, core, clock, timers, counters, connection_log, config.settings), group
    )
    session_reports = SessionReportClassifier(config.settings)
    liveness = LivenessMonitor(
        LivenessServices(clock, core, timers, session_reports), latency_threshold(settings.classes)
    )
    handover = Handover(reactor, timers, process, handover_path(config.name))
    descriptors = DescriptorBudget(
        config.sockets, clock, core, upstreams, handover, lambda: clients.open_connections
    )
    upstreams.limit_health_checks(descriptors.health_check_limits)
    relay = RelayServices(clock, timers, counters, liveness, SessionLog(counters, connection_log))
    clients = ClientFactory(
        ClientServices(core, clock, timers, counters, connection_log, relay),
        reactor,
        upstreams,
        class_indexes(settings, settings),
        tenant_indexes(settings),
        descriptors,
    )
    clients.request_ids.on_closed = handover.send_closed_request
    discovery = DiscoveryClient(partial(connect, reactor), config.discovery, group, core, timers, counters)
    discovery.on_applied = handover.send_list
    return NodeParts(
        reactor=reactor,
        clock=clock,
        counters=counters,
        timers=timers,
        policy=policy,
        endpoint_group=group,
        core=core,
        upstreams=upstreams,
        session_reports=session_reports,
        liveness=liveness,
        discovery=discovery,
        handover=handover,
        descriptors=descriptors,
        clients=clients,
        shutdown=Shutdown(process, core, clients, clock, timers, handover),
        recording=Recording(core, clock, timers, config.name),
        garbage=GarbageCollection(timers),
        wall_clock=WallClockMonitor(timers, counters),
    )


def handover_path(node_name: str) -> str:
    """Return the path of the Unix socket for the hand-over; empty if TMPDIR is not set."""
    folder = os.environ.get("TMPDIR", "")
    return os.path.join(folder, f"stepflow-{node_name}") if folder else ""


def class_indexes(settings: Settings, current: Settings) -> dict[bytes, int]:
    """Return the indexes of the classes that clients may name, keyed by name.

    These are the classes of `current`, the settings of the current file; `settings` has the classes of all
    files so far.
    """
    return {cls.name.encode(): settings.classes.index(cls) for cls in current.classes}


def tenant_indexes(settings: Settings) -> dict[bytes, int]:
    """Return the indexes of the tenants that clients may name, keyed by name."""
    return {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}


def latency_threshold(classes: tuple[RequestClass, ...]) -> timedelta:
    """Return the latency above which a message is reported: a part of the shortest message objective."""
    objectives = [cls.message_latency_objective_us for cls in classes if cls.message_latency_objective_us > 0]
    return timedelta(microseconds=min(objectives)) / LATENCY_THRESHOLD_DIVISOR if objectives else NEVER_LATE
