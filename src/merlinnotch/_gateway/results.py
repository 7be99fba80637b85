"""What is learned from answers: of upstreams, of versions, of the engines' pace."""

from .._fleet import RolloutState
from .._rollout import TallyKey, TimeKey, band_load, band_time, name_route

MIN_PACED_EVENTS = 4
"""A stream is judged by the time between its first events as soon as there are
this many: one that is eight times slower takes 30 s to its end, longer than the
roll-out that its version has to be judged in."""


class ResultNoter:
    """Hands what came of each send to those who decide by it."""

    def __init__(self, parts):
        self._parts = parts
        self._read_clock = parts.read_clock

    def note_broken(self, call, upstream, now):
        """Count a send that broke off or was given up."""
        self._parts.loads.get(upstream).note_failure(now)
        self._tally(call, upstream, bad=True)

    def note_gap(self, call, attempt, seconds):
        """Learn from the time between two events how busy the engine is."""
        parts = self._parts
        now = self._read_clock()
        slowdown = parts.gaps.note(call.model, seconds, now)
        load = parts.loads.get(attempt.upstream)
        load.note_slowdown(slowdown, now)
        parts.news.tell_slowdown(attempt.upstream, load.slowdown)
        if not attempt.is_judged and attempt.events >= MIN_PACED_EVENTS:
            self._judge(call, attempt)

    def note_answer(self, call, attempt, failed):
        """Count a whole answer for its upstream and its version."""
        now = self._read_clock()
        load = self._parts.loads.get(attempt.upstream)
        load.note_answer(now - attempt.started_at)
        if failed:
            load.note_failure(now)
        else:
            load.note_success(now)
        if failed:
            self._tally(call, attempt.upstream, True, attempt.note.running)
        elif not attempt.is_judged:
            self._judge(call, attempt)

    def _judge(self, call, attempt):
        """Count a good answer, and how long it took, for its version."""
        attempt.is_judged = True
        running = attempt.note.running
        self._tally(call, attempt.upstream, False, running)
        order = self._get_active_order(call.service)
        kind, seconds = _measure_time(call, attempt, self._read_clock())
        key = TimeKey(
            call.service,
            attempt.upstream.version,
            name_route(call.route.name, running, attempt.upstream.slots),
            order.index if order else 0,
            kind,
            band_load(running),
            band_time(seconds),
        )
        if order:
            self._parts.counts.note_time(key)
        else:
            self._parts.counts.keep_time(key)

    def _tally(self, call, upstream, bad, running=None):
        order = self._get_active_order(call.service)
        if order:
            route = name_route(call.route.name, running, upstream.slots)
            key = TallyKey(call.service, upstream.version, route, order.index)
            self._parts.counts.tallies.note(key, bad)

    def _get_active_order(self, service):
        rollout = self._parts.view.get_rollout(service)
        return rollout.order if rollout.state is RolloutState.ACTIVE else None


def _measure_time(call, attempt, now):
    """Return the kind of answers that are alike, and the time that is compared.

    Streams are compared by the time between events, which prompts and queues
    hardly change, those with few events by the time to the head. Larger models
    write up to ten times slower: where most streams are theirs, a small one that is
    several times too slow would look usual beside them.
    """
    if not call.route.repeat.streams:
        return f"whole/{call.route.name}", now - attempt.started_at
    if attempt.events >= MIN_PACED_EVENTS:
        gap_s = (attempt.last_at - attempt.first_at) / (attempt.events - 1)
        return f"gap/{call.model}", gap_s
    return f"head/{call.route.name}/{call.model}", attempt.waited_s
