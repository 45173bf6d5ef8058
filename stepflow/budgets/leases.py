"""Leases of base shares, held by the votes of a majority (Gray and Cheriton, 1989).

What of a member's base share is not reserved is leased: to the member itself, or, once it is dead, to the
next member alive. The holder asks all members for their votes every `LEASE_RENEWAL_US`; votes of a majority
within one round make a lease of `LEASE_US`, counted from when the round began. `LeaseVoter` gives a member's
votes, `LeaseHolder` collects those that it asks for. Both are pure; times are microseconds on the member's
own clock.

Safety: two majorities have a voter in common, and a voter gives a base share to another candidate only after
the first one's lease is over on every clock, and what was used under it has left the window.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from stepflow.budgets import timing
from stepflow.members import Membership, MemberStatus


class _Vote(NamedTuple):
    candidate: int
    until_us: int  # the candidate's lease is over by then, on this voter's clock


class LeaseVoter:
    """Gives this member's votes: at most one candidate for each base share at a time."""

    def __init__(self, membership: Membership, window_us: int, now: int) -> None:
        self._membership = membership
        self._window_us = window_us
        # The process before this one may have voted just before it ended, for a lease that still runs.
        self.votes_from_us = now + timing.guard_duration_us(timing.LEASE_US) + window_us
        self._votes: dict[int, _Vote] = {}  # by the base share's owner

    def vote(self, now: int, owner: int, candidate: int) -> bool:
        """Vote for a lease of a base share if it is free; its owner has precedence while not dead."""
        if owner not in self._membership.members or now < self.votes_from_us:
            return False
        if owner != candidate and self._membership.status_of(now, owner) != MemberStatus.DEAD:
            return False
        vote = self._votes.get(owner)
        if vote is not None and vote.candidate != candidate and now < vote.until_us + self._window_us:
            return False
        self._votes[owner] = _Vote(candidate, now + timing.guard_duration_us(timing.LEASE_US))
        return True


class LeaseHolder:
    """Asks for leases in rounds and holds those that a majority has granted."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._majority = len(membership.members) // 2 + 1
        self._round_nonce = 0  # 0: no round has begun
        self._round_started_us = 0
        self._voters: dict[int, set[int]] = {}  # in this round, by the base share's owner
        self._leases: dict[int, int] = {}  # when each ends, by the base share's owner

    def round_is_due(self, now: int) -> bool:
        """Whether to begin a round of lease requests."""
        return not self._round_nonce or now - self._round_started_us >= timing.LEASE_RENEWAL_US

    def start_round(self, now: int, nonce: int) -> list[int]:
        """Begin a round, which voids earlier votes; returns the owners whose base shares are wanted."""
        wanted = self._wanted_owners(now)
        self._round_nonce = nonce
        self._round_started_us = now
        self._voters = {owner: set() for owner in wanted}
        return wanted

    def receive_votes(self, nonce: int, owners: Iterable[int], voter: int) -> None:
        """Count a peer's votes; those of another round are ignored."""
        if nonce == self._round_nonce:
            for owner in owners:
                self.count_vote(owner, voter)

    def count_vote(self, owner: int, voter: int) -> None:
        """Count a vote of the current round; a majority makes or renews the lease."""
        voters = self._voters.get(owner)
        if voters is None:
            return
        voters.add(voter)
        if len(voters) >= self._majority:
            self._leases[owner] = self._round_started_us + timing.LEASE_US

    def active_leases(self, now: int) -> int:
        """Return how many base shares this member holds leases of."""
        return sum(until_us > now for until_us in self._leases.values())

    def own_lease_until_us(self) -> int:
        """Return when the lease of this member's own base share ends; 0 where it never had one."""
        return self._leases.get(self._membership.own_number, 0)

    def _wanted_owners(self, now: int) -> list[int]:
        """Return this member, and the dead members right before it in the order of members."""
        members = self._membership.members
        own_index = members.index(self._membership.own_number)
        wanted = [self._membership.own_number]
        for step in range(1, len(members)):
            member = members[own_index - step]
            if self._membership.status_of(now, member) != MemberStatus.DEAD:
                break
            wanted.append(member)
        return wanted
