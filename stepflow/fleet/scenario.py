"""A scenario: the fleet, its traffic and its faults, as read from a file of directives in blocks.

Names of fields are those of directives, with underscores for dashes. A range is LOW..HIGH, drawn once for
each server (or run); a single figure is a range of no width. Times are in seconds, except where a name ends
in its unit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any, get_type_hints

from stepflow.daemon.lines import MOST_BYTES, Directive, FileError, parse
from stepflow.fleet.streams import stream
from stepflow.interface import Limits, Prices, RequestClass, SafetyRules, Settings

Range = tuple[float, float]
MS = 1_000  # microseconds in a millisecond
FIGURE_LIMIT = 1e12  # no figure of a scenario makes sense from here on
NORMAL_95 = 1.959964  # standard deviations on each side of an interval of 95%


@dataclass(frozen=True)
class Kind:
    """One kind of servers."""

    share: float = 1.0
    cores: float = 3.0
    speed: Range = (1.0, 1.0)  # of a core; the yardstick is 1
    cold_from: Range = (0.3, 0.3)  # share of its capacity that a server starts with
    cold_s: Range = (8.0, 8.0)


@dataclass(frozen=True)
class Class:
    """One class of sessions; loads and lives are relative to the means of the day."""

    share: float = 1.0
    load: Range = (1.0, 1.0)
    life: Range = (1.0, 1.0)
    load_sigma: float = 0.6  # of the logarithm, from one connection to the next
    swing_sigma: float = 0.4  # and from one of its loads to the next
    work_ms: float = 10.0  # of a set-up, on the yardstick's core
    aim_ms: float = 300.0
    wait_ms: float = 1200.0
    message_ms: float = 50.0  # the latency objective of messages
    worth: float = 1.0


FAULTS = (
    "hang",
    "restart",
    "burst",
    "list-down",
    "drain",
    "start",
    "crash",
    "roll",
    "replace",
    "zone",
    "cut",
    "errors",
    "slow",
    "resets",
    "settings",
)


@dataclass(frozen=True)
class Fault:
    """A fault or an operation, from `at` seconds on."""

    what: str
    at: float
    lasts: float = 10.0
    part: float = 0.1  # of the servers; of the nodes for a restart or a roll; of the attempts for resets
    times: float = 2.0  # the traffic, for a burst
    at_once: float = 0.27  # share of the nodes that a restart or a roll takes at a time
    share: float = 0.5  # of a faulty server's answers that are errors; of its speed that a slow one keeps
    tries: int = 0  # attempts of a request from then on, where settings change; 0 for as many as before
    probe_price: float = -1.0  # and points for one health check a request; below 0 for the same
    drain_s: float = 5.0  # for which a replaced server drains before it stops


@dataclass(frozen=True)
class Day:
    """The block `day`: the figures of the fleet, its traffic and its network."""

    seconds: float = 60.0
    warm: float = 5.0  # before anything is measured
    servers: int = 15
    nodes: int = 2
    rate: float = 11.0  # new connections a second
    life: float = 100.0  # mean, of a connection
    utilization: float = 0.5  # of the fleet's capacity at the start, by sessions and their groups
    groups: int = 120
    group_load: float = 1.5  # mean connection loads that a server pays for a group it holds any of
    retries: int = 2
    leave: float = 0.04  # share of the clients that leave before their time
    back_ms: Range = (120.0, 2000.0)  # until a client whose connection broke or was moved comes again
    front_s: Range = (1.2, 3.3)  # until clients notice that a node is down
    list_s: Range = (2.5, 5.5)  # until the list tells of a change
    report_s: Range = (0.32, 1.1)  # between two refreshes of a server's report
    report_noise: float = 0.04
    probe_us: float = 270.0  # of work
    zones: int = 1  # servers, nodes and clients are dealt out over them in turn
    zone_price: float = 0.0  # points for a second served across zones
    skew: float = 0.0  # of the logarithm of a node's share of the clients
    list_calls: float = 0.0  # that discovery answers a second, one after the other; 0 for any number
    list_wait_s: float = 2.0  # a call that would wait longer fails then
    trip_us: float = 300.0  # one way, client to node or node to server
    store: float = 20.0  # set-ups that the session store takes, in usual rates
    message_share: float = 0.08  # of the message objective that a message's work takes
    fall_times: float = 2.5
    fall_s: float = 1.5


@dataclass(frozen=True)
class Fitted:
    """Intervals of 95% that a fit gave for figures of the day: each run draws its own from them."""

    rate: Range | None = None
    life: Range | None = None
    utilization: Range | None = None


@dataclass(frozen=True)
class Seen:
    """The most that the trace held of what a scenario was fitted to; 0 where it was fitted to none."""

    rate: float = 0.0
    utilization: float = 0.0


MAX_ATTEMPTS = 6  # attempts of a request
HEALTH_CHECK_PRICE = 0.004  # points for one health check a request
EXTRAPOLATION = 1.1  # from so many times what the trace held on


@dataclass(frozen=True)
class Scenario:
    """A whole scenario."""

    day: Day = field(default_factory=Day)
    kinds: Mapping[str, Kind] = field(default_factory=lambda: {"std": Kind()})
    classes: Mapping[str, Class] = field(default_factory=lambda: {"view": Class()})
    faults: tuple[Fault, ...] = ()
    fitted: Fitted = field(default_factory=Fitted)
    seen: Seen = field(default_factory=Seen)

    def sampled(self, seed: int) -> Scenario:
        """This scenario for one run: what is known within an interval only is drawn from that.

        So an interval over many runs holds what the fit leaves open beside the chance of single runs.
        """
        found: dict[str, Any] = {}
        for one in fields(Fitted):
            span = getattr(self.fitted, one.name)
            if span is not None:
                low, high = span
                draw = stream(seed, "fitted", one.name).standard_normal()
                value = (low + high) / 2 + (high - low) / (2 * NORMAL_95) * float(draw)
                found[one.name] = max(low / 2, value)
        return replace(self, day=replace(self.day, **found), fitted=Fitted()) if found else self

    def extrapolations(self, peak_load: float) -> list[str]:
        """What a run asked for that the trace behind the scenario never showed."""
        bursts = [fault.times for fault in self.faults if fault.what == "burst"]
        asked = {
            "connections a second": (self.day.rate * max([1.0, *bursts]), self.seen.rate),
            "of the fleet's capacity": (peak_load, self.seen.utilization),
        }
        return [
            f"up to {most:.3g} {name}, and the trace held {held:.3g} at the most"
            for name, (most, held) in asked.items()
            if held and most > EXTRAPOLATION * held
        ]

    def settings(self, position: int = 0, now: float = 0.0) -> Settings:
        """The settings of a node from a time on (seconds of the run).

        Ranges give their least favourable end, as a site's rules do.
        """
        day, tries, price = self.day, MAX_ATTEMPTS, HEALTH_CHECK_PRICE
        for fault in sorted(self.faults, key=lambda fault: fault.at):
            if fault.what == "settings" and fault.at <= now:
                tries = fault.tries or tries
                price = fault.probe_price if fault.probe_price >= 0 else price
        cold = [kind.cold_from[0] for kind in self.kinds.values()]
        return Settings(
            balancers=day.nodes,
            position=position,
            zone=position % max(1, day.zones),
            zones=("room",) if day.zones <= 1 else tuple(f"zone-{n}" for n in range(day.zones)),
            kinds=tuple(self.kinds),
            classes=tuple(
                RequestClass(
                    name,
                    latency_objective_us=int(cls.aim_ms * MS),
                    deadline_us=int(cls.wait_ms * MS),
                    priority_weight=cls.worth,
                    message_latency_objective_us=cls.message_ms * MS,
                )
                for name, cls in self.classes.items()
            ),
            prices=Prices(day.zone_price, late_fail=0.042, moves=0.02, probe=price, waste=0.05),
            limits=Limits(max_attempts=tries, retry_after=True),
            rules=SafetyRules(
                slow_start_share=min(cold),
                slow_start_us=int(1e6 * max(kind.cold_s[1] for kind in self.kinds.values())),
                drain_grace_us=500_000,
                overload_multiple=day.fall_times,
                overload_after_us=int(1e6 * day.fall_s),
            ),
            polls_endpoint_list=True,
            load_report_fields=("x0", "x1", "util"),
        )


_NAMED: dict[str, type] = {"kind": Kind, "class": Class}
_PLAIN: dict[str, type] = {"day": Day, "fitted": Fitted, "trace": Seen}


def load(path: str | Path) -> Scenario:
    """Read a scenario; a FileError names file, line and directive."""
    try:
        text = Path(path).read_bytes()[:MOST_BYTES].decode()
    except OSError as fault:
        raise FileError(str(path), 0, fault.strerror or str(fault)) from None
    except UnicodeDecodeError:
        raise FileError(str(path), 0, "not UTF-8") from None
    return read(text, str(path))


def read(text: str, file: str) -> Scenario:
    """The scenario of a file's text; what it does not name has its default."""
    plain: dict[str, Any] = {name: model() for name, model in _PLAIN.items()}
    faults = []
    named: dict[str, dict[str, Any]] = {"kind": {}, "class": {}}
    for block in parse(text, file):
        known = block.name in ("fault", *_PLAIN, *_NAMED)
        if block.block is None or not known or len(block.values) != (block.name not in _PLAIN):
            blocks = "day {, kind NAME {, class NAME {, fault WHAT {, fitted { and trace {"
            raise FileError(file, block.line, f"{block.name}: a scenario has the blocks {blocks}")
        if block.name in _PLAIN:
            plain[block.name] = replace(plain[block.name], **_pairs(_PLAIN[block.name], block, file))
            continue
        (name,) = block.values
        if block.name == "fault":
            if name not in FAULTS:
                raise FileError(file, block.line, f"fault: {name!r} is none of {', '.join(FAULTS)}")
            pairs = _pairs(Fault, block, file)
            if "at" not in pairs:
                raise FileError(file, block.line, f"fault {name}: at: is missing")
            faults.append(Fault(name, **pairs))
        elif name in named[block.name]:
            raise FileError(file, block.line, f"{block.name} {name}: stands a second time")
        else:
            named[block.name][name] = _NAMED[block.name](**_pairs(_NAMED[block.name], block, file))
    base = Scenario()
    return Scenario(
        plain["day"],
        named["kind"] or base.kinds,
        named["class"] or base.classes,
        tuple(faults),
        plain["fitted"],
        plain["trace"],
    )


