"""Rate limits that upstreams name for all instances together, and their permits."""

from .book import LimitBook
from .fleet import ANSWER_TIMEOUT_S, PermitFleet, PermitLink
from .issuer import PermitIssuer
from .issuers import IssuerDirectory, compute_issue_rate, list_candidates
from .messages import LimitReport, PermitAnswer, PermitQuestion, PermitReturn
from .permit import NO_PERMIT_NEEDED, Permit, PermitDecision, PermitRequest
from .permits import Permits
from .reading import LimitReading, make_report
from .recorder import LimitRecorder
from .schedule import PermitSchedule
from .source import LimitSource

__all__ = [
    "ANSWER_TIMEOUT_S",
    "NO_PERMIT_NEEDED",
    "IssuerDirectory",
    "LimitBook",
    "LimitReading",
    "LimitRecorder",
    "LimitReport",
    "LimitSource",
    "Permit",
    "PermitAnswer",
    "PermitDecision",
    "PermitFleet",
    "PermitIssuer",
    "PermitLink",
    "PermitQuestion",
    "PermitRequest",
    "PermitReturn",
    "PermitSchedule",
    "Permits",
    "compute_issue_rate",
    "list_candidates",
    "make_report",
]
