"""Leases of base shares, granted by the votes of a majority of members (Gray and Cheriton, 1989).

The part of a member's base share that is not reserved is leased: to the member itself or, once it is dead,
to the next member that is alive. A candidate asks all members for their votes every `LEASE_RENEWAL_US`. The
votes of a majority in one round grant a lease of `LEASE_US`, counted from the start of the round.
`LeaseVoter` gives a member's votes, `LeaseHolder` collects the votes for a member. Both are pure; times are
microseconds on the member's own clock.

Safety: any two majorities have a voter in common. A voter votes for another candidate of a base share only
after the first candidate's lease has ended on every clock and all usage under it has left the window.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from stepflow.budgets import timing
from stepflow.members import Membership, MemberStatus


class _Vote(NamedTuple):
    candidate: int
    until_us: int  # end of the candidate's lease on any clock, as a time of this voter's clock


class LeaseVoter:
    """Gives this member's votes: at most one candidate for each base share at a time."""

    def __init__(self, membership: Membership, window_us: int, now: int) -> None:
        self._membership = membership
        self._window_us = window_us
        # The predecessor of this process may have voted for a lease that has not ended yet.
        self.votes_from_us = now + timing.guard_duration_us(timing.LEASE_US) + window_us
        self._votes: dict[int, _Vote] = {}  # last vote, by owner of the base share

    def vote(self, now: int, owner: int, candidate: int) -> bool:
        """Return whether this member votes for the candidate's lease of the owner's base share.

        A vote excludes other candidates until its lease has ended and the usage under it has left the window.
        A candidate other than the owner gets a vote only if the owner is dead.
        """
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
        self._round_nonce = 0  # 0 before the first round
        self._round_started_us = 0
        self._voters: dict[int, set[int]] = {}  # voters of the current round, by owner of the base share
        self._leases: dict[int, int] = {}  # end of each lease, by owner of the base share

    def round_is_due(self, now: int) -> bool:
        """Return whether to start a round of lease requests."""
        return not self._round_nonce or now - self._round_started_us >= timing.LEASE_RENEWAL_US

    def start_round(self, now: int, nonce: int) -> list[int]:
        """Start a round, which discards earlier votes; return the owners of the base shares to ask for."""
        wanted = self._wanted_owners(now)
        self._round_nonce = nonce
        self._round_started_us = now
        self._voters = {owner: set() for owner in wanted}
        return wanted

    def receive_votes(self, nonce: int, owners: Iterable[int], voter: int) -> None:
        """Count a peer's votes; ignore those of another round."""
        if nonce == self._round_nonce:
            for owner in owners:
                self.count_vote(owner, voter)

    def count_vote(self, owner: int, voter: int) -> None:
        """Count a vote in the current round; a majority grants or renews the lease."""
        voters = self._voters.get(owner)
        if voters is None:
            return
        voters.add(voter)
        if len(voters) >= self._majority:
            self._leases[owner] = self._round_started_us + timing.LEASE_US

    def active_leases(self, now: int) -> int:
        """Return the number of base shares of which this member holds a lease."""
        return sum(until_us > now for until_us in self._leases.values())

    def own_lease_until_us(self) -> int:
        """Return the time when the lease of this member's own base share ends; 0 if it never had one."""
        return self._leases.get(self._membership.own_number, 0)

    def _wanted_owners(self, now: int) -> list[int]:
        """Return this member and the dead members directly before it, in the cyclic order of members."""
        members = self._membership.members
        own_index = members.index(self._membership.own_number)
        wanted = [self._membership.own_number]
        for step in range(1, len(members)):
            member = members[own_index - step]
            if self._membership.status_of(now, member) != MemberStatus.DEAD:
                break
            wanted.append(member)
        return wanted
