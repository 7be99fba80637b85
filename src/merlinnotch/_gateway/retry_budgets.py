"""Retry budgets by service."""

from .._limits import SlidingWindowRetryBudget


class RetryBudgets:
    """One :class:`SlidingWindowRetryBudget` per service.

    Each holds this instance's share of the retries.

    In any *window_s* seconds the fleet may make *ratio* times its first attempts plus
    its slack retries. *get_own_slack* returns this instance's current share of the
    slack for a service and a time, see :func:`share_slack`. *get_unused* returns, for
    a service, the ratio and a time, this instance's share of the retries per second
    that the fleet does not use.
    """

    def __init__(
        self,
        ratio,
        window_s,
        get_own_slack,
        get_unused=lambda service, ratio, now: 0.0,
    ):
        self._ratio = ratio
        self._window_s = window_s
        self._get_own_slack = get_own_slack
        self._get_unused = get_unused
        self._budgets = {}

    def get(self, service, now):
        """Return the budget of *service* at *now*, created on first use."""
        own_slack = self._get_own_slack(service, now)
        budget = self._budgets.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(self._ratio, own_slack, self._window_s)
            self._budgets[service] = budget
        budget.reserve = own_slack
        budget.grant_shared(self._get_unused(service, self._ratio, now), now)
        return budget


def share_slack(fleet_slack, fleet_size, rank):
    """Return the retries of the fleet's slack that one instance may make.

    All have an equal share, or the first ones by *rank* have one retry each if there
    are fewer retries than instances.
    """
    if fleet_slack >= fleet_size:
        return fleet_slack / fleet_size
    return 1.0 if rank < int(fleet_slack) else 0.0