def _pairs(model: type, block: Directive, file: str) -> dict[str, Any]:
    types = get_type_hints(model)
    known = {one.name.replace("_", "-"): one.name for one in fields(model) if one.name != "what"}
    pairs: dict[str, Any] = {}
    for one in block.block or ():
        where = f"{block.name}.{one.name}"
        if one.name not in known:
            raise FileError(file, one.line, f"{where}: no such directive; there are {', '.join(known)}")
        if known[one.name] in pairs:
            raise FileError(file, one.line, f"{where}: stands a second time")
        if len(one.values) != 1:
            raise FileError(file, one.line, f"{where}: takes one value, not {len(one.values)}")
        value = _number(one.values[0], types[known[one.name]])
        if value is None:
            raise FileError(file, one.line, f"{where}: {one.values[0]!r} is no such figure")
        pairs[known[one.name]] = value
    return pairs


def _number(text: str, wanted: Any) -> float | int | Range | None:
    """A figure of the wanted form, none of them negative; None where the text is not one."""
    parts = text.split("..")
    ranged = wanted in (Range, Range | None)
    if len(parts) > (2 if ranged else 1):
        return None
    try:
        if wanted is int:
            return int(text) if text.isascii() and text.isdigit() else None
        low, high = float(parts[0]), float(parts[-1])
    except ValueError:
        return None
    if not 0 <= low <= high < FIGURE_LIMIT:
        return None
    return (low, high) if ranged else low
