"""Orders that list the versions an engine must load, and the lease to send them."""

from .lease import LEASE_TTL_S, LeaseHolder, OrderLease
from .order import Order
from .planner import plan_orders

__all__ = ["LEASE_TTL_S", "LeaseHolder", "Order", "OrderLease", "plan_orders"]
