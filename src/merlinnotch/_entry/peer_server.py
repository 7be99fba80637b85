"""The server for other instances."""

from .._http import HttpServer, RequestLimits
from .._relay import RELAY_FIELD

MAX_HEADER_BYTES = 128 << 10
MAX_BODY_BYTES = 16 << 20
LIMITS = RequestLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES)
"""Above the limits that callers have, as relayed requests have met those."""


class PeerServer(HttpServer):
    """Serves the mirror's state, and the requests that peers relay.

    *relay_endpoint* is a :class:`RelayEndpoint`.
    """

    def __init__(
        self, address, state_endpoint, relay_endpoint, read_clock, record_bytes, memory
    ):
        self._relay_endpoint = relay_endpoint
        super().__init__(
            address, state_endpoint.respond, read_clock, LIMITS, record_bytes, memory
        )

    def answer(self, request, connection, remote_host):
        if request.fields.get(RELAY_FIELD) is None:
            super().answer(request, connection, remote_host)
        else:
            self._relay_endpoint.answer(request, connection, remote_host)
