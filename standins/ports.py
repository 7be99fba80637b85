"""Free ports from the operating system."""

import socket


class PortPicker:
    """Allocator of free ports that returns no address twice."""

    def __init__(self):
        self._assigned = set()

    def pick(self, host):
        """Return a host:port that was free when probed."""
        while True:
            with socket.socket() as probe:
                probe.bind((host, 0))
                port = probe.getsockname()[1]
            if (host, port) not in self._assigned:
                self._assigned.add((host, port))
                return f"{host}:{port}"
