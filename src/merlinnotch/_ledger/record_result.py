"""Results of records that were submitted to the ledger."""

import enum
from dataclasses import dataclass


class RecordStatus(enum.IntEnum):
    """Result of a record.

    GRANTED: the attempt has the claim. TAKEN: an earlier attempt has it. ANSWERED: the
    request has already been billed. DIFFERENT: it was claimed with other content.
    RECORDED: the bill or release is accepted. REFUSED: the attempt has no claim to
    release. FREE: the queried request has neither a claim nor a bill.

    The numbers are sent between instances; the names are metric labels.
    """

    GRANTED = 0
    TAKEN = 1
    ANSWERED = 2
    DIFFERENT = 3
    RECORDED = 4
    REFUSED = 5
    FREE = 6


@dataclass(frozen=True)
class RecordResult:
    """The result of a record.

    *holder* is the instance with the claim if the record is a claim or query, and empty
    if there is none.
    """

    status: RecordStatus
    holder: str = ""

    def __post_init__(self):
        # Decoded messages contain a plain integer.
        object.__setattr__(self, "status", RecordStatus(self.status))
