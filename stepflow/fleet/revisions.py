"""The policy of another git revision, behind the interface of this checkout.

A policy speaks the types of `stepflow.interface`, and those were renamed more than once. A revision is
therefore loaded with its own interface and with all pure modules that it imports, as texts from git under a
private package name; an adapter converts settings and events to the revision's types and its actions back.

A type is found by its name, or by one of `FORMER_NAMES`. Its fields are matched by name, and renamed ones by
their position between those: the order of an item's fields is part of the simulator's wire and of recorded
journals, so it never changes. A field that one side lacks is left out or takes its default.

What can't be loaded raises RevisionError, which names the revision. git is called in the current directory.
"""

from __future__ import annotations

import dataclasses
import subprocess
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum
from types import ModuleType
from typing import Any, get_args

from stepflow import interface
from stepflow.errors import InputError
from stepflow.fleet.private_package import ROOT, PrivatePackage
from stepflow.interface import Action, Event, Settings

FORMER_NAMES: Mapping[str, tuple[str, ...]] = {
    # Settings.
    "DeduplicationScope": ("Scope",),
    "Idempotency": ("Effect",),
    "SafetyRules": ("Rules",),
    # Events.
    "AttemptEnded": ("Outcome",),
    "AttemptResult": ("Result",),
    "ClientDisconnected": ("ClientGone",),
    "Endpoint": ("Server",),
    "EndpointListUpdate": ("ServerList",),
    "HealthCheckEnded": ("Probed",),
    "ListUpdateKind": ("ListForm",),
    "PeerMessageReceived": ("PeerMessage",),
    "SessionAdopted": ("Adopted",),
    "SessionEstablished": ("Established",),
    "SessionReport": ("Note",),
    "SessionReportKind": ("NoteKind",),
    "TimerFired": ("Timer",),
    # Actions.
    "CancelAttempt": ("Cancel",),
    "CloseIdleConnections": ("CloseIdle",),
    "FailRequest": ("Fail",),
    "FetchEndpointList": ("FetchList",),
    "LogMessage": ("Log",),
    "MigrateSession": ("Move",),
    "RejectRequest": ("Refuse",),
    "SendPeerMessage": ("Tell",),
    "StartAttempt": ("Send",),
    "StartHealthCheck": ("Probe",),
    "WatchEndpointList": ("Watch",),
}
"""Names that a type of the interface had in earlier revisions (docs/glossary.md)."""

GIT_TIMEOUT_S = 30


class RevisionError(InputError):
    """Why the policy of a revision can't be loaded."""


class RevisionPolicy:
    """A policy of another revision that takes and gives this checkout's types.

    Events of a type that the revision did not know yet are not passed on.
    """

    def __init__(self, policy: Any, to_revision: Converter, from_revision: Converter) -> None:
        self.policy = policy
        self._to_revision, self._from_revision = to_revision, from_revision

    def handle(self, now: int, event: Event) -> list[Action]:
        """Hand an event to the revision's policy; return what it asks for."""
        if not self._to_revision.knows(type(event)):
            return []
        actions = self.policy.handle(now, self._to_revision.convert(event))
        return [self._from_revision.convert(action) for action in actions]

    def update_settings(self, settings: Settings) -> None:
        """Replace the policy's settings."""
        # Up to 5fd6943 it was called retune; the first revisions can't do it at all.
        update = getattr(self.policy, "update_settings", None) or self.policy.retune
        update(self._to_revision.convert(settings))


class Converter:
    """Converts values of one vocabulary's types to another's, those nested in them too."""

    def __init__(self, types: Mapping[type, type]) -> None:
        self._types = types
        self._fields = {
            source: aligned(target.__name__, _field_names(source), _field_names(target))
            for source, target in types.items()
        }

    def knows(self, kind: type) -> bool:
        """Whether a type has a counterpart."""
        return kind in self._types

    def convert(self, value: Any) -> Any:
        """The value's counterpart; what is of none of the types stays as it is."""
        target = self._types.get(type(value))
        if target is None:
            return tuple(map(self.convert, value)) if type(value) is tuple else value
        if isinstance(value, IntEnum):
            return target(int(value))
        fields = self._fields[type(value)]
        return target(**{theirs: self.convert(getattr(value, ours)) for ours, theirs in fields})


