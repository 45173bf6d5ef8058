"""What one member has used, lent and borrowed of one limit."""

from __future__ import annotations

from stepflow.budgets.loans import Borrower, Loans
from stepflow.budgets.usage import WindowedUsage


class LimitAccount:
    """One limit's usage within the window and its loans in both directions."""

    def __init__(self, window_us: int) -> None:
        self.usage = WindowedUsage(window_us)
        self.lent = Loans()
        self.borrower = Borrower()

    def expire(self, now: int) -> None:
        """Drop the uses that have left the window and the loans that have ended."""
        self.usage.expire(now)
        self.lent.expire(now)
        self.borrower.loans.expire(now)

    def net_borrowed(self, now: int) -> int:
        """Return what loans add to this member's share, or, where negative, take off it."""
        return self.borrower.loans.total(now) - self.lent.total(now)

    def is_idle(self) -> bool:
        """Whether nothing is left to remember, as of the last `expire`."""
        return not (self.usage or self.lent or self.borrower.loans or self.borrower.shortfall)
