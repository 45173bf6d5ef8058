"""Divides limits among members so that no failure lets the members together exceed a limit.

Invariant: in no window does the usage of a limit by all members exceed the limit, whichever messages are
lost, late or duplicated, whichever links are cut, and whichever members are paused, killed or restarted
(proof: docs/budgets.md).

- A limit is a million millionths. Each member has an equal part of it, its base share.
- A quarter of the base share is the reserved share, which the member may use without any message.
- The rest is leased by majority votes (`leases`), so that the share of a dead member is used again. A member
  that can't reach a majority has only its reserved share. With two members neither is a majority without the
  other: nothing is leased, and each has its whole base share.
- A member lends the part of its base share that it does not need (`loans`).

`SharedLimits` routes the messages and holds the accounts of all limits. It is pure: times and messages in,
messages out. Amounts are millionths of a limit, times microseconds on a monotonic clock.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from stepflow.budgets import timing
from stepflow.budgets.errors import TooManyMembersError
from stepflow.budgets.leases import LeaseHolder, LeaseVoter
from stepflow.budgets.limit_account import LimitAccount
from stepflow.budgets.loans import Loan
from stepflow.members import (
    MAX_MEMBERS,
    LeaseGrant,
    LeaseRequest,
    LoanGrant,
    LoanRequest,
    Membership,
    MemberStatus,
    Message,
)

RESERVED_DIVISOR = 4  # base share / reserved share
LOAN_INCREMENT_DIVISOR = 4  # base share / minimum additional amount that a loan request asks for
LENT_IDLE_DIVISOR = 2  # idle amount / maximum amount that one grant adds
MAX_LIMITS = 256  # maximum number of accounts at one time
MIN_MEMBERS_FOR_LEASES = 3  # of two members, one alone is no majority


class OutgoingMessage(NamedTuple):
    """A message and the member to send it to."""

    receiver: int
    message: Message


class SharedLimits:
    """One member's part in dividing limits; every member of the membership runs one.

    Every member sends requests to all others, so a fleet of many nodes has to be divided into memberships of
    a few nodes, each with a fixed part of the limits.
    """

    def __init__(self, membership: Membership, window_us: int, rng: random.Random, now: int) -> None:
        if max(membership.members) >= MAX_MEMBERS:
            raise TooManyMembersError(f"member number above the maximum of {MAX_MEMBERS - 1}")
        self.membership = membership
        self._window_us = timing.guard_duration_us(window_us)  # covers the window on a slower clock too
        self._rng = rng
        count = len(membership.members)
        self.base_share = timing.FULL_LIMIT // count
        self.reserved_share = self.base_share // RESERVED_DIVISOR if count > 1 else self.base_share
        self.leasable_share = self.base_share - self.reserved_share
        self._uses_leases = count >= MIN_MEMBERS_FOR_LEASES
        # The predecessor of this process may have used and lent amounts just before it ended: that usage has
        # to leave the window first, and those loans have to end.
        self._usable_from_us = now + self._window_us
        self._leasable_from_us = now + timing.guard_duration_us(timing.LOAN_US) + self._window_us
        self._voter = LeaseVoter(membership, self._window_us, now)
        self._leases = LeaseHolder(membership)
        self._accounts: dict[int, LimitAccount] = {}

    def available_share(self, now: int, limit: int = 0) -> int:
        """Return the amount of a limit that this member may use within the window, past uses included."""
        if now < self._usable_from_us or self.membership.superseded:
            return 0
        share = self.reserved_share
        if now >= self._leasable_from_us:
            leases = self._leases.active_leases(now) if self._uses_leases else 1
            share += self.leasable_share * leases
        if (account := self._accounts.get(limit)) is not None:
            share += account.net_borrowed(now)
        return max(0, share)

    def try_use(self, now: int, limit: int, amount: int) -> bool:
        """Use an amount of a limit if this member's share has room for it, else record a shortfall.

        Return whether the amount may be used.
        """
        account = self._account_of(limit)
        if account is None:
            return False
        account.expire(now)
        if account.usage.total + amount > self.available_share(now, limit):
            account.borrower.record_shortfall(now, amount)
            return False
        account.usage.record(now, amount)
        return True

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Return the requests due: lease requests at intervals, loan requests for limits with a shortfall."""
        if self.membership.superseded:
            return []
        return self._request_leases(now) + self._request_loans(now)

    def receive(self, now: int, message: Message) -> list[OutgoingMessage]:
        """Handle a message from another member; return the answer, if there is one."""
        is_current = self.membership.record_message(now, message.sender, message.incarnation)
        if not is_current or self.membership.superseded:
            return []
        match message:
            case LeaseRequest():
                return self._answer_lease_request(now, message)
            case LeaseGrant():
                self._leases.receive_votes(message.nonce, message.owners, message.sender)
            case LoanRequest():
                return self._answer_loan_request(now, message)
            case LoanGrant():
                if (account := self._accounts.get(message.limit)) is not None:
                    account.borrower.receive_grant(now, message)
        return []

    def _account_of(self, limit: int) -> LimitAccount | None:
        """Return a limit's account; None if it has none and `MAX_LIMITS` accounts exist."""
        if limit not in self._accounts and len(self._accounts) >= MAX_LIMITS:
            return None
        return self._accounts.setdefault(limit, LimitAccount(self._window_us))

    def _new_nonce(self) -> int:
        """Return a nonce for a request; it is odd, since 0 stands for no request."""
        return self._rng.getrandbits(32) | 1

    def _request_leases(self, now: int) -> list[OutgoingMessage]:
        """Start a round of lease requests if one is due, and count this member's own votes."""
        peers = self.membership.peers
        if not peers or not self._leases.round_is_due(now):
            return []
        nonce = self._new_nonce()
        wanted = self._leases.start_round(now, nonce)
        own_number = self.membership.own_number
        for owner in wanted:
            if self._voter.vote(now, owner, own_number):
                self._leases.count_vote(owner, own_number)
        request = LeaseRequest(own_number, self.membership.incarnation, nonce, frozenset(wanted))
        return [OutgoingMessage(peer, request) for peer in peers]

    def _answer_lease_request(self, now: int, request: LeaseRequest) -> list[OutgoingMessage]:
        granted = frozenset(owner for owner in request.owners if self._voter.vote(now, owner, request.sender))
        grant = LeaseGrant(self.membership.own_number, self.membership.incarnation, request.nonce, granted)
        return [OutgoingMessage(request.sender, grant)]

    def _request_loans(self, now: int) -> list[OutgoingMessage]:
        """Ask an alive member for a loan of each limit that needs one; remove the accounts of idle limits."""
        requests: list[OutgoingMessage] = []
        lenders = [
            peer
            for peer in self.membership.peers
            if self.membership.status_of(now, peer) == MemberStatus.ALIVE
        ]
        for limit, account in tuple(self._accounts.items()):
            account.expire(now)
            if lenders and account.borrower.request_is_due(now):
                requests.append(self._request_loan(now, limit, account, lenders))
            elif account.is_idle():
                del self._accounts[limit]
        return requests

    def _request_loan(
        self, now: int, limit: int, account: LimitAccount, lenders: list[int]
    ) -> OutgoingMessage:
        nonce = self._new_nonce()
        increment = self.base_share // LOAN_INCREMENT_DIVISOR
        terms = account.borrower.start_request(now, nonce, lenders, increment, self._rng)
        request = LoanRequest(
            self.membership.own_number, self.membership.incarnation, nonce, limit, terms.amount
        )
        return OutgoingMessage(terms.lender, request)

    def _answer_loan_request(self, now: int, request: LoanRequest) -> list[OutgoingMessage]:
        """Grant a loan of an amount that this member does not need; return no answer if it needs all."""
        until_us = now + timing.LOAN_US
        if self._uses_leases:  # the lent amount is part of the own lease and ends with it
            until_us = min(until_us, self._leases.own_lease_until_us())
        if until_us <= now or now < self._leasable_from_us:
            return []
        account = self._account_of(request.limit)
        if account is None:
            return []
        account.expire(now)
        if account.borrower.had_shortfall_within(now, self._window_us):
            return []
        amount = self._amount_to_lend(now, request, account)
        if amount <= 0:
            return []
        duration_us = until_us - now
        lent_until_us = now + timing.guard_duration_us(duration_us) + self._window_us
        account.lent.add(Loan(request.sender, amount, lent_until_us))
        grant = LoanGrant(
            self.membership.own_number,
            self.membership.incarnation,
            request.nonce,
            request.limit,
            amount,
            duration_us,
        )
        return [OutgoingMessage(request.sender, grant)]

    def _amount_to_lend(self, now: int, request: LoanRequest, account: LimitAccount) -> int:
        """Return the amount to lend: what this member has already lent, plus a part of what is idle."""
        idle = min(
            self.available_share(now, request.limit) - account.usage.total,
            self.leasable_share - account.lent.total(now),
        )
        already_lent = account.lent.amount_with(now, request.sender)
        return min(request.amount, already_lent + max(0, idle) // LENT_IDLE_DIVISOR)
