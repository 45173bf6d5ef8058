"""Durations of the lease protocol, and how a promise outlasts its use on clocks that drift apart.

Members compare durations only, each on its own clock. Whoever uses a lease or loan counts from when it asked;
whoever granted it counts from when it answered, which is later, and adds the drift (`guard_duration_us`). So
on any pair of clocks the use is over before the promise is.
"""

from __future__ import annotations

FULL_LIMIT = 1_000_000  # a whole limit; all amounts are millionths of it

LEASE_US = 2_000_000
LEASE_RENEWAL_US = 600_000  # between two rounds of lease requests
LOAN_US = 1_500_000
LOAN_RETRY_MIN_US = 100_000  # between two loan requests for one limit: doubled while unanswered
LOAN_RETRY_MAX_US = 1_600_000

MAX_CLOCK_DRIFT = 0.01  # the most that two clocks run apart, as a share
DECISION_SLACK_US = 20_000  # between a decision and what it leads to


def guard_duration_us(duration_us: int) -> int:
    """Return a duration that ends on this clock after `duration_us` has ended on any member's clock."""
    return int(duration_us * (1 + 2 * MAX_CLOCK_DRIFT)) + DECISION_SLACK_US
