"""Errors of stepflow.budgets."""


class BudgetError(ValueError):
    """Base class of errors for invalid arguments of a budget."""


class TooManyMembersError(BudgetError):
    """A member number of a membership is too large for the sets of members in messages."""
