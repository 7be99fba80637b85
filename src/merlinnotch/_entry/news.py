"""Tells the other instances which prompts were sent where."""

from .datagrams import MessageKind

MIN_MS = 30.0
"""Shorter prompts are not worth a message to eight instances; in a larger fleet
the bound grows with it, so that what one instance hears stays the same."""
FLEET = 8


class WorkNews:
    """Sends and receives (upstream, milliseconds).

    A lost message does no harm. *note_work* is called with each one received.
    """

    def __init__(self, port, name, view, note_work):
        self._port = port
        self._name = name
        self._view = view
        self._note_work = note_work
        port.handle(MessageKind.WORK, self._take)

    def tell(self, upstream_id, reading_ms):
        """Tell all peers of a prompt that was sent to an upstream."""
        peers = self._view.peers
        if reading_ms < MIN_MS * max(1.0, len(peers) / FLEET):
            return
        others = [p.address for p in peers.values() if p.name != self._name]
        self._port.send(MessageKind.WORK, [upstream_id, int(reading_ms)], others)

    def _take(self, body):
        upstream_id, reading_ms = body
        self._note_work(upstream_id, float(reading_ms))
