"""Pooled client connections of urllib3, with stricter checks of responses.

``http.client`` reads response heads like mail: after a line that it doesn't know the
rest of the head is dropped, and with it the length of the body.
"""

from .connections import make_pool_manager, set_read_timeout

__all__ = ["make_pool_manager", "set_read_timeout"]