def load_revision(revision: str) -> tuple[PrivatePackage, Callable[[Settings, int], RevisionPolicy]]:
    """Load the policy of a git revision.

    Returns its modules, by which a caller may change their constants, and what makes its policies.
    """
    label = f"rev:{revision}"
    package = PrivatePackage(read_texts(revision), (ROOT,), label)
    try:
        policy, theirs = package.load("policy"), package.load("interface")
        types = _counterparts(theirs)
        to_revision = Converter(types)
        from_revision = Converter({theirs: ours for ours, theirs in types.items()})
    except Exception as error:
        raise RevisionError(f"{label}: the policy can't be loaded: {error}") from None
    made: Any = policy.__dict__["Policy"]

    def make(settings: Settings, seed: int) -> RevisionPolicy:
        return RevisionPolicy(made(to_revision.convert(settings), seed), to_revision, from_revision)

    return package, make


def read_texts(revision: str) -> dict[str, str]:
    """The texts of a revision's modules by their paths, all but those that do I/O."""
    label = f"rev:{revision}"
    listed = _git(label, "ls-tree", "-r", "--full-tree", "--name-only", "--end-of-options", revision)
    paths = [path for path in listed.splitlines() if path.startswith(f"{ROOT}/") and path.endswith(".py")]
    skipped = tuple(f"{ROOT}/{name}/" for name in ("cli", "daemon", "fleet", "node", "traffic"))
    texts = {
        path: _git(label, "show", "--end-of-options", f"{revision}:{path}")
        for path in paths
        if not path.startswith(skipped)
    }
    if not any(path.startswith(f"{ROOT}/policy") for path in texts):
        raise RevisionError(f"{label}: it has no {ROOT}/policy")
    return texts


def _git(label: str, *words: str) -> str:
    """What a git command prints."""
    try:
        done = subprocess.run(
            ["git", *words], capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=False
        )
    except OSError as error:
        raise RevisionError(f"{label}: git: {error.strerror}") from None
    except subprocess.TimeoutExpired:
        raise RevisionError(f"{label}: git took more than {GIT_TIMEOUT_S} s") from None
    if done.returncode:
        complaint = done.stderr.strip().splitlines()
        raise RevisionError(f"{label}: {complaint[-1] if complaint else 'git knows no such revision'}")
    return done.stdout


def _counterparts(theirs: ModuleType) -> dict[type, type]:
    """The revision's type for each type of this checkout's interface that it has.

    An event or action of the revision without a counterpart here could never be converted: that is an error,
    and shows a vocabulary that FORMER_NAMES lacks.
    """
    types: dict[type, type] = {}
    for name in interface.__all__:
        ours = getattr(interface, name)
        for candidate in (name, *FORMER_NAMES.get(name, ())):
            found = getattr(theirs, candidate, None)
            if isinstance(ours, type) and isinstance(found, type):
                types[ours] = found
                break
    for union in (theirs.Event, theirs.Action):
        for kind in get_args(union):
            if kind not in types.values():
                raise RevisionError(f"the interface has no counterpart of its {kind.__name__}")
    return types


def aligned(kind: str, ours: Sequence[str], theirs: Sequence[str]) -> list[tuple[str, str]]:
    """Pairs of field names that mean the same in two revisions of a type.

    Fields of one name are pairs. Between two such fields, the others are pairs in their order; a field that
    is left over is one that the other revision lacks. Raises RevisionError if fields of one name are in
    another order.
    """
    pairs, done = [], 0
    rest = list(theirs)
    for position, name in enumerate(ours):
        if name not in theirs:
            continue
        if name not in rest:
            raise RevisionError(f"the field {name} of its {kind} is at another position than here")
        place = rest.index(name)
        pairs += [*zip(ours[done:position], rest[:place], strict=False), (name, name)]
        done, rest = position + 1, rest[place + 1 :]
    return pairs + list(zip(ours[done:], rest, strict=False))


def _field_names(kind: type) -> tuple[str, ...]:
    if dataclasses.is_dataclass(kind):
        return tuple(field.name for field in dataclasses.fields(kind))
    names: tuple[str, ...] = getattr(kind, "_fields", ())
    return names
