"""A scenario: the fleet, its traffic and its faults, as read from a file of directives in blocks.

The names of fields are those of the directives, with underscores instead of dashes. A range is written
LOW..HIGH, and values are drawn from it, for example one for each server; a single number is a range of width
0. Times are in seconds unless the name ends in another unit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any, get_type_hints

from stepflow.daemon.lines import MAX_FILE_BYTES, Directive, FileError, parse
from stepflow.fleet.streams import stream
from stepflow.interface import Limits, Prices, RequestClass, SafetyRules, Settings

Range = tuple[float, float]
MS = 1_000  # microseconds in a millisecond
FIGURE_LIMIT = 1e12  # numbers and ranges in a scenario must be below this; integers are not checked
NORMAL_95 = 1.959964  # half-width of a normal 95% interval, in standard deviations


@dataclass(frozen=True)
class Kind:
    """A kind of server: its share of the fleet, and the properties of its servers."""

    share: float = 1.0
    cores: float = 3.0
    speed: Range = (1.0, 1.0)  # speed of a core, relative to a reference core
    cold_from: Range = (0.3, 0.3)  # share of the full capacity at the start of slow start
    cold_s: Range = (8.0, 8.0)  # duration of slow start


@dataclass(frozen=True)
class Class:
    """A class of sessions; `load` and `life` are relative to the means over all classes."""

    share: float = 1.0
    load: Range = (1.0, 1.0)
    life: Range = (1.0, 1.0)
    load_sigma: float = 0.6  # standard deviation of the logarithm of loads, between sessions
    swing_sigma: float = 0.4  # standard deviation of the logarithm of loads, within a session
    work_ms: float = 10.0  # work of a session set-up on a reference core
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
    """A fault or an operation that begins `at` seconds into the run."""

    what: str
    at: float
    lasts: float = 10.0
    part: float = 0.1  # share of the servers; for restart and roll, of the nodes; for resets, of the attempts
    times: float = 2.0  # factor by which a burst multiplies the arrival rate
    at_once: float = 0.27  # share of the nodes that restart at the same time, for restart and roll
    share: float = 0.5  # for errors: share of answers that fail; for slow: share of the speed that is left
    tries: int = 0  # for settings: the new limit on attempts of a request; 0 leaves it unchanged
    probe_price: float = -1.0  # for settings: the new HEALTH_CHECK_PRICE; below 0 leaves it unchanged
    drain_s: float = 5.0  # time that a replaced server drains before it stops


@dataclass(frozen=True)
class Day:
    """The block `day`: parameters of the fleet, its traffic and its network."""

    seconds: float = 60.0
    warm: float = 5.0  # warm-up before measurements start
    servers: int = 15
    nodes: int = 2
    rate: float = 11.0  # new connections a second
    life: float = 100.0  # mean duration of a connection
    utilization: float = 0.5  # share of the fleet's capacity that sessions and their groups use at the start
    groups: int = 120
    group_load: float = 1.5  # added load of each affinity group at a server, in mean session loads
    retries: int = 2
    leave: float = 0.04  # share of the clients that leave early
    back_ms: Range = (120.0, 2000.0)  # time until a client reconnects after a break or a migration
    front_s: Range = (1.2, 3.3)  # time until clients notice that a node is down
    list_s: Range = (2.5, 5.5)  # time until the endpoint list shows a change
    report_s: Range = (0.32, 1.1)  # time between two refreshes of a server's load report
    report_noise: float = 0.04
    probe_us: float = 270.0  # work of a health check
    zones: int = 1  # servers and nodes are assigned to zones in turn, clients at random
    zone_price: float = 0.0  # points for each second of service across zones
    skew: float = 0.0  # standard deviation of the logarithm of a node's share of the clients
    list_calls: float = 0.0  # calls a second that discovery answers, one at a time; 0: no limit
    list_wait_s: float = 2.0  # a call that would wait longer fails after this time
    trip_us: float = 300.0  # one-way delay, between client and node or node and server
    store: float = 20.0  # capacity of the session store: set-ups a second, as a multiple of `rate`
    message_share: float = 0.08  # service time of a message, as a share of the message latency objective
    fall_times: float = 2.5  # multiple of the slow-start load rate that crashes a server
    fall_s: float = 1.5  # window over which the load rate is averaged


@dataclass(frozen=True)
class Fitted:
    """The 95% intervals of fitted parameters of the day; each run draws its values from them."""

    rate: Range | None = None
    life: Range | None = None
    utilization: Range | None = None


@dataclass(frozen=True)
class TraceMaximum:
    """The highest values in the trace that a scenario was fitted to; 0 if it was fitted to no trace."""

    rate: float = 0.0
    utilization: float = 0.0


MAX_ATTEMPTS = 6  # default limit on the attempts of a request
HEALTH_CHECK_PRICE = 0.004  # points for one health check a request
EXTRAPOLATION = 1.1  # a run that exceeds the trace by more than this factor extrapolates


@dataclass(frozen=True)
class Scenario:
    """A scenario: one field for each type of block."""

    day: Day = field(default_factory=Day)
    kinds: Mapping[str, Kind] = field(default_factory=lambda: {"std": Kind()})
    classes: Mapping[str, Class] = field(default_factory=lambda: {"view": Class()})
    faults: tuple[Fault, ...] = ()
    fitted: Fitted = field(default_factory=Fitted)
    trace_maximum: TraceMaximum = field(default_factory=TraceMaximum)

    def sampled(self, seed: int) -> Scenario:
        """Return this scenario for one run, with fitted parameters drawn from their intervals.

        An interval over many runs thus includes the uncertainty of the fit as well as the randomness of
        single runs.
        """
        drawn: dict[str, Any] = {}
        for entry in fields(Fitted):
            span = getattr(self.fitted, entry.name)
            if span is not None:
                low, high = span
                draw = stream(seed, "fitted", entry.name).standard_normal()
                value = (low + high) / 2 + (high - low) / (2 * NORMAL_95) * float(draw)
                drawn[entry.name] = max(low / 2, value)
        return replace(self, day=replace(self.day, **drawn), fitted=Fitted()) if drawn else self

    def extrapolations(self, peak_load: float) -> list[str]:
        """Return a text for each quantity of a run that exceeds its highest value in the fitted trace."""
        bursts = [fault.times for fault in self.faults if fault.what == "burst"]
        requested = {
            "connections a second": (self.day.rate * max([1.0, *bursts]), self.trace_maximum.rate),
            "of the fleet's capacity": (peak_load, self.trace_maximum.utilization),
        }
        return [
            f"up to {most:.3g} {name}, but the trace reached {held:.3g} at most"
            for name, (most, held) in requested.items()
            if held and most > EXTRAPOLATION * held
        ]

    def settings(self, position: int = 0, now: float = 0.0) -> Settings:
        """Return the settings of the node at `position` that apply at a time (`now`, in seconds of the run).

        Where the scenario has a range, they contain its least favourable end, as a site's settings do.
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


