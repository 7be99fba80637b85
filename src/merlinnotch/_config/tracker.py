"""Deciding which revision is in force on an instance."""

import enum

from .._errors import ConfigurationInvalid
from .loader import parse_catalogue


class Offer(enum.Enum):
    """What became of a revision that was offered."""

    TAKEN = "taken"
    KNOWN = "known"
    OLDER = "older"
    UNREADABLE = "unreadable"


class RevisionTracker:
    """Takes revisions upward only, and knows how fresh its proof is.

    A proof is a time at which the store, directly or through peers, was seen
    to have nothing newer than the revision in force.
    """

    def __init__(self):
        self.revision = None
        self.catalogue = None
        self.proved_at = float("-inf")

    @property
    def number(self):
        """The number of the revision in force, 0 for none."""
        return self.revision.number if self.revision else 0

    def offer(self, revision, proved_at):
        """Take *revision* if it is newer, and say what became of it.

        *proved_at* is the local monotonic time at which the store was known
        to hold it as the newest.
        """
        if revision.number < self.number:
            return Offer.OLDER
        if revision.number == self.number:
            self.prove(revision.number, proved_at)
            return Offer.KNOWN
        try:
            catalogue = parse_catalogue(revision.document)
        except ConfigurationInvalid:
            return Offer.UNREADABLE
        self.revision = revision
        self.catalogue = catalogue
        self.proved_at = proved_at
        return Offer.TAKEN

    def prove(self, number, proved_at):
        """Note that *number* was the newest revision at *proved_at*."""
        if number == self.number:
            self.proved_at = max(self.proved_at, proved_at)

    def is_fresh(self, now):
        """Return whether a proof is recent enough for versions in motion."""
        if self.catalogue is None:
            return False
        return now - self.proved_at <= self.catalogue.tuning.fresh_for_s
