"""Callers that open more connections than one instance can serve.

Run as a process of its own: ``python -m tests.gateway.crowd ADDRESS RATE SECONDS``.
"""

import collections
import json
import sys

import eventlet
from eventlet.green import socket, time

from tests.platform_world import HOST, KEY, PLAIN_PATH

PATIENCE_S = 1.0
"""Time after which a caller gives up."""
REQUEST = (
    f"GET {PLAIN_PATH}a HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: %d\r\n"
    f"x-credential: {KEY}\r\nx-deadline-ms: 1000\r\nconnection: close\r\n\r\n"
)


class Crowd:
    """Sends *rate* requests a second to *address*, each on a new connection.

    *results* counts them by result: "served", "refused" if the instance answered 429 or
    503, "closed" if it closed or reset the connection without an answer, and "late".
    """

    def __init__(self, address, rate):
        host, _, port = address.partition(":")
        self._address = (host, int(port))
        self._rate = rate
        self.results = collections.Counter()

    def play(self, duration_s):
        """Send requests for *duration_s* seconds and wait for their results."""
        pool = eventlet.GreenPool(10000)
        begun_at = time.monotonic()
        for number in range(int(duration_s * self._rate)):
            delay_s = begun_at + number / self._rate - time.monotonic()
            if delay_s > 0.0:
                eventlet.sleep(delay_s)
            pool.spawn_n(self._call, number)
        pool.waitall()

    def _call(self, number):
        result = "late"
        with eventlet.Timeout(PATIENCE_S, False):
            result = self._send(REQUEST % number)
        self.results[result] += 1

    def _send(self, request):
        try:
            sock = socket.create_connection(self._address)
            with sock:
                sock.sendall(request.encode())
                answer = sock.recv(65536)
        except OSError:
            return "closed"
        if not answer:
            return "closed"
        return "served" if answer.split()[1] == b"200" else "refused"


def main():
    """Play the crowd of the command line; print its results."""
    crowd = Crowd(sys.argv[1], float(sys.argv[2]))
    crowd.play(float(sys.argv[3]))
    print(json.dumps(crowd.results))


if __name__ == "__main__":
    main()
