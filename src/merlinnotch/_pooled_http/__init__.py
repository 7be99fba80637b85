"""Pooled client connections of urllib3, with stricter checks of responses.

``http.client`` reads response heads like mail: after a line that it doesn't know the
rest of the head is dropped, and with it the length of the body. Neither it nor urllib3
limits how long a response may be.
"""

from .calls import EndlessResponse, Reply, read_body, send_call
from .connections import make_pool_manager, set_read_timeout

__all__ = [
    "EndlessResponse",
    "Reply",
    "make_pool_manager",
    "read_body",
    "send_call",
    "set_read_timeout",
]
