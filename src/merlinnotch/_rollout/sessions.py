"""Which version each session runs on."""

import hashlib

SWEEP_EVERY = 256


def place_session(session):
    """Return where *session* falls between 0 and 1, the same on every instance."""
    digest = hashlib.blake2b(session.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


class SessionBook:
    """Remembers a session's version for *keep_s* after its last request.

    Requests of one session reach any instance, so during a roll-out the
    instances tell each other the sessions that have to stay.
    """

    def __init__(self, keep_s):
        self.keep_s = keep_s
        self._versions = {}
        self._notes = 0

    def find(self, service, session, now):
        """Return the version, or None for a session not heard of lately."""
        version, until = self._versions.get((service, session), (None, 0.0))
        return version if now < until else None

    def note(self, service, session, version, now):
        """Remember that the session ran on *version* just now."""
        if session is None:
            return
        self._versions[(service, session)] = (version, now + self.keep_s)
        self._notes += 1
        if self._notes % SWEEP_EVERY == 0:
            self._sweep(now)

    def merge(self, service, session, version, left_s, now):
        """Take from a peer that the session stays on *version* for *left_s*."""
        _, until = self._versions.get((service, session), (None, 0.0))
        if now + left_s > until:
            self._versions[(service, session)] = (version, now + left_s)

    def list_kept(self, service, below, now):
        """Return (session, version, seconds left) of sessions placed *below*."""
        return [
            (session, version, until - now)
            for (name, session), (version, until) in self._versions.items()
            if name == service and until > now and place_session(session) < below
        ]

    def _sweep(self, now):
        for key, (_, until) in list(self._versions.items()):
            if until <= now:
                del self._versions[key]
