"""Durations of leases and loans, and the guard durations that allow for clock drift.

Members compare only durations, each on its own clock. The member that uses a lease or loan counts its
duration from its request. The member that grants it counts from its answer, which is later, and adds the
clock drift (`guard_duration_us`). So on any two clocks a lease or loan ends for its user before it ends for
its grantor.
"""

from __future__ import annotations

FULL_LIMIT = 1_000_000  # the whole limit; all amounts are millionths of it

LEASE_US = 2_000_000
LEASE_RENEWAL_US = 600_000  # time between two rounds of lease requests
LOAN_US = 1_500_000
LOAN_RETRY_MIN_US = 100_000  # delay before a second loan request for a limit; doubles until one is answered
LOAN_RETRY_MAX_US = 1_600_000

MAX_CLOCK_DRIFT = 0.01  # maximum drift between any two clocks, as a share of the elapsed time
DECISION_SLACK_US = 20_000  # allowance for the time between a decision and its effect


def guard_duration_us(duration_us: int) -> int:
    """Return a duration on this clock that ends after `duration_us` has ended on every member's clock."""
    return int(duration_us * (1 + 2 * MAX_CLOCK_DRIFT)) + DECISION_SLACK_US
