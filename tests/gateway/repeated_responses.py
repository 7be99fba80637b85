"""Upstreams that repeat responses, and checks of what becomes of the requests."""

import collections
import weakref

from standins.platform_upstream import make_answer
from tests.platform_world import ONCE_PATH, wait_until

NOT_RUN = ("x-not-executed", "1")
NOT_RUN_STATUSES = (408, 421, 429, 503)


class RepeatingScript:
    """Script that runs each request and sends *response* before its answer.

    It does so on connections that have had an answer, *count* times. *response* may be
    a function of the attempt id. *runs* counts the runs by attempt id.
    """

    def __init__(self, response, count=1):
        self.runs = collections.Counter()
        self._count = count
        self._response = response
        self._used_connections = weakref.WeakSet()

    def __call__(self, request, write):
        attempt_id = request.fields.get("x-attempt-id")
        self.runs[attempt_id] += 1
        connection = write.__self__
        if connection in self._used_connections:
            response = self._response
            if callable(response):
                response = response(attempt_id)
            write(response * self._count)
        self._used_connections.add(connection)
        write(make_answer(request))
        return True


def make_response(attempt_id, status=200, extra=()):
    """Return the bytes of a response, without an id if *attempt_id* is None."""
    pairs = [("content-length", "0"), ("x-server-seal", "s"), *extra]
    if attempt_id is not None:
        pairs.append(("x-attempt-id", attempt_id))
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in pairs]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_answer_with_id(attempt_id, body):
    """Return the bytes of a successful response with a body."""
    head, _, _ = make_response(attempt_id).partition(b"\r\n\r\n")
    head = head.replace(b"content-length: 0", b"content-length: %d" % len(body))
    return head + b"\r\n\r\n" + body


def send_each(caller, count):
    """Send *count* requests with ids of their own; return the responses by id."""
    return {
        f"id-{n}": caller.send(ONCE_PATH, "POST", b"x", x_attempt_id=f"id-{n}")
        for n in range(count)
    }


def add_pair(world, response):
    """Add two upstreams that repeat *response*; return their runs, summed later."""
    scripts = [RepeatingScript(response) for _ in range(2)]
    for number, script in enumerate(scripts):
        world.add_upstream(f"i-{number}", script)
    view = world.add_instance().view
    wait_until(lambda: len(view.list_upstreams("app")) == len(scripts))
    return scripts


def check_promises(scripts, responses):
    """Check that no request ran twice, and that none ran that was refused."""
    runs = sum((script.runs for script in scripts), collections.Counter())
    assert [i for i, count in runs.items() if count > 1] == []
    refused = [i for i, r in responses.items() if r.status in NOT_RUN_STATUSES]
    assert [i for i in refused if runs[i]] == []
