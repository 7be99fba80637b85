"""Leases on the slots of brittle upstreams, which one instance grants to all.

A brittle upstream falls over if it has to turn away requests. So nothing is sent to it
without a lease on one of its slots, and its issuer grants no more than there are.
Decisions without I/O; :mod:`merlinnotch._entry.slot_exchange` exchanges the messages.
"""

from .book import BrittleBook
from .issuer import SlotIssuer
from .lease import NO_LEASE_NEEDED, SlotLease
from .messages import SlotAnswer, SlotQuestion, SlotRelease

__all__ = [
    "NO_LEASE_NEEDED",
    "BrittleBook",
    "SlotAnswer",
    "SlotIssuer",
    "SlotLease",
    "SlotQuestion",
    "SlotRelease",
]
