"""The facade of admission."""

import random

from .decisions import Admit, Wait
from .policy import RankThresholds
from .queue import WaitingQueue, WaitingRequest
from .service import ServiceAdmission

MAX_WAIT_S = 0.05
"""Longest wait at the instance. Refusals must be sent within 50 ms, and a request that
waited may still be refused."""
ADMIT = Admit()


class AdmissionController:
    """Decides on the requests of all services at one instance.

    It does no I/O. *policy* is an :class:`AdmissionPolicy`.
    """

    def __init__(self, policy=None, generator=random):
        self._policy = policy or RankThresholds()
        self._generator = generator
        self._services = {}
        self._queue = WaitingQueue()

    def decide(self, request, room, demand, now):
        """Return :class:`Admit`, :class:`Wait` or :class:`Refuse` for a new request.

        A request that waits is queued. *room* is a :class:`ServiceRoom`, *demand* a
        :class:`ServiceDemand`.
        """
        service = self._get_service(request.service)
        if not room.is_known():
            return ADMIT
        if not _is_in_time(request, room, now):
            service.update(room, demand, now)
            return service.refuse(request, room, now, "too late")
        if service.has_free_room(room, now):
            service.record_admitted(now)
            return ADMIT
        service.update(room, demand, now)
        is_over = service.is_over_share(request)
        if service.admits(request.rank, is_over):
            service.record_admitted(now)
            return ADMIT
        if is_over:
            # Unused rate is left to teams within their shares.
            return service.refuse(request, room, now, "above the team's share")
        return self._hold_back(service, request, is_over, room, now)

    def poll(self, service, room, demand, now):
        """Return (request id, decision) of the queued requests that are decided."""
        state = self._get_service(service)
        if room.is_known():
            state.update(room, demand, now)
        decisions = [
            (entry.id, state.refuse(entry.request, room, now, "queue full"))
            for entry in self._queue.pop_evicted(service)
        ]
        for entry in self._queue.list_service(service):
            decision = self._decide_waiting(state, entry, room, now)
            if decision is not None:
                self._queue.remove(entry.id)
                decisions.append((entry.id, decision))
        return decisions

    def book_return(self, request, room, demand, now):
        """Return the seconds until the caller of a request that was shed should return.

        For admitted requests that all upstreams shed, which the gateway refuses.
        """
        service = self._get_service(request.service)
        if room.is_known():
            service.update(room, demand, now)
        return service.book_return(request.rank, now)

    def remove(self, request_id):
        """Drop a request whose caller has left; return whether it waited."""
        return self._queue.remove(request_id)

    def record_shed(self, service, now):
        """Record that an upstream of *service* refused a request for want of room."""
        self._get_service(service).record_shed(now)

    def has_waiting(self, service):
        """Return whether a request for *service* waits."""
        return self._queue.has_service(service)

    def _get_service(self, name):
        service = self._services.get(name)
        if service is None:
            service = ServiceAdmission(self._policy, self._generator)
            self._services[name] = service
        return service

    def _hold_back(self, service, request, is_over, room, now):
        """Queue *request* if it can be sent soon, otherwise refuse it."""
        until = _get_wait_end(request, room, now)
        entry = WaitingRequest(
            request.rank, is_over, request.arrived_at, request.id, request, until
        )
        wait_s = service.estimate_wait_s(
            request.rank, is_over, self._queue.count_ahead(entry)
        )
        if now + wait_s >= until:
            return service.refuse(request, room, now, "no room in time")
        if wait_s <= 0.0:
            service.record_admitted(now)
            return ADMIT
        if not self._queue.push(entry):
            return service.refuse(request, room, now, "queue full")
        return Wait(until)

    def _decide_waiting(self, service, entry, room, now):
        """Return the decision on a waiting request, or None if it waits on."""
        if not room.is_known() or service.has_free_room(room, now):
            service.record_admitted(now)
            return ADMIT
        if now >= entry.until or not _is_in_time(entry.request, room, now):
            return service.refuse(entry.request, room, now, "waited in vain")
        if service.has_token(entry.rank, entry.is_over):
            service.record_admitted(now)
            return ADMIT
        return None


def _is_in_time(request, room, now):
    """Return whether *request* can be completed before its deadline."""
    return now + room.wait_s + room.work_s <= request.deadline


def _get_wait_end(request, room, now):
    """Return until when *request* may wait.

    It must then be complete by its latency goal, or if that can't be met, by its
    deadline.
    """
    needed_s = room.wait_s + room.work_s
    end = request.goal_at - needed_s
    if end <= now:
        end = request.deadline - needed_s
    return min(end, now + MAX_WAIT_S)
