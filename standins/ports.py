"""Free ports from the operating system."""

import socket


class PortPicker:
    """Hands out ports that were free, none of them twice."""

    def __init__(self):
        self._given = set()

    def pick(self, host):
        """Return a host:port that was free a moment ago."""
        while True:
            with socket.socket() as probe:
                probe.bind((host, 0))
                port = probe.getsockname()[1]
            if (host, port) not in self._given:
                self._given.add((host, port))
                return f"{host}:{port}"
