"""Retry budgets by service."""

from .._limits import RetryWindow


class BudgetTable:
    """One :class:`RetryWindow` a service, a part of what the fleet is allowed.

    *slack* retries beyond the ratio are allowed to the whole fleet in any
    *window_s*; *count_instances* says among how many they are divided.
    """

    def __init__(self, ratio, slack, window_s, count_instances):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._count_instances = count_instances
        self._budgets = {}

    def get(self, service):
        """Return the budget of *service*."""
        budget = self._budgets.get(service)
        if budget is None:
            part = max(1.0, self._slack / max(1, self._count_instances()))
            budget = RetryWindow(self._ratio, part, self._window_s)
            self._budgets[service] = budget
        return budget
