"""Accepted configurations."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class Revision:
    """One accepted file set. Numbers only ever grow.

    *applied_at* is in seconds since the epoch; *apply_id* tells one attempt
    to apply from all others.
    """

    number: int
    apply_id: str
    author: str
    applied_at: float
    document: dict

    def encode(self):
        """Return the bytes kept in the store."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data):
        """Return the revision in *data*; raises ValueError for other bytes."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError(str(error)) from error
