"""The task that sends orders to the upstreams of a zone."""

import json
import logging
import time

import urllib3

from .._daemon.task import Task
from .._errors import StoreConflict
from .._orders import LEASE_TTL_S, LeaseHolder, OrderLease, plan_orders
from .._peers import get_highest_ranked
from .._pooled_http import make_pool_manager, send_call
from .._store import ABSENT
from .._store.keys import ORDERS_PREFIX

logger = logging.getLogger("merlinnotch")

ORDERS_PATH = "/orders"
RENEW_INTERVAL_S = 2.0
RESEND_INTERVAL_S = 5.0
"""Time for an upstream to report the ordered versions before an order is sent again."""

MAX_REQUEST_TIMEOUT_S = 2.0
MAX_REPLY_BYTES = 65536


class Orderer(Task):
    """Sends orders to the upstreams of its zone while it holds the zone's lease.

    Only the live instance that ranks first tries to acquire the lease, and only while
    orders are needed, so that an idle fleet sends no requests to the store.

    The lease in the store ensures that at most one instance holds the zone's lock key.
    :class:`OrderLease` is what this instance knows of its lease, and decides whether it
    may send orders. :class:`LeaseHolder` is the value of the fence key.
    """

    interval_s = 1.0

    def __init__(
        self, settings, store, upstreams, membership, configurer, metrics, notices
    ):
        super().__init__()
        self._settings = settings
        self._store = store
        self._upstreams = upstreams
        self._membership = membership
        self._configurer = configurer
        self._metrics = metrics
        self._notices = notices
        self._lock_key = f"{ORDERS_PREFIX}{settings.zone}/lock"
        self._fence_key = f"{ORDERS_PREFIX}{settings.zone}/fence"
        self._lease = OrderLease()
        self._lease_id = None
        self._sent_at = {}
        self._http = make_pool_manager(maxsize=1, retries=False)

    @property
    def fence(self):
        """The fencing number of the last lease that was held, 0 for none."""
        return self._lease.fence

    def run_once(self):
        now = time.monotonic()
        orders = self._plan_orders(now)
        if not orders or not self._is_ranked_first(now):
            self.release_lease()
            return
        self.acquire_or_renew()
        for order in orders:
            self._send_order(order)

    def _plan_orders(self, now):
        tracker = self._configurer.tracker
        # An outdated configuration revision would lead to orders that revert those of
        # others.
        if not tracker.is_fresh(now):
            return []
        zone = self._settings.zone
        zone_upstreams = [
            upstream for upstream in self._upstreams if upstream.listed.zone == zone
        ]
        return plan_orders(tracker.catalogue, zone_upstreams, now)

    def _is_ranked_first(self, now):
        members = self._membership.list_live(now, self._settings.zone)
        return get_highest_ranked(self._lock_key, members) == self._settings.instance

    def acquire_or_renew(self):
        """Acquire the lease, or renew it when due.

        Another instance may hold the lease; then nothing is acquired.
        """
        requested_at = time.monotonic()
        if self._lease_id is None:
            self._acquire_lease(requested_at)
        elif requested_at - self._lease.renewed_at >= RENEW_INTERVAL_S:
            try:
                self._store.renew_lease(self._lease_id)
            except StoreConflict:
                self._forget_lease()
                return
            self._lease.renew(requested_at)

    def _acquire_lease(self, requested_at):
        item = self._store.read(self._lock_key).get(self._lock_key)
        if item is not None and item.lease:
            return
        name = self._settings.instance
        lease_id = self._store.open_lease(LEASE_TTL_S, name)
        if not self._store.acquire(self._lock_key, name.encode(), lease_id):
            self._store.close_lease(lease_id)
            return
        try:
            fence = self._increment_fence()
        except StoreConflict:
            self._store.close_lease(lease_id)
            return
        self._lease_id = lease_id
        self._lease.acquire(fence, requested_at)
        logger.info("acquired the lease for orders", extra={"fence": fence})

    def _increment_fence(self):
        """Increment the stored fencing number; return it. No other instance gets it.

        Holding the lease doesn't ensure that: it may expire after the number is read,
        and another instance may acquire it and increment the number. Raise
        :class:`StoreConflict` if the number has changed since it was read.
        """
        item = self._store.read(self._fence_key).get(self._fence_key)
        fence = LeaseHolder.decode(item.value).fence + 1 if item else 1
        holder = LeaseHolder(self._settings.instance, fence)
        index = item.modify_index if item else ABSENT
        self._store.swap(self._fence_key, holder.encode(), index)
        return fence

    def _send_order(self, order):
        now = time.monotonic()
        if not self._lease.may_send_orders(now):
            return
        if now - self._sent_at.get(order.upstream, float("-inf")) < RESEND_INTERVAL_S:
            return
        upstream = self._upstreams.get(order.upstream)
        # The orders before this one take time.
        if not upstream.accepts_work(now):
            return
        self._sent_at[order.upstream] = now
        body = {"fence": self._lease.fence, "versions": order.versions}
        timeout_s = min(MAX_REQUEST_TIMEOUT_S, self._lease.get_remaining_s(now))
        url = f"http://{upstream.listed.address}{ORDERS_PATH}"
        try:
            reply = send_call(
                self._http, "PUT", url, timeout_s, MAX_REPLY_BYTES, json.dumps(body)
            )
        except urllib3.exceptions.HTTPError:
            self._metrics.orders.labels("unanswered").inc()
            return
        self._notices.record(upstream, reply, time.monotonic())
        accepted = reply.status == 200
        self._metrics.orders.labels("accepted" if accepted else "refused").inc()
        if not accepted:
            self._forget_lease()

    def release_lease(self):
        """Release the lease if it is held."""
        if self._lease_id is None:
            return
        lease_id = self._lease_id
        self._forget_lease()
        self._store.close_lease(lease_id)

    def _forget_lease(self):
        self._lease_id = None
        self._lease.mark_lost()