_NAMED_BLOCKS: dict[str, type] = {"kind": Kind, "class": Class}
_UNNAMED_BLOCKS: dict[str, type] = {"day": Day, "fitted": Fitted, "trace": TraceMaximum}


def load(path: str | Path) -> Scenario:
    """Read a scenario file; a FileError names the file, line and directive."""
    try:
        text = Path(path).read_bytes()[:MAX_FILE_BYTES].decode()
    except OSError as fault:
        raise FileError(str(path), 0, fault.strerror or str(fault)) from None
    except UnicodeDecodeError:
        raise FileError(str(path), 0, "not UTF-8") from None
    return read(text, str(path))


def read(text: str, file: str) -> Scenario:
    """Parse the text of a scenario file; parameters that it leaves out keep their defaults."""
    unnamed: dict[str, Any] = {name: model() for name, model in _UNNAMED_BLOCKS.items()}
    faults = []
    named: dict[str, dict[str, Any]] = {"kind": {}, "class": {}}
    for block in parse(text, file):
        known = block.name in ("fault", *_UNNAMED_BLOCKS, *_NAMED_BLOCKS)
        if block.block is None or not known or len(block.values) != (block.name not in _UNNAMED_BLOCKS):
            blocks = "day {, kind NAME {, class NAME {, fault WHAT {, fitted { and trace {"
            raise FileError(file, block.line, f"{block.name}: expected one of the blocks {blocks}")
        if block.name in _UNNAMED_BLOCKS:
            unnamed[block.name] = replace(
                unnamed[block.name], **_parse_block(_UNNAMED_BLOCKS[block.name], block, file)
            )
            continue
        (name,) = block.values
        if block.name == "fault":
            if name not in FAULTS:
                raise FileError(
                    file, block.line, f"fault: unknown fault {name!r}, expected one of {', '.join(FAULTS)}"
                )
            pairs = _parse_block(Fault, block, file)
            if "at" not in pairs:
                raise FileError(file, block.line, f"fault {name}: at: required directive is missing")
            faults.append(Fault(name, **pairs))
        elif name in named[block.name]:
            raise FileError(file, block.line, f"{block.name} {name}: duplicate directive")
        else:
            named[block.name][name] = _NAMED_BLOCKS[block.name](
                **_parse_block(_NAMED_BLOCKS[block.name], block, file)
            )
    base = Scenario()
    return Scenario(
        unnamed["day"],
        named["kind"] or base.kinds,
        named["class"] or base.classes,
        tuple(faults),
        unnamed["fitted"],
        unnamed["trace"],
    )


def _parse_block(model: type, block: Directive, file: str) -> dict[str, Any]:
    types = get_type_hints(model)
    known = {entry.name.replace("_", "-"): entry.name for entry in fields(model) if entry.name != "what"}
    pairs: dict[str, Any] = {}
    for entry in block.block or ():
        where = f"{block.name}.{entry.name}"
        if entry.name not in known:
            raise FileError(
                file, entry.line, f"{where}: no such directive; expected one of {', '.join(known)}"
            )
        if known[entry.name] in pairs:
            raise FileError(file, entry.line, f"{where}: duplicate directive")
        if len(entry.values) != 1:
            raise FileError(file, entry.line, f"{where}: takes one value, not {len(entry.values)}")
        value = _parse_value(entry.values[0], types[known[entry.name]])
        if value is None:
            raise FileError(file, entry.line, f"{where}: {entry.values[0]!r} is not a valid value")
        pairs[known[entry.name]] = value
    return pairs


def _parse_value(text: str, expected_type: Any) -> float | int | Range | None:
    """Parse a non-negative number or range of the expected type; return None if the text is not valid."""
    parts = text.split("..")
    is_range = expected_type in (Range, Range | None)
    if len(parts) > (2 if is_range else 1):
        return None
    try:
        if expected_type is int:
            return int(text) if text.isascii() and text.isdigit() else None
        low, high = float(parts[0]), float(parts[-1])
    except ValueError:
        return None
    if not 0 <= low <= high < FIGURE_LIMIT:
        return None
    return (low, high) if is_range else low
