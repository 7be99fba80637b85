"""What a zone's reporter tells operators."""

import json
from dataclasses import asdict, dataclass

REPORT_EVERY_S = 10.0


@dataclass(frozen=True)
class MemberReport:
    """One live instance; *stale_s* is the age of its proof in seconds."""

    instance: str
    revision: int
    stale_s: float
    leaving: bool


@dataclass(frozen=True)
class ZoneReport:
    """The live members of a zone as its reporter sees them.

    *at* is in seconds since the epoch.
    """

    at: float
    zone: str
    reporter: str
    members: tuple[MemberReport, ...]
    quarantined: tuple[str, ...]

    def encode(self):
        """Return the bytes kept in the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the report in *data*."""
        row = json.loads(data)
        members = tuple(MemberReport(**member) for member in row.pop("members"))
        quarantined = tuple(row.pop("quarantined"))
        return cls(**row, members=members, quarantined=quarantined)
