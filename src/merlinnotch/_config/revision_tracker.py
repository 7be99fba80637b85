"""The revision that an instance uses."""

import enum

from .._errors import ConfigurationInvalid
from .loader import parse_catalogue


class OfferResult(enum.Enum):
    """The result of :meth:`RevisionTracker.submit`."""

    ACCEPTED = "taken"
    CURRENT = "known"
    OLDER = "older"
    INVALID = "unreadable"


class RevisionTracker:
    """The newest revision that the instance has seen, and its freshness.

    *confirmed_at* is the latest time, in local monotonic seconds, at which the store is
    known to have had no newer revision. It comes from the store or from peers.
    """

    def __init__(self):
        self.revision = None
        self.catalogue = None
        self.confirmed_at = float("-inf")

    @property
    def number(self):
        """The number of the current revision, 0 if there is none."""
        return self.revision.number if self.revision else 0

    def submit(self, revision, confirmed_at):
        """Use *revision* if it is valid and newer; return an :class:`OfferResult`.

        *confirmed_at* is the local monotonic time at which it was the newest revision
        in the store.
        """
        if revision.number < self.number:
            return OfferResult.OLDER
        if revision.number == self.number:
            self.record_confirmation(revision.number, confirmed_at)
            return OfferResult.CURRENT
        try:
            catalogue = parse_catalogue(revision.document)
        except ConfigurationInvalid:
            return OfferResult.INVALID
        self.revision = revision
        self.catalogue = catalogue
        self.confirmed_at = confirmed_at
        return OfferResult.ACCEPTED

    def record_confirmation(self, number, confirmed_at):
        """Record that *number* was the newest revision at *confirmed_at*."""
        if number == self.number:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def is_fresh(self, now):
        """Return whether the current revision is fresh, False if there is none.

        It is fresh if *confirmed_at* is at most ``fresh_for_s`` seconds before *now*.
        """
        if self.catalogue is None:
            return False
        return now - self.confirmed_at <= self.catalogue.tuning.fresh_for_s
