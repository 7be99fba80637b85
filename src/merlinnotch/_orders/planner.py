"""Deciding which orders are needed."""

from .._config import VersionState
from .order import Order


def plan_orders(catalogue, upstreams, now):
    """Return an :class:`Order` for each upstream that has the wrong versions.

    Looks at what upstreams say they have, not at what they were told before:
    an order that was lost, or came late from an earlier holder, is put right
    by the next look. Upstreams of pools that are not managed, that are
    leaving, or that have not said what they have get none.
    """
    orders = []
    for upstream in upstreams:
        pool = catalogue.pools.get(upstream.listed.pool)
        if pool is None or not pool.manage_versions or upstream.versions is None:
            continue
        if upstream.is_leaving(now):
            continue
        wanted = _list_wanted(catalogue, upstream.listed.pool)
        if wanted and set(wanted) != set(upstream.versions):
            orders.append(Order(upstream.listed.id, wanted))
    return orders


def _list_wanted(catalogue, pool):
    return tuple(
        sorted(
            version.id
            for model in catalogue.models.values()
            if model.pool == pool
            for version in model.versions
            if version.state is not VersionState.WITHDRAWN
        )
    )
