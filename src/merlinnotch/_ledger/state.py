"""The state of a bucket, which results from applying its log's records in order."""

import enum
from dataclasses import dataclass, field

from .bill import Bill
from .claim import Claim
from .query import Query
from .record_result import RecordResult, RecordStatus
from .release import Release

CLAIM_RETENTION_S = 3600.0
BILL_RETENTION_S = 900.0


class RequestStatus(enum.IntEnum):
    """Status of a request in the ledger. The numbers are stored."""

    CLAIMED = 1
    BILLED = 2


@dataclass(frozen=True)
class Entry:
    """One request, kept until its retention time has passed.

    While it is kept, later attempts at the request are recognised. *attempt*, *holder*
    and *digest* are from the claim, and empty for a bill without a claim. *updated_at*
    is the time of the claim, or of the bill once there is one, in seconds since the
    epoch.
    """

    status: RequestStatus
    attempt: str
    holder: str
    digest: bytes
    updated_at: float


@dataclass(frozen=True)
class Total:
    """Sum of the bills of one team for one version."""

    requests: int = 0
    tokens: int = 0
    cost_micros: int = 0

    def add(self, other):
        """Return the sum of this and *other*."""
        return Total(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.cost_micros + other.cost_micros,
        )


@dataclass
class BucketState:
    """Requests by key, and totals of all bills by (team, version).

    Totals include the bills of requests that are no longer kept.
    """

    entries: dict[bytes, Entry] = field(default_factory=dict)
    totals: dict[tuple[str, str], Total] = field(default_factory=dict)

    def evaluate(self, record):
        """Return the :class:`RecordResult` of *record* without applying it."""
        entry = self.entries.get(record.key)
        if isinstance(record, Claim):
            return _evaluate_claim(record, entry)
        if isinstance(record, Query):
            return _evaluate_query(entry)
        if isinstance(record, Bill):
            billed = entry is not None and entry.status is RequestStatus.BILLED
            return RecordResult(
                RecordStatus.ANSWERED if billed else RecordStatus.RECORDED
            )
        released = entry is None or entry.attempt != record.attempt
        return RecordResult(RecordStatus.REFUSED if released else RecordStatus.RECORDED)

    def apply(self, record):
        """Apply *record* and return its result.

        A record that is neither granted nor recorded changes nothing.
        """
        result = self.evaluate(record)
        if isinstance(record, Claim) and result.status is RecordStatus.GRANTED:
            self.entries[record.key] = Entry(
                RequestStatus.CLAIMED,
                record.attempt,
                record.holder,
                record.digest,
                record.claimed_at,
            )
        elif isinstance(record, Bill) and result.status is RecordStatus.RECORDED:
            self._apply_bill(record)
        elif isinstance(record, Release) and result.status is RecordStatus.RECORDED:
            self._apply_release(record)
        return result

    def expire(self, now):
        """Remove requests whose retention time has passed.

        *now* is in seconds since the epoch.
        """
        for key, entry in list(self.entries.items()):
            claimed = entry.attempt != ""
            retention = CLAIM_RETENTION_S if claimed else BILL_RETENTION_S
            if now - entry.updated_at > retention:
                del self.entries[key]

    def _apply_bill(self, bill):
        entry = self.entries.get(bill.key)
        if entry is None:
            entry = Entry(RequestStatus.BILLED, "", "", b"", bill.billed_at)
        self.entries[bill.key] = Entry(
            RequestStatus.BILLED,
            entry.attempt,
            entry.holder,
            entry.digest,
            bill.billed_at,
        )
        total_key = (bill.team, bill.version)
        total = self.totals.get(total_key, Total())
        self.totals[total_key] = total.add(Total(1, bill.tokens, bill.cost_micros))

    def _apply_release(self, release):
        entry = self.entries[release.key]
        if entry.status is RequestStatus.CLAIMED:
            del self.entries[release.key]


def _evaluate_query(entry):
    if entry is None:
        return RecordResult(RecordStatus.FREE)
    if entry.status is RequestStatus.BILLED:
        return RecordResult(RecordStatus.ANSWERED, entry.holder)
    return RecordResult(RecordStatus.TAKEN, entry.holder)


def _evaluate_claim(claim, entry):
    if entry is None:
        return RecordResult(RecordStatus.GRANTED, claim.holder)
    if entry.attempt == claim.attempt and entry.status is RequestStatus.CLAIMED:
        return RecordResult(RecordStatus.GRANTED, claim.holder)
    if entry.digest and entry.digest != claim.digest:
        return RecordResult(RecordStatus.DIFFERENT, entry.holder)
    if entry.status is RequestStatus.BILLED:
        return RecordResult(RecordStatus.ANSWERED, entry.holder)
    return RecordResult(RecordStatus.TAKEN, entry.holder)
