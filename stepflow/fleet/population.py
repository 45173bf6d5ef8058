"""The servers of a simulated fleet, and where sessions are established when a run begins."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

from stepflow.fleet.scenario import Scenario
from stepflow.fleet.servers import Server
from stepflow.fleet.streams import stream
from stepflow.fleet.traffic import Traffic

PREFERRED_SHARE = 0.7  # share of an affinity group's sessions at its preferred servers
PREFERRED_SERVERS = 2  # number of preferred servers of a group
SESSIONS_PER_CORE = 750  # limit on the sessions that a server accepts
MIN_LOAD_PER_CORE = 1e-9  # lower limit of a divisor that is 0 for a fleet without sessions


def make_server(scenario: Scenario, kind: int, uid: str, zone: int, rng: np.random.Generator) -> Server:
    """Make a server of a kind, with its parameters drawn from the kind's ranges."""
    figures, day = list(scenario.kinds.values())[kind], scenario.day
    speed, cold_from, cold_s = (
        float(rng.uniform(*span)) for span in (figures.speed, figures.cold_from, figures.cold_s)
    )
    objective_s = min(cls.message_ms for cls in scenario.classes.values()) / 1000
    return Server(
        uid,
        kind,
        int(figures.cores),
        speed,
        0.0,
        cold_from,
        cold_s,
        max_sessions=int(SESSIONS_PER_CORE * figures.cores),
        group_load=day.group_load,
        message_s=day.message_share * objective_s / speed,
        zone=zone,
    )


def make_servers(scenario: Scenario, seed: int) -> list[Server]:
    """Make the servers that exist when a run begins, ordered by kind."""
    day, kinds = scenario.day, list(scenario.kinds.values())
    shares = np.array([kind.share for kind in kinds])
    counts = np.floor(shares / shares.sum() * day.servers).astype(int)
    counts[np.argmax(shares)] += day.servers - counts.sum()
    rng = stream(seed, "servers")
    servers: list[Server] = []
    for kind, count in enumerate(counts):
        for _ in range(count):
            number = len(servers)
            servers.append(make_server(scenario, kind, f"s-{number}", number % max(1, day.zones), rng))
    return servers


def place_sessions(scenario: Scenario, seed: int, traffic: Traffic, servers: Sequence[Server]) -> list[int]:
    """Place the sessions that are established at the start; return the index of each session's server.

    Most sessions of a group are at its preferred servers, as if placed by a policy that keeps groups
    together. The total load of all sessions and groups also sets `Server.load_per_core`.
    """
    day, count = scenario.day, traffic.established
    sizes = np.array([server.cores * server.speed for server in servers])
    probabilities = sizes / sizes.sum()
    rng = stream(seed, "stands")
    preferred = rng.choice(len(servers), (day.groups + 1, PREFERRED_SERVERS), p=probabilities)
    at_preferred = preferred[traffic.group[:count], rng.integers(0, PREFERRED_SERVERS, count)]
    anywhere = rng.choice(len(servers), count, p=probabilities)
    places = np.where(rng.random(count) < PREFERRED_SHARE, at_preferred, anywhere)
    groups_held = len(np.unique(np.stack([places, traffic.group[:count]]), axis=1).T)
    load = float(traffic.loads[:count, 0].sum()) + day.group_load * groups_held
    for server in servers:
        server.load_per_core = max(MIN_LOAD_PER_CORE, load / (day.utilization * float(sizes.sum())))
    return [int(place) for place in places]
