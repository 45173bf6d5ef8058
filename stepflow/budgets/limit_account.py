"""One member's account of one limit: its usage, and the loans that it gave and took."""

from __future__ import annotations

from stepflow.budgets.loans import Borrower, Loans
from stepflow.budgets.usage import WindowedUsage


class LimitAccount:
    """Holds the usage of one limit within the window, and its loans in both directions."""

    def __init__(self, window_us: int) -> None:
        self.usage = WindowedUsage(window_us)
        self.lent = Loans()
        self.borrower = Borrower()

    def expire(self, now: int) -> None:
        """Remove the uses that have left the window and the loans that have ended."""
        self.usage.expire(now)
        self.lent.expire(now)
        self.borrower.loans.expire(now)

    def net_borrowed(self, now: int) -> int:
        """Return the amount that loans add to this member's share; negative if they reduce it."""
        return self.borrower.loans.total(now) - self.lent.total(now)

    def is_idle(self) -> bool:
        """Return whether the account held no usage, loan or shortfall at the last `expire`."""
        return not (self.usage or self.lent or self.borrower.loans or self.borrower.shortfall)
