"""The messages that members send each other about shared limits (docs/budgets.md).

Each carries its sender's member number and incarnation, and a nonce that ties an answer to its request.
Amounts are in millionths of a limit, durations in microseconds. A message holds no absolute time: members'
clocks differ, so each side counts durations from its own events.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseRequest(NamedTuple):
    """Asks for the votes on leases of some members' base shares, counted from when the request was sent."""

    sender: int
    incarnation: int
    nonce: int
    owners: frozenset[int]  # whose base shares are to be leased


class LeaseGrant(NamedTuple):
    """The votes that answer a `LeaseRequest`: those of its base shares that the sender votes for."""

    sender: int
    incarnation: int
    nonce: int
    owners: frozenset[int]


class LoanRequest(NamedTuple):
    """Asks for a loan of one limit, in place of what the receiver has lent to the sender so far."""

    sender: int
    incarnation: int
    nonce: int
    limit: int
    amount: int
    duration_us: int = 0  # the lender decides; in the request only since both loan datagrams have one layout


class LoanGrant(NamedTuple):
    """Lends an amount of a limit for a duration, counted from when the request was sent."""

    sender: int
    incarnation: int
    nonce: int
    limit: int
    amount: int
    duration_us: int


Message = LeaseRequest | LeaseGrant | LoanRequest | LoanGrant
