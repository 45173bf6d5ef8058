"""The parts of a node, built and joined.

Responsible for what each part is given; the parts work from `Node.start` on. Owns nothing: `Node` holds the
parts.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from stepflow.interface import RequestClass, Settings
from stepflow.node.clients.connection import ClientFactory
from stepflow.node.core import Core
from stepflow.node.discovery import DiscoveryClient
from stepflow.node.process.config import NodeConfig
from stepflow.node.process.descriptors import Descriptors, session_slots
from stepflow.node.process.handover import Handover, HandoverProcess
from stepflow.node.process.shutdown import Shutdown, StoppableProcess
from stepflow.node.recording import Recording
from stepflow.node.runtime.clock import Clock
from stepflow.node.runtime.counters import Counters
from stepflow.node.runtime.garbage import GarbageCollection
from stepflow.node.runtime.timers import Timers
from stepflow.node.runtime.transports import Reactor
from stepflow.node.runtime.wall_clock import WallClockMonitor
from stepflow.node.upstreams.attempt import UpstreamConnections
from stepflow.node.upstreams.liveness import LivenessMonitor
from stepflow.node.upstreams.load_reports import LoadReportClassifier
from stepflow.policy import Policy
from stepflow.upstream import EndpointGroup

LATE_MESSAGE_DIVISOR = 3  # a message is late after this part of the shortest objective
NEVER_LATE = timedelta(days=1)


@dataclass(frozen=True, slots=True)
class Runtime:
    """What all parts share."""

    reactor: Reactor
    clock: Clock
    counters: Counters
    timers: Timers


@dataclass(frozen=True, slots=True)
class Decisions:
    """The policy, what it knows of endpoints, and the core that carries out its actions."""

    policy: Policy
    endpoint_group: EndpointGroup
    core: Core


@dataclass(frozen=True, slots=True)
class Connections:
    """The node's sides: toward endpoints, clients and discovery."""

    upstreams: UpstreamConnections
    load_reports: LoadReportClassifier
    liveness: LivenessMonitor
    discovery: DiscoveryClient
    clients: ClientFactory
    descriptors: Descriptors


@dataclass(frozen=True, slots=True)
class Lifecycle:
    """What begins, follows and ends the process."""

    handover: Handover
    shutdown: Shutdown
    recording: Recording
    garbage: GarbageCollection
    wall_clock: WallClockMonitor


@dataclass(frozen=True, slots=True)
class NodeParts:
    """All parts of a node."""

    runtime: Runtime
    decisions: Decisions
    connections: Connections
    lifecycle: Lifecycle


class Process(HandoverProcess, StoppableProcess, Protocol):
    """What parts ask of the process that holds them."""


def build_parts(config: NodeConfig, reactor: Reactor, process: Process) -> NodeParts:
    """Build the parts of a node; none of them begins anything yet."""
    runtime = _build_runtime(reactor)
    decisions = _build_decisions(config, runtime)
    handover = Handover(reactor, runtime.timers, process, handover_path(config.name))
    connections = _build_connections(config, runtime, decisions, handover)
    shutdown = Shutdown(process, decisions.core, connections.clients, runtime.clock, runtime.timers, handover)
    lifecycle = Lifecycle(
        handover=handover,
        shutdown=shutdown,
        recording=Recording(decisions.core, runtime.clock, runtime.timers, config.name),
        garbage=GarbageCollection(runtime.timers),
        wall_clock=WallClockMonitor(runtime.timers, runtime.counters),
    )
    return NodeParts(runtime, decisions, connections, lifecycle)


def handover_path(node_name: str) -> str:
    """The Unix socket that a node's processes find each other by; empty without a folder for it."""
    folder = os.environ.get("TMPDIR", "")
    return os.path.join(folder, f"stepflow-{node_name}") if folder else ""


def class_indexes(settings: Settings, current: Settings) -> dict[bytes, int]:
    """The classes that clients may name, by name: those of the current file, in the table of all so far."""
    return {cls.name.encode(): settings.classes.index(cls) for cls in current.classes}


def tenant_indexes(settings: Settings) -> dict[bytes, int]:
    """The tenants that clients may name, by name."""
    return {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}


def late_after(classes: tuple[RequestClass, ...]) -> timedelta:
    """How long a message takes that is late: a part of the shortest latency objective of messages."""
    objectives = [cls.message_latency_objective_us for cls in classes if cls.message_latency_objective_us > 0]
    return timedelta(microseconds=min(objectives)) / LATE_MESSAGE_DIVISOR if objectives else NEVER_LATE


def _build_runtime(reactor: Reactor) -> Runtime:
    clock, counters = Clock(), Counters()
    return Runtime(reactor, clock, counters, Timers(clock, reactor, counters))


def _build_decisions(config: NodeConfig, runtime: Runtime) -> Decisions:
    settings = config.settings.policy
    policy = Policy(settings, config.seed)
    slots = session_slots(config.sockets)
    core = Core(policy, settings, runtime.clock, runtime.timers, runtime.counters, slots)
    return Decisions(policy, EndpointGroup(settings.zones, settings.kinds), core)


def _build_connections(
    config: NodeConfig, runtime: Runtime, decisions: Decisions, handover: Handover
) -> Connections:
    reactor, clock, counters, timers = runtime.reactor, runtime.clock, runtime.counters, runtime.timers
    core, group, settings = decisions.core, decisions.endpoint_group, config.settings.policy
    upstreams = UpstreamConnections(reactor, core, clock, timers, counters, group, config.settings)
    load_reports = LoadReportClassifier(config.settings)
    liveness = LivenessMonitor(clock, core, timers, late_after(settings.classes), load_reports)
    descriptors = Descriptors(config.sockets, core, upstreams, handover)
    clients = ClientFactory(
        core,
        clock,
        timers,
        counters,
        liveness,
        reactor,
        upstreams,
        class_indexes(settings, settings),
        tenant_indexes(settings),
        lambda: descriptors.free(clients.open),
    )
    return Connections(
        upstreams=upstreams,
        load_reports=load_reports,
        liveness=liveness,
        discovery=DiscoveryClient(reactor, config.discovery, group, core, timers, counters),
        clients=clients,
        descriptors=descriptors,
    )
