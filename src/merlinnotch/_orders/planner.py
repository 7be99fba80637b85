"""Computation of the orders that upstreams need."""

from .._config import VersionState
from .order import Order


def plan_orders(catalogue, upstreams, now):
    """Return an :class:`Order` for each upstream with other than the desired versions.

    Compares with the versions that upstreams report, not with earlier orders, so
    that the next call corrects an order that was lost or came late from an earlier
    lease holder. Skips upstreams of pools that are unmanaged or have no desired
    versions, upstreams that are leaving or resting, and those that have not reported
    their versions. *now* is in monotonic seconds.
    """
    orders = []
    for upstream in upstreams:
        pool = catalogue.pools.get(upstream.listed.pool)
        if pool is None or not pool.manage_versions or upstream.versions is None:
            continue
        if not upstream.accepts_work(now):
            continue
        desired = _list_desired_versions(catalogue, upstream.listed.pool)
        if desired and set(desired) != set(upstream.versions):
            orders.append(Order(upstream.listed.id, desired))
    return orders


def _list_desired_versions(catalogue, pool):
    return tuple(
        sorted(
            version.id
            for model in catalogue.models.values()
            if model.pool == pool
            for version in model.versions
            if version.state is not VersionState.WITHDRAWN
        )
    )
