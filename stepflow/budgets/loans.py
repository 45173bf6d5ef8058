"""Loans between members: the amounts of one limit that a member has lent or borrowed, and its loan requests.

Every loan ends after a fixed time, so losing a message about it is safe. The borrower counts this time
from its request, the lender from its grant. A new loan between two members replaces the previous one, so
that a loan is renewed without a gap. Amounts are millionths of the limit, times microseconds on the member's
own clock.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from stepflow.budgets import timing
from stepflow.members import LoanGrant


class Loan(NamedTuple):
    """The whole amount that one member has lent to another, until the loan ends."""

    member: int  # the other member
    amount: int
    until_us: int


class Loans:
    """The loans of one limit in one direction; of several loans with one member, only the largest counts."""

    def __init__(self) -> None:
        self._loans: list[Loan] = []

    def __bool__(self) -> bool:
        """Return whether any loan was held at the last `expire`."""
        return bool(self._loans)

    def add(self, loan: Loan) -> None:
        """Add a loan; earlier loans with the same member stay until they end."""
        self._loans.append(loan)

    def expire(self, now: int) -> None:
        """Remove the loans that have ended."""
        self._loans = [loan for loan in self._loans if loan.until_us > now]

    def total(self, now: int) -> int:
        """Return the sum of the amounts that count, over all members."""
        return sum(self._largest_by_member(now).values())

    def amount_with(self, now: int, member: int) -> int:
        """Return the amount that counts with one member."""
        return self._largest_by_member(now).get(member, 0)

    def latest_by_member(self, members: Sequence[int]) -> dict[int, Loan]:
        """Return the last added loan with each of these members."""
        return {loan.member: loan for loan in self._loans if loan.member in members}

    def _largest_by_member(self, now: int) -> dict[int, int]:
        largest: dict[int, int] = {}
        for loan in self._loans:
            if loan.until_us > now:
                largest[loan.member] = max(largest.get(loan.member, 0), loan.amount)
        return largest


class LoanTerms(NamedTuple):
    """The lender of a loan request, and the amount to ask for."""

    lender: int
    amount: int


class Borrower:
    """Asks for loans of one limit while this member's own share is too small, and holds the granted loans.

    At most one request is pending. The time between two requests doubles until one is answered.
    """

    def __init__(self) -> None:
        self.loans = Loans()
        self.shortfall = 0  # the largest use denied since the last request
        self._last_shortfall_us = -timing.LEASE_US
        self._request_nonce = 0  # 0 if no request is pending
        self._requested_us = 0
        self._next_request_us = 0
        self._retry_delay_us = timing.LOAN_RETRY_MIN_US

    def record_shortfall(self, now: int, amount: int) -> None:
        """Record that a use of this amount was denied."""
        self.shortfall = max(self.shortfall, amount)
        self._last_shortfall_us = now

    def had_shortfall_within(self, now: int, window_us: int) -> bool:
        """Return whether a use was denied within the last `window_us`."""
        return now - self._last_shortfall_us < window_us

    def request_is_due(self, now: int) -> bool:
        """Return whether to ask for a loan now."""
        return self.shortfall > 0 and now >= self._next_request_us

    def start_request(
        self, now: int, nonce: int, lenders: Sequence[int], increment: int, rng: random.Random
    ) -> LoanTerms:
        """Start a request to renew the loan that ends first, if it ends soon, else one to a random lender.

        The request asks for the larger of the shortfall and `increment`, on top of the amount that the lender
        has lent already.
        """
        self._request_nonce = nonce
        self._requested_us = now
        self._next_request_us = now + self._retry_delay_us
        self._retry_delay_us = min(2 * self._retry_delay_us, timing.LOAN_RETRY_MAX_US)
        latest = self.loans.latest_by_member(lenders)
        ending_first = min(latest.values(), key=lambda loan: loan.until_us, default=None)
        if ending_first is not None and ending_first.until_us < now + timing.LOAN_US // 2:
            lender = ending_first.member
        else:
            lender = rng.choice(lenders)
        borrowed = latest[lender].amount if lender in latest else 0
        amount = borrowed + max(self.shortfall, increment)
        self.shortfall = 0
        return LoanTerms(lender, amount)

    def receive_grant(self, now: int, grant: LoanGrant) -> None:
        """Add the loan that answers the pending request; ignore other, repeated and late answers."""
        if grant.nonce != self._request_nonce:
            return
        self._request_nonce = 0
        until_us = self._requested_us + min(grant.duration_us, timing.LOAN_US)
        if until_us > now:
            self.loans.add(Loan(grant.sender, min(grant.amount, timing.FULL_LIMIT), until_us))
            self._next_request_us = now
            self._retry_delay_us = timing.LOAN_RETRY_MIN_US
