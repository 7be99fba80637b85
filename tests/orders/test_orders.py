"""Planning of orders, and the times at which a lease holder may send them."""

import dataclasses

import pytest

from merlinnotch._config import Pool, load_catalogue
from merlinnotch._notices import NoticeSource
from merlinnotch._orders import LEASE_TTL_S, LeaseHolder, OrderLease, plan_orders
from merlinnotch._peers import ListedUpstream
from merlinnotch._routing import Upstream

DESIRED_VERSIONS = ("deep@v1", "swift@v2", "swift@v3", "swift@v4")


@pytest.fixture
def catalogue():
    _, catalogue = load_catalogue("examples/authority")
    return dataclasses.replace(catalogue, pools={"language": Pool("language", True)})


@pytest.fixture
def upstream():
    return Upstream(ListedUpstream("e", "10.0.0.1:1", "zone-a", "language", False))


@pytest.fixture
def lease():
    lease = OrderLease()
    lease.acquire(7, 100.0)
    return lease


def test_order_corrects_missing_and_withdrawn_versions(catalogue, upstream):
    upstream.versions = frozenset({"swift@v3", "deep@v0"})
    (order,) = plan_orders(catalogue, [upstream], 0.0)
    assert (order.upstream, order.versions) == ("e", DESIRED_VERSIONS)


def test_no_order_for_unknown_or_correct_versions_or_leaving_upstreams(
    catalogue, upstream
):
    assert plan_orders(catalogue, [upstream], 0.0) == []
    upstream.versions = frozenset(DESIRED_VERSIONS)
    assert plan_orders(catalogue, [upstream], 0.0) == []
    upstream.versions = frozenset({"swift@v3"})
    upstream.notices.record_leaving(upstream.start, NoticeSource.ANSWER, 0.0)
    assert plan_orders(catalogue, [upstream], 1.0) == []


def test_resting_upstream_gets_no_order_until_its_rest_ends(catalogue, upstream):
    upstream.versions = frozenset({"swift@v3"})
    upstream.notices.record_rest(upstream.start, 3.0, 0.0)
    assert plan_orders(catalogue, [upstream], 2.9) == []
    assert len(plan_orders(catalogue, [upstream], 3.0)) == 1


def test_unmanaged_pools_get_no_orders(upstream):
    _, catalogue = load_catalogue("examples/hearth-calls")
    upstream.versions = frozenset({"gentle@v5"})
    assert plan_orders(catalogue, [upstream], 0.0) == []


def test_new_holder_waits_until_the_previous_lease_has_expired(lease):
    lease.renew(100.0 + LEASE_TTL_S - 1)
    assert not lease.may_send_orders(100.0 + LEASE_TTL_S - 0.1)
    assert lease.may_send_orders(100.0 + LEASE_TTL_S)


def test_holder_stops_sending_before_its_lease_expires(lease):
    lease.renew(200.0)
    assert lease.may_send_orders(200.0 + LEASE_TTL_S / 2 - 0.1)
    assert not lease.may_send_orders(200.0 + LEASE_TTL_S / 2)
    assert lease.get_remaining_s(201.0) == LEASE_TTL_S / 2 - 1


def test_lost_lease_stops_orders_at_once(lease):
    lease.renew(200.0)
    lease.mark_lost()
    assert not lease.may_send_orders(200.1)


def test_late_renewal_reply_does_not_shorten_the_lease(lease):
    lease.renew(200.0)
    lease.renew(150.0)
    assert lease.may_send_orders(201.0)


def test_lease_holder_encoding_round_trip():
    holder = LeaseHolder("entry-1", 3)
    assert LeaseHolder.decode(holder.encode()) == holder
