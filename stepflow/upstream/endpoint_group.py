"""The upstream group: who the peers are, as discovery last told it, and by which version."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from stepflow.address import Address
from stepflow.interface import Availability, Endpoint

_STATES = {"Ready": Availability.READY, "Terminating": Availability.DRAINING, "Gone": Availability.GONE}


class EndpointListError(ValueError):
    """What is wrong with a message of discovery."""


class EndpointGroup:
    """The upstream group as discovery last told it."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.rev = 0
        self._endpoints: dict[str, Address] = {}
        self._entries: dict[str, object] = {}  # as discovery told them
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def address_of(self, peer: str) -> Address | None:
        return self._endpoints.get(peer)

    def message(self) -> dict[str, Any]:
        """The list as held, in discovery's form."""
        return {"rev": self.rev, "all": True, "targets": list(self._entries.values())}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, message: object, begins: bool = True) -> tuple[bool, tuple[Endpoint, ...]]:
        """Take over a message: whether it is the whole list, and its entries.

        All of it is read before any of it counts, so that a bad message changes nothing. Nor does one that is
        older than what is held: it comes late, from a call that a newer one has replaced. A whole list that a
        call `begins` with counts whatever its version: the source may have begun to count anew.
        """
        if not isinstance(message, dict) or not isinstance(message.get("targets"), list):
            raise EndpointListError("not an object with targets")
        rev = message.get("rev", self.rev)
        if not isinstance(rev, int) or isinstance(rev, bool) or rev < 0:
            raise EndpointListError(f"rev {rev!r} is not a number")
        read = [self._entry(entry) for entry in message["targets"]]
        whole = message.get("all") is True
        if rev < self.rev and not (whole and begins):
            return False, ()
        if whole:
            self._endpoints.clear()
            self._entries.clear()
        for (server, endpoint), entry in zip(read, message["targets"], strict=True):
            uid = str(server.id)
            if server.availability == Availability.GONE:
                self._endpoints.pop(uid, None)
                self._entries.pop(uid, None)
            else:
                self._endpoints[uid], self._entries[uid] = endpoint, entry
        self.rev = rev
        return whole, tuple(server for server, _ in read)

    def _entry(self, entry: object) -> tuple[Endpoint, Address]:
        if not isinstance(entry, dict) or not isinstance(entry.get("uid"), str):
            raise EndpointListError("an entry without uid")
        uid = entry["uid"]
        state = _STATES.get(str(entry.get("state")))
        if state is None:
            raise EndpointListError(f"{uid}: state {entry.get('state')!r}")
        gone = state == Availability.GONE
        try:
            endpoint = Address("", 0) if gone else Address.parse(entry.get("endpoint"))
            size = float(entry.get("capacity_hint") or 1.0)
            boot_ms, cell = int(entry.get("boot_ms") or 0), int(entry.get("pod_group") or 0)
        except (TypeError, ValueError, OverflowError) as fault:
            raise EndpointListError(f"{uid}: {fault}") from None
        if not math.isfinite(size):
            raise EndpointListError(f"{uid}: capacity_hint {size}")
        zone = self._zones.setdefault(str(entry.get("az")), len(self._zones))
        kind = self._kinds.setdefault(str(entry.get("model")), len(self._kinds))
        return Endpoint(uid, zone, kind, cell, state, size, boot_ms * 1000), endpoint
