"""Requests in progress, which can be ended with an answer."""

import eventlet

from .._errors import ErrorKind, Outcome, RequestRefused


class RunningRequests:
    """The requests in progress and the tasks that answer them.

    Each is known by its reply, which says whether it may be refused.
    """

    def __init__(self):
        self._tasks_by_reply = {}

    def add(self, reply):
        """Record that the current task begins to answer a request with *reply*."""
        self._tasks_by_reply[reply] = eventlet.getcurrent()

    def remove(self, reply):
        """Record that *reply* has ended."""
        self._tasks_by_reply.pop(reply, None)

    def interrupt(self):
        """Refuse the requests that wait for something else than their caller.

        Each task gets a :class:`RequestRefused`, as if its last attempt had failed.
        """
        for reply, task in list(self._tasks_by_reply.items()):
            if reply.can_be_refused:
                eventlet.kill(task, _build_refusal(reply.call))


def _build_refusal(call):
    if not call.may_have_been_sent:
        return RequestRefused(ErrorKind.SHUTTING_DOWN)
    detail = "The instance ends while the upstream is at work."
    return RequestRefused(ErrorKind.UPSTREAM_SILENT, detail, Outcome.UNKNOWN)
