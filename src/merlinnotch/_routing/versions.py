"""Selection of a version of a model."""

import hashlib

from .._config import VersionState
from .._errors import ErrorKind, RequestRefused

UNPROVEN_BASE_ANSWERS = 40
UNPROVEN_ANSWERS_PER_RATING = 2.0
PROVEN_RATINGS = 100


class VersionPicker:
    """Picks versions of the models in *catalogue*.

    *quarantined* holds the ids of quarantined versions, *tallies* maps version ids to
    their fleet-wide :class:`Tally`. *fresh* is whether the catalogue is known to be
    current.
    """

    def __init__(self, catalogue, quarantined, tallies, fresh):
        self._catalogue = catalogue
        self._quarantined = quarantined
        self._tallies = tallies
        self._fresh = fresh

    def pick(self, team, model, salt):
        """Return the :class:`Version` of *model* for a new request.

        *salt* is hashed to distribute requests over versions; the same salt picks the
        same version. Raises :class:`RequestRefused` if there is none.
        """
        allowed = [v for v in model.versions if team.allows(model.name, v.name)]
        if not allowed:
            raise RequestRefused(ErrorKind.NOT_ALLOWED)
        eligible = [v for v in allowed if self._accepts_new_requests(v)]
        point = _hash_to_unit(salt)
        for version in eligible:
            if version.state is VersionState.ROLLING_OUT:
                if point < version.share:
                    return version
                point -= version.share
        serving = [v for v in eligible if v.state is VersionState.SERVING]
        if serving:
            return serving[int(_hash_to_unit(f"{salt}/") * len(serving))]
        raise self._make_refusal(allowed)

    def check_pinned(self, team, version_id):
        """Return the version that a session is pinned to.

        Raises :class:`RequestRefused` if it may not get requests.
        """
        version = self._catalogue.get_version(version_id)
        if version is None or version.state is VersionState.WITHDRAWN:
            raise RequestRefused(ErrorKind.VERSION_WITHDRAWN)
        if not team.allows(version.model, version.name):
            raise RequestRefused(ErrorKind.NOT_ALLOWED)
        if version.id in self._quarantined:
            raise RequestRefused(ErrorKind.VERSION_QUARANTINED)
        if not (self._fresh or version.serve_when_stale):
            raise RequestRefused(ErrorKind.CONFIGURATION_STALE)
        return version

    def _accepts_new_requests(self, version):
        if version.state not in (VersionState.SERVING, VersionState.ROLLING_OUT):
            return False
        if version.id in self._quarantined:
            return False
        if not (self._fresh or version.serve_when_stale):
            return False
        return version.state is VersionState.SERVING or not self._is_capped(version)

    def _is_capped(self, version):
        """Return whether an unproven version must wait for ratings of its answers."""
        tally = self._tallies.get(version.id)
        if tally is None or tally.rated >= PROVEN_RATINGS:
            return False
        return (
            tally.answers
            > UNPROVEN_BASE_ANSWERS + UNPROVEN_ANSWERS_PER_RATING * tally.rated
        )

    def _make_refusal(self, allowed):
        if any(v.id in self._quarantined for v in allowed):
            return RequestRefused(ErrorKind.VERSION_QUARANTINED)
        if not self._fresh and any(not v.serve_when_stale for v in allowed):
            return RequestRefused(ErrorKind.CONFIGURATION_STALE)
        return RequestRefused(ErrorKind.VERSION_WITHDRAWN)


def _hash_to_unit(text):
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64
