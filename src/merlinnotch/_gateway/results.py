"""What is learned from answers: of upstreams, of versions, of the engines' pace."""

from .._fleet import RolloutState
from .._rollout import TallyKey

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
            self._tally(call, attempt.upstream, bad=True)
        elif not attempt.is_judged:
            self._judge(call, attempt)

    def _judge(self, call, attempt):
        attempt.is_judged = True
        slow = self._is_slow(call, attempt, self._read_clock())
        self._tally(call, attempt.upstream, bad=False, slow=slow)

    def _is_slow(self, call, attempt, now):
        """Return whether the answer took much longer than its like.

        Streams are judged by the time between events, which prompts and queues
        hardly change, those with few events by the time to the head.
        """
        rollout = self._parts.view.get_rollout(call.service)
        if not call.route.repeat.streams:
            seconds = now - attempt.started_at
            kind = (call.service, "whole", call.route.name)
        elif attempt.events >= MIN_PACED_EVENTS:
            seconds = (attempt.last_at - attempt.first_at) / (attempt.events - 1)
            # Larger models write up to ten times slower: where most streams are
            # theirs, a small one that is several times too slow looks usual.
            kind = (call.service, "gap", call.model)
        else:
            seconds = attempt.waited_s
            kind = (call.service, "head", call.model)
        order = rollout.order
        is_new = order is not None and order.target == attempt.upstream.version
        return self._parts.speeds.note(kind, seconds, is_new)

    def _tally(self, call, upstream, bad, slow=False):
        rollout = self._parts.view.get_rollout(call.service)
        if rollout.state is RolloutState.ACTIVE:
            order = rollout.order.index
            key = TallyKey(call.service, upstream.version, call.route.name, order)
            self._parts.tallies.note(key, bad, slow)
