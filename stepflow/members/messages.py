"""The messages that members send each other about shared limits (docs/budgets.md).

Each message carries its sender's member number and incarnation, and a nonce that matches an answer to its
request. Amounts are millionths of a limit, durations microseconds. A message contains no absolute time: the
clocks of members differ, so each side counts durations from its own events.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseRequest(NamedTuple):
    """Asks for votes for leases of these owners' base shares, each counted from the time of the request."""

    sender: int
    incarnation: int
    nonce: int
    owners: frozenset[int]  # the owners of the base shares to lease


class LeaseGrant(NamedTuple):
    """Answers a `LeaseRequest`: `owners` are the requested owners for whose leases the sender votes."""

    sender: int
    incarnation: int
    nonce: int
    owners: frozenset[int]


class LoanRequest(NamedTuple):
    """Asks for a loan of one limit, which replaces what the receiver has lent to the sender so far."""

    sender: int
    incarnation: int
    nonce: int
    limit: int
    amount: int
    duration_us: int = 0  # unused, the lender decides; both loan datagrams have the same layout


class LoanGrant(NamedTuple):
    """Lends an amount of a limit for a duration, counted from when the request was sent."""

    sender: int
    incarnation: int
    nonce: int
    limit: int
    amount: int
    duration_us: int


Message = LeaseRequest | LeaseGrant | LoanRequest | LoanGrant
