"""The endpoint list as discovery last reported it: each endpoint's address and entry, and a revision.

A message from discovery is a JSON object: `targets` holds entries, `all` says whether they are the complete
list or changes to it, and `rev` is the list's revision. Capacities are relative to 1; `boot_ms` is Unix time
in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from stepflow.address import Address
from stepflow.interface import Availability, Endpoint
from stepflow.upstream.errors import EndpointListError

_AVAILABILITY_OF_STATE = {
    "Ready": Availability.READY,
    "Terminating": Availability.DRAINING,
    "Gone": Availability.GONE,
}
_NO_ADDRESS = Address("", 0)  # stands in for the address of an endpoint that is gone


class AppliedUpdate(NamedTuple):
    """The changes that a message made."""

    is_full_list: bool
    endpoints: tuple[Endpoint, ...]  # the message's entries


_NOTHING_APPLIED = AppliedUpdate(False, ())


class _Entry(NamedTuple):
    endpoint: Endpoint
    address: Address
    raw: object  # the entry as discovery sent it


class EndpointGroup:
    """The endpoint list as discovery last reported it.

    It owns the numbers of zones and of machine kinds: those named in the settings come first, and others are
    numbered in the order in which they appear.
    """

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.revision = 0
        self.change_count = 0  # messages that have changed an entry or the set of entries
        self._entries: dict[str, _Entry] = {}  # entries by endpoint name
        self._zone_numbers = {name: number for number, name in enumerate(zones)}
        self._kind_numbers = {name: number for number, name in enumerate(kinds)}

    def __len__(self) -> int:
        """Return the number of listed endpoints."""
        return len(self._entries)

    def address_of(self, name: str) -> Address | None:
        """Return an endpoint's address, or None if the endpoint isn't listed."""
        entry = self._entries.get(name)
        return entry.address if entry is not None else None

    def to_message(self) -> dict[str, Any]:
        """Return the complete list as a message in discovery's format."""
        targets = [entry.raw for entry in self._entries.values()]
        return {"rev": self.revision, "all": True, "targets": targets}

    def apply(self, message: object, is_first_of_call: bool = True) -> AppliedUpdate:
        """Apply a message, completely or not at all.

        A message with a lower revision than the list's arrived late, from a call that was replaced by a newer
        one, and is ignored. A complete list that is the first message of a call is applied in any case:
        discovery may have restarted its revisions.

        Raises:
            EndpointListError: The message or one of its entries is malformed.
        """
        if not isinstance(message, dict) or not isinstance(message.get("targets"), list):
            raise EndpointListError("expected an object with an array named targets")
        revision = self._read_revision(message)
        entries = [self._read_entry(raw) for raw in message["targets"]]
        is_full_list = message.get("all") is True
        if revision < self.revision and not (is_full_list and is_first_of_call):
            return _NOTHING_APPLIED
        self.change_count += self._apply_entries(entries, is_full_list)
        self.revision = revision
        return AppliedUpdate(is_full_list, tuple(entry.endpoint for entry in entries))

    def _apply_entries(self, entries: Sequence[_Entry], is_full_list: bool) -> bool:
        """Apply the entries of a message; return whether they changed anything."""
        before = self._entries
        if is_full_list:
            self._entries = {}
        changed = False
        for entry in entries:
            name = str(entry.endpoint.id)
            if entry.endpoint.availability == Availability.GONE:
                changed |= self._entries.pop(name, None) is not None
                continue
            held = before.get(name)
            changed |= held is None or held.raw != entry.raw
            self._entries[name] = entry
        return changed or len(self._entries) != len(before)

    def _read_revision(self, message: dict[str, Any]) -> int:
        revision = message.get("rev", self.revision)
        if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
            raise EndpointListError(f"rev: found {revision!r}, expected an integer of at least 0")
        return revision

    def _read_entry(self, raw: object) -> _Entry:
        if not isinstance(raw, dict) or not isinstance(raw.get("uid"), str):
            raise EndpointListError("expected each entry to be an object with a string named uid")
        name = raw["uid"]
        availability = _AVAILABILITY_OF_STATE.get(str(raw.get("state")))
        if availability is None:
            raise EndpointListError(f"{name}: unknown state {raw.get('state')!r}")
        is_gone = availability == Availability.GONE
        try:
            address = _NO_ADDRESS if is_gone else Address.parse(raw.get("endpoint"))
            capacity = float(raw.get("capacity_hint") or 1.0)
            started_ms = int(raw.get("boot_ms") or 0)
            cell = int(raw.get("pod_group") or 0)
        except (TypeError, ValueError, OverflowError) as error:
            raise EndpointListError(f"{name}: {error}") from None
        if not math.isfinite(capacity):
            raise EndpointListError(f"{name}: capacity_hint: expected a finite number, found {capacity}")
        zone = _number_of(str(raw.get("az")), self._zone_numbers)
        kind = _number_of(str(raw.get("model")), self._kind_numbers)
        endpoint = Endpoint(name, zone, kind, cell, availability, capacity, started_ms * 1000)
        return _Entry(endpoint, address, raw)


def _number_of(name: str, numbers: dict[str, int]) -> int:
    """Return a name's number; a new name gets the next free number."""
    return numbers.setdefault(name, len(numbers))
