"""Stand-in of a plain service that counts the runs of each request id.

``PUT /standin/switches`` changes its behaviour:

``silent``   run the request and never answer
``slow_ms``  delay before the reply
``fail``     run the request and answer 500
``leaving``  reject new requests and report 410 for the load
``large_bytes``  size of the answers to paths that end in ``/large``

``GET /standin/state`` returns the number of runs of each request id.
"""

from standins.server import HANG_S, Reply, change_switches, serve

import argparse
import collections
from dataclasses import dataclass

import eventlet


@dataclass
class Switches:
    """Faults to simulate."""

    silent: bool = False
    slow_ms: float = 0.0
    fail: bool = False
    leaving: bool = False
    large_bytes: int = 0


class Service:
    """Request handler and state of the service."""

    def __init__(self, name):
        self.name = name
        self.switches = Switches()
        self.runs = collections.Counter()
        self.running = 0

    def handle(self, request):
        """Return the reply to *request*."""
        if request.path == "/standin/switches":
            return change_switches(self.switches, request)
        if request.path == "/standin/state":
            return Reply({"runs": dict(self.runs)})
        if request.path == "/load":
            status = 410 if self.switches.leaving else 200
            return Reply({"running": self.running, "waiting": 0, "slots": 64}, status)
        return self._run(request)

    def _run(self, request):
        request_id = request.headers.get("X_REQUEST_ID", "")
        headers = {"X-Request-Id": request_id}
        if self.switches.leaving:
            headers["X-Not-Run"] = "leaving"
            return Reply({"error": "leaving"}, 503, headers)
        self.runs[request_id] += 1
        self.running += 1
        try:
            if self.switches.slow_ms:
                eventlet.sleep(self.switches.slow_ms / 1000)
            if self.switches.silent:
                eventlet.sleep(HANG_S)
        finally:
            self.running -= 1
        if self.switches.fail:
            return Reply({"error": "failed"}, 500, headers)
        if request.path.endswith("/large"):
            return Reply(bytes(self.switches.large_bytes), 200, headers)
        answer = {"service": self.name, "run": self.runs[request_id]}
        return Reply({**answer, "path": request.path}, 200, headers)


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    options = parser.parse_args()
    serve(options.address, Service(options.id).handle)


if __name__ == "__main__":
    main()
