"""Sessions that live in the caller's hand."""

from .session import Session
from .signer import SessionSigner

__all__ = ["Session", "SessionSigner"]
