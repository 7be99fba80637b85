"""The capacity of a service and how much of it is taken."""

import math
from dataclasses import dataclass

MAX_REPORT_AGE_S = 1.0
"""Reports are up to this old in normal operation, and then still taken as they are:
other instances go on sending as they did."""
OLD_REPORT_HALF_LIFE_S = 1.0
"""Half-life of the requests of others in an older report. Without it an instance that
refuses everything would never learn that capacity is free again."""
MIN_WORK_S = 0.0001
"""Smallest work time; bounds the rate where the work time is not known."""


@dataclass(frozen=True)
class ServiceRoom:
    """The room that one instance sees at the usable upstreams of a service.

    *slots* is how many requests they run at once, *running* and *waiting* how many
    requests of all instances they are estimated to run and to hold in their queues.
    *work_s* is the mean seconds of work on a request, *per_s* how many requests a
    second they complete when all slots are taken. *wait_s* is the shortest wait for a
    slot at any of them. *age_s* is the age of the newest report; it is infinite if
    there is none.
    """

    slots: float
    running: float
    waiting: float
    work_s: float
    per_s: float
    wait_s: float
    age_s: float

    def is_known(self):
        """Return whether there are a report and slots."""
        figures = (self.age_s, self.per_s, self.slots, self.work_s)
        return (
            all(math.isfinite(figure) and figure >= 0.0 for figure in figures)
            and min(self.per_s, self.slots) > 0.0
            and 0.0 <= self.wait_s < math.inf
            and 0.0 <= self.waiting < math.inf
            and 0.0 <= self.running < math.inf
        )


def estimate_room(upstreams, loads, work_times, now):
    """Return the :class:`ServiceRoom` of the usable *upstreams* of one service.

    *loads* is a :class:`LoadTable`, *work_times* a :class:`WorkTimes`.
    """
    slots = running = waiting = per_s = 0.0
    wait_s = age_s = math.inf
    for upstream in upstreams:
        load = loads.get(upstream)
        work_s = work_times.estimate_s(upstream, now)
        work_s *= work_times.get_pace(upstream, now)
        if not load.reachable or upstream.slots <= 0:
            continue
        requests = _estimate_requests(load, now)
        running_here = min(requests, upstream.slots)
        queued = max(0.0, requests + 1.0 - upstream.slots)
        slots += upstream.slots
        running += running_here
        waiting += requests - running_here
        per_s += upstream.slots / max(MIN_WORK_S, work_s)
        wait_s = min(wait_s, queued * work_s / upstream.slots)
        age_s = min(age_s, max(0.0, now - load.reported_at))
    work_s = slots / per_s if per_s else 0.0
    return ServiceRoom(slots, running, waiting, work_s, per_s, wait_s, age_s)


def _estimate_requests(load, now):
    """Return the requests at an upstream: those reported, and own ones since."""
    age_s = max(0.0, now - load.reported_at - MAX_REPORT_AGE_S)
    weight = 0.5 ** (age_s / OLD_REPORT_HALF_LIFE_S)
    others = max(0, load.running + load.waiting - load.in_flight_at_report)
    return load.in_flight + others * weight
