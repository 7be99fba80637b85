"""Callers and upstreams that one instance reaches over a narrow link.

Run as a process of its own: ``python -m tests.gateway.linked_crowd ADDRESS LINK``, with
the instance's address and the bytes a second that its link carries. It prints the
address of an upstream behind the link, and then, for each line ``RATE BODY_BYTES
DURATION_S PATIENCE_S``, the results of so many new connections a second as JSON.
"""

import collections
import json
import sys

import eventlet
from eventlet.green import socket, time

from standins.link import Link, LinkProxy
from standins.platform_upstream import StandInUpstream, make_answer_script
from tests.platform_world import HOST, KEY, PLAIN_PATH


class LinkedCrowd:
    """Sends requests to the instance at *address* over a link of *bytes_per_s*.

    Results are counted as "served", "refused" if the instance answered 429 or 503,
    "closed" if the connection was refused, reset or closed without an answer, and
    "late".
    """

    def __init__(self, address, bytes_per_s):
        self.link = Link(bytes_per_s)
        self._upstream = StandInUpstream(make_answer_script(b"x" * 200))
        self._proxy = LinkProxy(address, self.link.inbound, self.link.outbound)
        upstreams = LinkProxy(
            self._upstream.address, self.link.outbound, self.link.inbound
        )
        self.upstream_address = upstreams.address
        self._request_count = 0

    def play(self, rate, body_bytes, duration_s, patience_s):
        """Send *rate* requests a second for *duration_s*; return their results.

        Callers give up after *patience_s*.
        """
        results = collections.Counter()
        pool = eventlet.GreenPool(10000)
        begun_at = time.monotonic()
        for number in range(int(duration_s * rate)):
            delay_s = begun_at + number / rate - time.monotonic()
            eventlet.sleep(max(0.0, delay_s))
            pool.spawn_n(self._call, body_bytes, patience_s, results)
        pool.waitall()
        return results

    def _call(self, body_bytes, patience_s, results):
        result = "late"
        with eventlet.Timeout(patience_s, False):
            result = self._send(body_bytes, patience_s)
        results[result] += 1

    def _send(self, body_bytes, patience_s):
        self._request_count += 1
        head = (
            f"POST {PLAIN_PATH}a HTTP/1.1\r\nhost: {HOST}\r\n"
            f"x-attempt-id: {self._request_count}\r\nx-credential: {KEY}\r\n"
            f"x-deadline-ms: {int(patience_s * 1000.0)}\r\n"
            f"content-length: {body_bytes}\r\nconnection: close\r\n\r\n"
        )
        try:
            host, _, port = self._proxy.address.partition(":")
            with socket.create_connection((host, int(port))) as sock:
                sock.sendall(head.encode() + bytes(body_bytes))
                answer = sock.recv(65536)
        except OSError:
            return "closed"
        if not answer:
            return "closed"
        status = int(answer.split()[1])
        if status == 200:
            return "served"
        return "late" if status == 504 else "refused"


def main():
    """Play the loads that standard input names; print their results."""
    crowd = LinkedCrowd(sys.argv[1], float(sys.argv[2]))
    print(crowd.upstream_address, flush=True)
    for line in sys.stdin:
        rate, body_bytes, duration_s, patience_s = map(float, line.split())
        results = crowd.play(rate, int(body_bytes), duration_s, patience_s)
        results["inbound_queue_ms"] = int(crowd.link.inbound.queue_s * 1000.0)
        results["outbound_queue_ms"] = int(crowd.link.outbound.queue_s * 1000.0)
        print(json.dumps(results), flush=True)


if __name__ == "__main__":
    main()
