"""HTTP/1.1 connections over green sockets, parsed strictly by h11."""

from .caller import CallerConnection, CallerRequest
from .fields import Fields
from .listener import Listener
from .pool import UpstreamPool
from .simple import PageServer
from .upstream import AnswerHead, UpstreamConnection, call

__all__ = [
    "AnswerHead",
    "CallerConnection",
    "CallerRequest",
    "Fields",
    "Listener",
    "PageServer",
    "UpstreamConnection",
    "UpstreamPool",
    "call",
]
