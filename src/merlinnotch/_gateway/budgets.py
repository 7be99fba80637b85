"""Retry budgets by service."""

from .._limits import RetryBudget


class BudgetTable:
    """One :class:`RetryBudget` a service, a part of what the fleet is allowed.

    *slack* retries beyond the ratio are allowed to the whole fleet;
    *count_instances* says among how many they are divided.
    """

    def __init__(self, ratio, slack, count_instances):
        self._ratio = ratio
        self._slack = slack
        self._count_instances = count_instances
        self._budgets = {}

    def get(self, service):
        """Return the budget of *service*."""
        budget = self._budgets.get(service)
        if budget is None:
            part = max(1.0, self._slack / max(1, self._count_instances()))
            budget = RetryBudget(self._ratio, reserve=part, most=part)
            self._budgets[service] = budget
        return budget
