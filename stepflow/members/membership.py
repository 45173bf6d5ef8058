"""The failure detector: when each member was last heard, and in which incarnation.

Members are numbered, and their number is fixed by the configuration. Each process of a member has an
incarnation, higher than those of the processes before it. There are no probes of its own: any message counts
as a heartbeat. Times are microseconds on a clock of this process that only moves forward; nothing here reads
a clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

SUSPECT_AFTER_US = 1_500_000  # without a message, a member is suspected after this
DEAD_AFTER_US = 2_500_000  # and held for dead after this


class MemberStatus(IntEnum):
    """What the failure detector holds a member to be."""

    UNKNOWN = 0  # not heard yet
    ALIVE = 1
    SUSPECTED = 2
    DEAD = 3


class _LastMessage(NamedTuple):
    incarnation: int
    received_us: int


class Membership:
    """One process's view of the members, itself included.

    Only the newest incarnation of a member counts. `superseded` turns true once a newer incarnation of this
    process's own member was heard: then this process has to stop taking part.
    """

    def __init__(self, own_number: int, incarnation: int, members: Iterable[int], now: int) -> None:
        self.own_number = own_number
        self.incarnation = incarnation
        self.members = tuple(members)
        self.superseded = False
        self._started_us = now
        self._last_messages: dict[int, _LastMessage] = {}

    @property
    def peers(self) -> list[int]:
        """All members but this one."""
        return [member for member in self.members if member != self.own_number]

    def record_message(self, now: int, sender: int, incarnation: int) -> bool:
        """Note that a message was received; returns whether it is of a peer's newest incarnation."""
        if sender == self.own_number:
            self.superseded |= incarnation > self.incarnation
            return False
        if sender not in self.members:
            return False
        last = self._last_messages.get(sender)
        if last is not None and incarnation < last.incarnation:
            return False
        self._last_messages[sender] = _LastMessage(incarnation, now)
        return True

    def status_of(self, now: int, member: int) -> MemberStatus:
        """Return a member's status; one never heard is held for dead as late as one that fell silent."""
        if member == self.own_number:
            return MemberStatus.DEAD if self.superseded else MemberStatus.ALIVE
        last = self._last_messages.get(member)
        silent_us = now - (last.received_us if last is not None else self._started_us)
        if silent_us >= DEAD_AFTER_US:
            return MemberStatus.DEAD
        if last is None:
            return MemberStatus.UNKNOWN
        return MemberStatus.SUSPECTED if silent_us >= SUSPECT_AFTER_US else MemberStatus.ALIVE

    def alive_members(self, now: int) -> list[int]:
        """Return the members that are held to be alive, this one among them."""
        return [member for member in self.members if self.status_of(now, member) == MemberStatus.ALIVE]
