"""Counters of what the node accepts, sends and answers.

The names of the fields are the keys of the counters line and, with a prefix, the names of the metrics
(docs/operations.md): they stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields


@dataclass(slots=True)
class ClassCounts:
    """Outcomes of the requests of one class."""

    served: int = 0
    refused: int = 0  # answered BUSY
    failed: int = 0  # answered ERR
    attempts: int = 0  # attempts whose OPEN line was sent completely


@dataclass(slots=True)
class Counters:
    """Counts since the start of the process; logged on SIGUSR1 and at the exit."""

    clients: int = 0  # client connections accepted
    requests: int = 0  # OPEN lines accepted
    standing: int = 0  # OPEN lines accepted from clients that return to the endpoint of a previous session
    accept_failures: int = 0  # accept calls that failed for lack of descriptors or memory
    malformed: int = 0  # clients answered ERR for bad or late input; sessions ended by an overlong line
    evicted: int = 0  # connections closed for lack of descriptors before OPEN; stalled clients of sessions
    table_full: int = 0  # requests rejected for lack of a slot or a descriptor
    attempts: int = 0  # attempts whose OPEN line was sent completely
    retries: int = 0  # attempts after the first of their request
    served: int = 0  # requests answered UP, or by their endpoint without a session
    rejected: int = 0  # requests answered BUSY
    failed: int = 0  # requests answered ERR
    overdue: int = 0  # requests answered over 0.1 s after their client's deadline
    left: int = 0  # clients that disconnected before their answer
    moved: int = 0  # established sessions migrated
    broken: int = 0  # established sessions that their endpoint let stall, or ended without BYE or MOVE
    probes: int = 0  # health checks sent
    probes_failed: int = 0  # health checks not answered by PONG
    lists: int = 0  # messages from discovery
    lists_failed: int = 0  # calls to discovery that failed
    reloads: int = 0  # successful reloads
    reloads_failed: int = 0  # failed reloads; the old configuration stays in use
    faults: int = 0  # exceptions caught: in the policy, in a client's data or in serving an accepted client
    clock_steps: int = 0  # steps of the machine's wall clock
    late_deadlines: int = 0  # times that timers fired over 0.25 s late
    truncated: int = 0  # connections of sessions that were closed with bytes for them dropped
    outlived: int = 0  # connections still open 1 s after this process decided to close them
    probes_skipped: int = 0  # health checks not sent, for lack of a descriptor
    classes: dict[str, ClassCounts] = field(default_factory=dict)  # by class; kept when a class is removed

    def for_class(self, name: str) -> ClassCounts:
        """The counts of a class, created with zeros on first use."""
        return self.classes.setdefault(name, ClassCounts())

    def __str__(self) -> str:
        """The counters line: each counter of the node as name=value."""
        names = (counter.name for counter in fields(self) if counter.name != "classes")
        return " ".join(f"{name}={getattr(self, name)}" for name in names)
