"""Admission of requests under load: who is sent, who waits, who is refused."""

from .controller import AdmissionController
from .decisions import Admit, Refuse, Wait
from .demand import DemandRow, ServiceDemand
from .request import AdmissionRequest
from .room import ServiceRoom, estimate_room

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "Admit",
    "DemandRow",
    "Refuse",
    "ServiceDemand",
    "ServiceRoom",
    "Wait",
    "estimate_room",
]
