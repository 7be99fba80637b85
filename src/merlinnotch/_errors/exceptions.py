"""Exception classes."""

from .outcomes import Outcome
from .responses import get_error_response


class MerlinnotchError(Exception):
    """Base class of the package's exceptions."""


class InvalidSettings(MerlinnotchError):
    """A settings file is unreadable or invalid; *problems* lists the reasons."""

    def __init__(self, problems):
        super().__init__("\n".join(problems))
        self.problems = tuple(problems)


class ConfigurationError(MerlinnotchError):
    """Base class of errors in configuration files and revisions."""


class ConfigurationInvalid(ConfigurationError):
    """Configuration files are invalid; *problems* lists the reasons."""

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class RevisionConflict(ConfigurationError):
    """Another revision was applied first; *revision* is the number of that revision."""

    def __init__(self, revision, author):
        super().__init__(f"revision {revision} by {author} was applied first")
        self.revision = revision
        self.author = author


class StoreError(MerlinnotchError):
    """Base class of errors of the platform's key-value store."""


class StoreUnavailable(StoreError):
    """The store gave no definite reply; a write may have succeeded or still succeed."""


class StoreConflict(StoreError):
    """The comparison of a compare-and-swap failed; nothing was written."""


class RequestRefused(MerlinnotchError):
    """A caller's request failed or was rejected.

    *kind* is an :class:`ErrorKind`. *detail* replaces the default message of that kind
    if not empty. *outcome* is whether the request may have run. *retry_after_s*
    overrides the delay in seconds of the :class:`ErrorResponse` if not None. With
    *is_delay_fixed* the caller gets exactly that delay.
    """

    def __init__(
        self,
        kind,
        detail="",
        outcome=Outcome.NOT_RUN,
        retry_after_s=None,
        is_delay_fixed=False,
    ):
        super().__init__(detail or get_error_response(kind).message)
        self.kind = kind
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.is_delay_fixed = is_delay_fixed


class TransportError(MerlinnotchError):
    """Base class of errors of a single connection."""


class ConnectFailed(TransportError):
    """A connection could not be opened; nothing was sent."""


class ConnectRefused(ConnectFailed):
    """The host refused the connection: nothing listens at the address."""


class ConnectionBroken(TransportError):
    """An open connection was reset, timed out or was closed too early."""


class ConnectionTimedOut(ConnectionBroken):
    """Nothing was received on an open connection within the timeout."""


class PathLost(ConnectionBroken):
    """Sent bytes were not acknowledged: the path to the host, or the host, is down."""


class ResponseTooLong(ConnectionBroken):
    """A response goes on beyond what its request can have asked for.

    What was delivered of it is worthless, so that nothing may be appended to it.
    """


class MemoryExhausted(ConnectionBroken):
    """There is no memory for more of a request or response that is arriving."""


class MalformedMessage(TransportError):
    """The peer sent a message that is invalid or can't be forwarded.

    *status* is the HTTP status of the response if the peer is a caller.
    """

    def __init__(self, reason, status=400):
        super().__init__(reason)
        self.status = status


class CallerDisconnected(TransportError):
    """The caller closed its connection before it got the whole response."""


class ChangesExpired(StoreError):
    """The store no longer keeps all changes since the given index.

    The reader has to read the full state again.
    """
