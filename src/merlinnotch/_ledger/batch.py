"""The unit in which records are appended to a bucket's log."""

from dataclasses import dataclass

from .bill import Bill
from .claim import Claim
from .release import Release


@dataclass(frozen=True)
class Batch:
    """Records that one writer commits together at one position of the log.

    *writer* names the instance and its incarnation. *batch_id* is unique, so that a
    writer recognises its own batch.
    """

    position: int
    writer: str
    batch_id: str
    records: tuple[Claim | Release | Bill, ...]
