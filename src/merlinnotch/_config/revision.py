"""Applied configurations."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class Revision:
    """One applied configuration. Each revision has a higher number than the one before.

    *applied_at* is in seconds since the epoch. *apply_id* is unique for each call of
    :meth:`RevisionLog.apply`.
    """

    number: int
    apply_id: str
    author: str
    applied_at: float
    document: dict

    def encode(self):
        """Return the revision as stored bytes."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data):
        """Return the revision in *data*; raises ValueError if it has none."""
        try:
            revision = cls(**json.loads(data))
        except (TypeError, RecursionError) as error:
            raise ValueError(str(error)) from error
        if type(revision.number) is not int:
            raise ValueError("the number of a revision is no integer")
        return revision
