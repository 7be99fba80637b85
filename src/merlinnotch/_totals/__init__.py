"""Requests in flight and demand over all instances, as one instance knows them."""

from .demand_counter import DemandCounter, DemandKey
from .fleet_totals import FleetTotals, Totals, compute_start_key

__all__ = [
    "DemandCounter",
    "DemandKey",
    "FleetTotals",
    "Totals",
    "compute_start_key",
]
