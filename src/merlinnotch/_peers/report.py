"""What a zone's reporter tells operators."""

import json
from dataclasses import asdict, dataclass

from .member import Member

REPORT_EVERY_S = 10.0


@dataclass(frozen=True)
class ZoneReport:
    """The live members of a zone as its reporter sees them.

    *at* is in seconds since the epoch.
    """

    at: float
    zone: str
    reporter: str
    members: tuple[Member, ...]
    quarantined: tuple[str, ...]

    def encode(self):
        """Return the bytes kept in the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the report in *data*."""
        row = json.loads(data)
        members = tuple(Member(**member) for member in row.pop("members"))
        quarantined = tuple(row.pop("quarantined"))
        return cls(**row, members=members, quarantined=quarantined)
