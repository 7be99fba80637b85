"""One instance in a process of its own, with stand-ins in the process of the test."""

import signal

import eventlet

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import TransportError
from soak.instances import Instance
from standins.platform_store import StandInStore
from standins.platform_upstream import (
    StandInUpstream,
    make_answer,
    write_stream,
)
from tests.crowds.processes import Crowd, limit_descriptors
from tests.crowds.usage import UsageWatch
from tests.platform_world import (
    HOST,
    KEY,
    Answer,
    Caller,
    make_configuration,
    make_routes,
    read_to_end,
    wait_until,
)

MEMORY_BYTES = 64_000_000
"""What the settings of an instance say of its memory."""
SMALL_BYTES = 2_000
SIZES = {"small": SMALL_BYTES, "medium": 60_000, "large": 3_000_000}
"""Bytes of an answer by the last part of its path."""
EVENT_BYTES = 10_000
EVENT_COUNT = 300
TIMEOUT_MS = 6000
STARTUP_S = 60.0
ANSWER_S = 60.0
"""Time in which an ordinary caller that returns has to be answered. As long as that, so
that it doesn't depend on the machine's speed."""
RETURN_DELAY_S = 0.5
CROWD_PAUSE_S = 1.5
OK = 200


class Deployment:
    """A store, an upstream of either kind and an instance, and crowds before it.

    *caller_limits* replace some limits of the configuration on what callers send.
    """

    def __init__(self, folder, descriptor_limit=None, **caller_limits):
        self._crowds = []
        self.store = StandInStore()
        self.store.put("op/config", make_crowd_configuration(caller_limits))
        self.upstreams = [
            self._add_upstream("app", answer_by_path),
            self._add_upstream("engines", stream_large),
        ]
        self.instance = Instance("one", "127.0.0.1", "zone-a", self.store, folder, 0)
        with limit_descriptors(descriptor_limit):
            self.instance.start()
        self.instance.wait_until_started(STARTUP_S)
        self.usage = UsageWatch(self.instance.process.pid)
        self.caller = Caller.__new__(Caller)
        self.caller.address = self.instance.caller_address
        self.caller.request_count = 0
        self.wait_until_answered()

    def close(self):
        """Stop the crowds, the instance and the stand-ins."""
        self.end_crowds()
        self.usage.close()
        self.instance.stop(signal.SIGKILL)
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()

    def start_crowd(self, kind, count, path="/plain/large", method="GET"):
        """Start a crowd of *count* clients of a :mod:`.crowd` kind."""
        head = make_head(path, method)
        crowd = Crowd(kind, count, self.instance.caller_address, head)
        self._crowds.append(crowd)
        return crowd

    def end_crowds(self):
        """End the processes of all crowds."""
        for crowd in self._crowds:
            crowd.close()
        self._crowds = []

    def call_for(self, duration_s):
        """Send an ordinary request now and then; print the statuses, 0 for none."""
        statuses = []
        for _ in range(round(duration_s / CROWD_PAUSE_S)):
            statuses.append(self.call())
            eventlet.sleep(CROWD_PAUSE_S)
        print("ordinary callers:", statuses, "peak:", self.usage.peak)

    def call(self, path="/plain/small"):
        """Send one ordinary request; return the status, 0 without a whole answer."""
        try:
            with self.caller.open() as sock:
                request = self.caller.encode(path, x_deadline_ms="5000")
                sock.sendall(request)
                answer = Answer(read_to_end(sock))
        except (OSError, TransportError):
            return 0
        return answer.status if answer.is_complete else 0

    def wait_until_answered(self, path="/plain/small"):
        """Send ordinary requests until one is answered; raises TimeoutError."""
        until = read_clock() + ANSWER_S
        while self.call(path) != OK:
            if read_clock() > until:
                raise TimeoutError("no ordinary request answered")
            eventlet.sleep(RETURN_DELAY_S)

    def wait_until_ended(self, wait_s):
        """Return the exit code of the instance; raises TimeoutError."""
        wait_until(lambda: self.instance.process.poll() is not None, wait_s)
        return self.instance.process.poll()

    def _add_upstream(self, service, script):
        upstream = StandInUpstream(script)
        entry = {
            "service": service,
            "address": upstream.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 1000,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 0,
        }
        self.store.put(f"servers/i-{service}", entry)
        return upstream


def make_crowd_configuration(caller_limits):
    """Return a configuration whose routes leave time for large answers.

    *caller_limits* replace some limits on what callers send.
    """
    routes = [route | {"timeout-ms": TIMEOUT_MS} for route in make_routes()]
    services = [
        service | {"max-conns": 1000} for service in make_configuration(1)["services"]
    ]
    document = make_configuration(1, routes=routes, services=services)
    return document | {"limits": document["limits"] | caller_limits}


def make_head(path, method):
    """Return a request's head without its end."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"host: {HOST}",
        "x-attempt-id: crowd",
        f"x-credential: {KEY}",
        "x-deadline-ms: 6000",
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


def answer_by_path(request, write):
    """Script that answers with as many bytes as the path asks for."""
    size = SIZES.get(request.target.rpartition("/")[2], SMALL_BYTES)
    write(make_answer(request, bytes(size)))
    return True


def stream_large(request, write):
    """Script that streams large events."""
    data = b"x" * EVENT_BYTES
    events = [(n, b"id: %d\ndata: %s\n\n" % (n, data)) for n in range(1, EVENT_COUNT)]
    return write_stream(request, write, events)
