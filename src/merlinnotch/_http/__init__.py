"""HTTP/1.1 connections over green sockets, parsed by h11 with stricter checks."""

from .caller import CallerConnection, CallerRequest
from .fields import Fields
from .idle import IdleState
from .listener import Listener
from .pool import UpstreamPool
from .server import HttpServer, RequestLimits
from .upstream import Framing, ResponseHead, UpstreamConnection, call, join_parts

__all__ = [
    "CallerConnection",
    "CallerRequest",
    "Fields",
    "Framing",
    "HttpServer",
    "IdleState",
    "Listener",
    "RequestLimits",
    "ResponseHead",
    "UpstreamConnection",
    "UpstreamPool",
    "call",
    "join_parts",
]
