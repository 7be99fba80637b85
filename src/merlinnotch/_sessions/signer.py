"""Signing and verification of session tokens."""

from itsdangerous import BadSignature, URLSafeSerializer

from .._errors import ErrorKind, RequestRefused
from .session import Session

SALT = "merlinnotch.session.1"
MAX_TOKEN_CHARS = 2048


class SessionSigner:
    """Signs with the first of *keys* and accepts all of them, for key rotation."""

    def __init__(self, keys):
        # itsdangerous signs with the last key of a list.
        self._serializer = URLSafeSerializer(list(reversed(keys)), salt=SALT)

    def sign(self, session):
        """Return the signed token of *session*."""
        return self._serializer.dumps([session.id, session.team, *session.pins])

    def check(self, token, team):
        """Return the :class:`Session` of *token*.

        Raises :class:`RequestRefused` (bad_session) if the token is invalid or belongs
        to another team.
        """
        if len(token) > MAX_TOKEN_CHARS:
            raise RequestRefused(ErrorKind.BAD_SESSION)
        try:
            session_id, token_team, *pins = self._serializer.loads(token)
        except (BadSignature, ValueError, TypeError) as error:
            raise RequestRefused(ErrorKind.BAD_SESSION) from error
        if token_team != team:
            raise RequestRefused(ErrorKind.BAD_SESSION)
        return Session(session_id, token_team, tuple(pins))
