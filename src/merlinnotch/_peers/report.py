"""Status reports about zones, for operators."""

import json
from dataclasses import asdict, dataclass

REPORT_EVERY_S = 10.0


@dataclass(frozen=True)
class MemberReport:
    """One live instance.

    *stale_s* is the age in seconds of its proof that *revision* is the newest,
    negative without a proof.
    """

    instance: str
    revision: int
    stale_s: float
    leaving: bool


@dataclass(frozen=True)
class ZoneReport:
    """The live members of a zone as seen by *reporter*, an instance of the zone.

    *at* is in seconds since the epoch.
    """

    at: float
    zone: str
    reporter: str
    members: tuple[MemberReport, ...]
    quarantined: tuple[str, ...]

    def encode(self):
        """Return the JSON bytes for the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the report encoded in *data*."""
        fields = json.loads(data)
        members = tuple(MemberReport(**member) for member in fields.pop("members"))
        quarantined = tuple(fields.pop("quarantined"))
        return cls(**fields, members=members, quarantined=quarantined)
