"""How long upstreams work on a request, learned from their responses."""

import math
from dataclasses import dataclass

SAMPLE_WEIGHT = 0.2
"""Weight of the newest response in the mean of a start."""
FORGET_HALF_LIFE_S = 2.0
"""Half-life of what distinguishes a start from its service without new responses, so
that a slow one that recovers is tried again within seconds."""
PACE_HALF_LIFE_S = 0.3
"""Half-life of a reported pace: what else a machine runs changes several times a
second."""
MAX_PACE = 10.0
MAX_WORK_S = 60.0
MIN_WORK_S = 0.0001


@dataclass
class _Start:
    """One start; *ratio* is its mean work time, relative to its service's."""

    ratio: float = 1.0
    sampled_at: float = -math.inf
    pace: float = 1.0
    paced_at: float = -math.inf


class WorkTimes:
    """Mean work time by start and by service, in seconds.

    A work time is the time between request and response without the wait in the
    upstream's queue.
    """

    def __init__(self):
        self._starts = {}
        self._services = {}

    def record(self, upstream, work_s, now):
        """Add a response of *upstream* that took *work_s* seconds of work."""
        work_s = min(MAX_WORK_S, max(MIN_WORK_S, work_s))
        usual_s = self._services.get(upstream.service, work_s)
        usual_s += SAMPLE_WEIGHT * 0.25 * (work_s - usual_s)
        self._services[upstream.service] = usual_s
        start = self._starts.setdefault(upstream.start, _Start())
        ratio = _decay(start.ratio, now - start.sampled_at, FORGET_HALF_LIFE_S)
        start.ratio = ratio + SAMPLE_WEIGHT * (work_s / usual_s - ratio)
        start.sampled_at = now

    def record_pace(self, upstream, pace, now):
        """Record the *pace* that the machine of *upstream* reports, 1 for usual."""
        start = self._starts.setdefault(upstream.start, _Start())
        start.pace = min(MAX_PACE, max(1.0 / MAX_PACE, pace))
        start.paced_at = now

    def get_usual_s(self, service):
        """Return the mean work time of *service*, 0 if there is no response yet."""
        return self._services.get(service, 0.0)

    def get_pace(self, upstream, now):
        """Return the pace of *upstream*; a report decays towards 1."""
        start = self._starts.get(upstream.start)
        if start is None:
            return 1.0
        return _decay(start.pace, now - start.paced_at, PACE_HALF_LIFE_S)

    def estimate_s(self, upstream, now):
        """Return the expected work time at *upstream*, 0 if nothing is known."""
        usual_s = self.get_usual_s(upstream.service)
        start = self._starts.get(upstream.start)
        if start is None:
            return usual_s
        ratio = _decay(start.ratio, now - start.sampled_at, FORGET_HALF_LIFE_S)
        return usual_s * ratio

    def drop(self, upstream_start):
        """Drop a removed start, an :class:`UpstreamStart`."""
        self._starts.pop(upstream_start, None)


def _decay(value, age_s, half_life_s):
    """Return *value* after *age_s* seconds of decay towards 1."""
    return 1.0 + (value - 1.0) * 0.5 ** (max(0.0, age_s) / half_life_s)
