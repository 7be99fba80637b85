"""Batches: the units in which a bucket's log grows."""

from dataclasses import dataclass

from .bill import Bill
from .claim import Claim
from .release import Release


@dataclass(frozen=True)
class Batch:
    """Records committed together at one position by one writer."""

    position: int
    writer: str
    batch_id: str
    records: tuple[Claim | Release | Bill, ...]
