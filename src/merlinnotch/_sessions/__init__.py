"""Sessions whose state is kept by the caller, in a signed token."""

from .session import Session
from .signer import SessionSigner

__all__ = ["Session", "SessionSigner"]
