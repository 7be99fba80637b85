"""Orders to engines: who may give them, and which are needed."""

from .lease import LEASE_TTL_S, LeaseHolder, OrderLease
from .order import Order
from .planner import plan_orders

__all__ = ["LEASE_TTL_S", "LeaseHolder", "Order", "OrderLease", "plan_orders"]
