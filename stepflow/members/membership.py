"""The failure detector: the time and incarnation of the last message from each member.

The configuration gives each member a fixed number. Each process of a member has an incarnation, higher than
those of the member's earlier processes. The detector sends no probes: every message counts as a heartbeat.
Times are microseconds on a monotonic clock of this process; the detector reads no clock itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

SUSPECT_AFTER_US = 1_500_000  # a member is suspected after this time without a message
DEAD_AFTER_US = 2_500_000  # a member is considered dead after this time without a message


class MemberStatus(IntEnum):
    """The status of a member according to the failure detector."""

    UNKNOWN = 0  # no message received yet
    ALIVE = 1
    SUSPECTED = 2
    DEAD = 3


class _LastMessage(NamedTuple):
    incarnation: int
    received_us: int


class Membership:
    """One process's view of the members, itself included.

    Only messages of a member's newest incarnation count. `superseded` becomes true when a message of a newer
    incarnation of this process's own member arrives: this process then has to stop taking part.
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
        """All members except this one."""
        return [member for member in self.members if member != self.own_number]

    def record_message(self, now: int, sender: int, incarnation: int) -> bool:
        """Record that a message was received; return whether it is from a peer's newest incarnation."""
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
        """Return a member's status.

        A member without any message is dead `DEAD_AFTER_US` after this process started.
        """
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
        """Return the members with status ALIVE, including this one unless it is superseded."""
        return [member for member in self.members if self.status_of(now, member) == MemberStatus.ALIVE]
