"""Heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Heartbeat:
    """A heartbeat of an instance; *count* increases while the instance runs.

    *revision* is the one in force on the instance. *proof_age_ds* is the age of the
    proof that it is the newest, in tenths of a second, -1 without a proof.
    """

    incarnation: int
    count: int
    revision: int
    proof_age_ds: int

    @property
    def order(self):
        """Sort key; later heartbeats have a greater one."""
        return (self.incarnation, self.count)
