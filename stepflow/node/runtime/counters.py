"""Counters of what the node takes in, sends and answers."""

from __future__ import annotations

from dataclasses import dataclass, field, fields


@dataclass(slots=True)
class ClassCounts:
    """What became of one class's connections."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0  # lines written whole to peers


@dataclass(slots=True)
class Counters:
    """Whole numbers since the start; printed on SIGUSR1 and at exit."""

    clients: int = 0  # client connections accepted
    requests: int = 0  # OPEN lines taken
    standing: int = 0  # of them, connections that stood before the start
    accept_failures: int = 0  # accept calls that failed for want of descriptors or memory
    malformed: int = 0  # clients answered ERR for what they sent, or failed to send in time
    evicted: int = 0  # silent client connections closed for want of descriptors
    table_full: int = 0  # requests rejected for want of a slot or a descriptor
    attempts: int = 0  # whose line was written whole to a peer
    retries: int = 0  # attempts begun after the first of their request
    served: int = 0  # answered UP
    rejected: int = 0  # answered BUSY
    failed: int = 0  # answered ERR
    overdue: int = 0  # answered over 0.1 s after their client's time
    left: int = 0  # clients that left before their answer
    moved: int = 0  # standing clients told to MOVE
    broken: int = 0  # standing connections that their peer broke or left silent
    probes: int = 0  # STATS sent
    probes_failed: int = 0
    lists: int = 0  # messages of discovery
    lists_failed: int = 0  # calls of discovery that failed
    reloads: int = 0  # configurations read again
    reloads_failed: int = 0  # and turned down
    faults: int = 0  # events that the decision module could not take
    clock_steps: int = 0  # steps of the machine's wall clock
    late_deadlines: int = 0  # times that deadlines came over 0.25 s late
    classes: dict[str, ClassCounts] = field(default_factory=dict)  # by name; a dropped class stays

    def of(self, name: str) -> ClassCounts:
        """The counts of a class, from 0."""
        return self.classes.setdefault(name, ClassCounts())

    def __str__(self) -> str:
        plain = (one.name for one in fields(self) if one.name != "classes")
        return " ".join(f"{name}={getattr(self, name)}" for name in plain)
