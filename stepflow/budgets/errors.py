"""Errors of stepflow.budgets."""


class BudgetError(ValueError):
    """The base of what budgets can't be made with."""


class TooManyMembersError(BudgetError):
    """A membership with a member number that doesn't fit into the messages' sets of members."""
