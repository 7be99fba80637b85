"""What became of a record that was handed in."""

import enum
from dataclasses import dataclass


class ClaimStatus(enum.IntEnum):
    """Answer to a record."""

    GRANTED = 0
    TAKEN = 1
    ANSWERED = 2
    DIFFERENT = 3
    RECORDED = 4
    REFUSED = 5
    FREE = 6


@dataclass(frozen=True)
class Verdict:
    """*holder* is the instance that has the claim, where one has."""

    status: ClaimStatus
    holder: str = ""

    def __post_init__(self):
        # Decoded messages carry the plain number.
        object.__setattr__(self, "status", ClaimStatus(self.status))
