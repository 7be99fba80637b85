"""A pool of upstreams that crash on certain requests."""

import itertools

import eventlet

from standins.platform_upstream import StandInUpstream, make_answer, write_stream

POISON = b"poison"
RESTART_DELAY_S = 0.3
"""Time from the end of an upstream to the start of its replacement."""
DEADLY_PART = "dead0001"


def has_poison_body(request):
    """Return whether the body of *request* is :data:`POISON`."""
    return request.body == POISON


def has_deadly_part(request):
    """Return whether :data:`DEADLY_PART` is a shared part of the prompt."""
    entries = request.fields.get("x-prompt-prefix", "").split(",")
    return DEADLY_PART in [entry.partition(":")[0] for entry in entries[:-1]]


class FragilePool:
    """A pool of *size* upstreams of *service*, registered in the world's store.

    A request for which *is_deadly* returns true crashes its upstream, *crash_s* after
    the upstream began to answer. A replacement with a new id then starts. *reached*
    lists the ids of the upstreams that received such a request, in order, *crashed*
    those that ended. Other requests are answered after *work_s*, streams with that
    pause after each event.
    """

    def __init__(
        self,
        world,
        service,
        size=4,
        work_s=0.0,
        crash_s=0.0,
        is_deadly=has_poison_body,
        restart_s=RESTART_DELAY_S,
    ):
        self._world = world
        self._service = service
        self._work_s = work_s
        self._crash_s = crash_s
        self.is_deadly = is_deadly
        self._restart_s = restart_s
        self._numbers = itertools.count(1)
        self.reached = []
        self.crashed = []
        for _ in range(size):
            self._start_upstream()

    def _start_upstream(self):
        upstream_id = f"{self._service}-{next(self._numbers)}"
        upstream = StandInUpstream(None)

        def script(request, write):
            return self._run(upstream_id, upstream, request, write)

        upstream.script = script
        self._world.upstreams[upstream_id] = upstream
        self._world.list_upstream(upstream_id, self._service, upstream.address)

    def _run(self, upstream_id, upstream, request, write):
        is_stream = self._service == "engines"
        if not self.is_deadly(request):
            return self._answer(request, write, is_stream)
        self.reached.append(upstream_id)
        if is_stream:
            first = _find_first_missing(request)
            events = _make_events(first, first + 1)
            write_stream(request, write, events, first + 1, pause_s=self._crash_s)
        self.crash(upstream_id)
        return False

    def crash(self, upstream_id):
        """End an upstream, unless it has ended, and start its replacement later."""
        if upstream_id not in self.crashed:
            self.crashed.append(upstream_id)
            self._world.upstreams[upstream_id].crash()
            eventlet.spawn_n(self._replace, upstream_id)

    def _answer(self, request, write, is_stream):
        if is_stream:
            events = _make_events(_find_first_missing(request), 4)
            return write_stream(request, write, events, pause_s=self._work_s)
        eventlet.sleep(self._work_s)
        write(make_answer(request))
        return True

    def _replace(self, upstream_id):
        eventlet.sleep(self._restart_s)
        self._world.store.delete(f"servers/{upstream_id}")
        self._start_upstream()


def _find_first_missing(request):
    """Return the number of the first event that the caller hasn't received."""
    return int(request.fields.get("last-event-id", 0)) + 1


def _make_events(first, last):
    ids = range(first, last + 1)
    return [(number, b"id: %d\ndata: piece\n\n" % number) for number in ids]
