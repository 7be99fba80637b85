"""Admission of calls before their first send, and the wait of those admitted later."""

import itertools
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event

from .._admission import AdmissionRequest, Admit, Refuse, Wait
from .._errors import ErrorKind, RequestRefused
from .._placement import Feature
from .admission import update_call
from .admission_log import AdmissionInputs, log_decision
from .blocking import find_block
from .call import MIN_REMAINING_S
from .targets import choose_model, choose_target, has_service

POLL_INTERVAL_S = 0.01
"""Time between two looks at the requests that wait."""
LATE_POLL_S = 0.05
"""How long after its end a wait ends without a decision of the controller. The margin
covers polls that come late on a busy machine."""
EXPIRED_RETRY_AFTER_S = 0.6
"""Retry-After of a call whose wait ended without a decision: the time in which an
overload usually ends."""
STOPPING_RETRY_AFTER_S = 0.5
"""Retry-After at a shutdown: other instances may serve the caller at once."""


@dataclass
class _Waiter:
    """A call that waits. *inputs* are those of the latest decision on it.

    *decided* is sent an :class:`Admit` or a :class:`Refuse`, or an exception.
    """

    call: object
    inputs: AdmissionInputs
    decided: Event = field(default_factory=Event)

    @property
    def request(self):
        return self.inputs.request


class AdmissionGate:
    """Asks *controller*, an :class:`AdmissionController`, which calls may be sent.

    Calls for services without the feature in *load_policy* pass, and those for engines,
    which run requests of very different lengths: a mean time per slot tells neither
    their wait nor their rate. *chooser* and
    *cascade* choose another target if a call's service is no longer that of its route.
    *rooms* is a :class:`ServiceRooms`; *totals* counts arrivals and tells the demand.
    *metrics* is an :class:`EntryMetrics`.
    """

    def __init__(
        self,
        view,
        chooser,
        cascade,
        rooms,
        load_policy,
        controller,
        totals,
        metrics,
        read_clock,
    ):
        self._view = view
        self._chooser = chooser
        self._cascade = cascade
        self._rooms = rooms
        self._load_policy = load_policy
        self._controller = controller
        self._totals = totals
        self._metrics = metrics
        self._read_clock = read_clock
        self._ids = itertools.count(1)
        self._waiters = {}
        self._is_polling = False
        self._is_closed = False

    def admit(self, call):
        """Return once *call* may be sent; its service and model are chosen.

        It may wait. The newest configuration then applies, and with it possibly another
        route, team, service or model. Raises :class:`RequestRefused`.
        """
        while not self._admit_to_service(call):
            pass

    def record_shed(self, service):
        """Record that an upstream of *service* had no room for a request."""
        now = self._read_clock()
        if self._is_on(service, now):
            self._controller.record_shed(service, now)

    def book_return_s(self, call):
        """Return the seconds until the caller of a call that was shed should return.

        This is None where admission is off or nothing is known of the room.
        """
        now = self._read_clock()
        if not self._is_on(call.service, now):
            return None
        room = self._rooms.estimate(call.service, now)
        if room is None:
            return None
        demand = self._totals.get_demand(call.service, now)
        request = self._build_request(call)
        return self._controller.book_return(request, room, demand, now)

    def close(self):
        """Refuse the calls that wait; from now on none waits."""
        self._is_closed = True
        for waiter in list(self._waiters.values()):
            self._drop(waiter, _build_stop_error())

    def list_waits(self, now):
        """Return the expected wait for a slot by service, in seconds.

        Only services for which admission is on are contained.
        """
        configuration = self._view.configuration
        services = configuration.services if configuration else ()
        rooms = {
            s: self._rooms.estimate(s, now) for s in services if self._is_on(s, now)
        }
        return {service: room.wait_s for service, room in rooms.items() if room}

    def _is_on(self, service, now):
        configuration = self._view.configuration
        entry = configuration.services.get(service) if configuration else None
        if entry is not None and entry.engine is not None:
            return False
        return self._load_policy.is_on(Feature.ADMISSION, service, now)

    def _admit_to_service(self, call):
        """Return whether *call* may be sent to its service.

        If not, another service was chosen meanwhile, which has to be asked about.
        """
        now = self._read_clock()
        service = call.service
        request = self._build_request(call)
        self._totals.record_arrival(service, request.team, request.rank, now)
        if not self._is_on(service, now):
            return True
        self._check_blocked(call, now)
        room = self._rooms.estimate(service, now)
        if room is None:
            # The forwarder relays the call, or refuses it and says why.
            return True
        demand = self._totals.get_demand(service, now)
        inputs = AdmissionInputs(request, room, demand, now)
        decision = self._controller.decide(request, room, demand, now)
        if isinstance(decision, Wait):
            inputs, decision = self._wait(call, inputs, decision.until)
            self._follow_configuration(call)
            self._check_blocked(call, self._read_clock())
            if call.service != service:
                return False
        self._count(decision, request.rank)
        if isinstance(decision, Refuse):
            log_decision(call, inputs, decision, self._read_clock())
            raise _build_error(decision)
        return True

    def _check_blocked(self, call, now):
        error = find_block(call, self._view.blocked, now)
        if error is not None:
            raise error

    def _build_request(self, call):
        team = call.team
        return AdmissionRequest(
            id=next(self._ids),
            service=call.service,
            team=team.name if team else "",
            rank=call.rank,
            size_bytes=_measure_size(call),
            arrived_at=call.arrived_at,
            goal_at=call.arrived_at + call.route.goal_s,
            deadline=call.deadline,
        )

    def _wait(self, call, inputs, until):
        """Return the decision on *call* and its inputs after a wait until *until*.

        Ends with an exception if the call is interrupted.
        """
        request = inputs.request
        if self._is_closed:
            self._controller.remove(request.id)
            raise _build_stop_error()
        log_decision(call, inputs, Wait(until), self._read_clock())
        self._count(Wait(until), request.rank)
        waiter = _Waiter(call, inputs)
        self._waiters[request.id] = waiter
        self._start_polling()
        call.awaits_admission = True
        try:
            decision = waiter.decided.wait(
                max(0.0, until + LATE_POLL_S - self._read_clock())
            )
        finally:
            call.awaits_admission = False
            if self._waiters.pop(request.id, None) is not None:
                self._controller.remove(request.id)
            self._metrics.admission_wait.observe(self._read_clock() - inputs.at)
        left_s = call.get_remaining_s(self._read_clock())
        is_late = isinstance(decision, Admit) and left_s < MIN_REMAINING_S
        if decision is None or is_late:
            decision = _build_expired()
        return waiter.inputs, decision

    def _follow_configuration(self, call):
        """Apply the newest configuration to *call*.

        Raises :class:`RequestRefused` if it is no longer admitted.
        """
        route = call.route
        update_call(call, self._view)
        if not has_service(call.route, call.service):
            choose_target(call, self._chooser, self._cascade)
        elif call.route.models != route.models:
            choose_model(call, self._cascade)

    def _start_polling(self):
        if not self._is_polling:
            self._is_polling = True
            eventlet.spawn_n(self._poll_while_waiting)

    def _poll_while_waiting(self):
        try:
            while self._waiters:
                eventlet.sleep(POLL_INTERVAL_S)
                self._poll()
        finally:
            self._is_polling = False

    def _poll(self):
        """Decide on the calls that wait."""
        now = self._read_clock()
        for service in {w.request.service for w in self._waiters.values()}:
            try:
                self._poll_service(service, now)
            except Exception as error:
                # It ends the calls instead of the polls, on which others depend.
                for waiter in self._list_waiters(service):
                    self._drop(waiter, error)

    def _poll_service(self, service, now):
        for waiter in self._list_waiters(service):
            self._update(waiter, now)
        room = self._rooms.estimate(service, now)
        if room is None or not self._is_on(service, now):
            for waiter in self._list_waiters(service):
                self._release(waiter, Admit())
            return
        if not self._controller.has_waiting(service):
            return
        demand = self._totals.get_demand(service, now)
        for request_id, decision in self._controller.poll(service, room, demand, now):
            waiter = self._waiters.pop(request_id, None)
            if waiter is not None:
                waiter.inputs = AdmissionInputs(waiter.request, room, demand, now)
                waiter.decided.send(decision)

    def _list_waiters(self, service):
        return [w for w in self._waiters.values() if w.request.service == service]

    def _update(self, waiter, now):
        """Apply the newest configuration to a call that waits."""
        call = waiter.call
        if self._view.configuration is not call.configuration:
            try:
                self._follow_configuration(call)
            except RequestRefused as error:
                self._drop(waiter, error)
                return
            if call.service != waiter.request.service:
                self._release(waiter, Admit())
                return
        if call.get_remaining_s(now) < MIN_REMAINING_S:
            self._release(waiter, _build_expired())

    def _release(self, waiter, decision):
        """End the wait by *decision*, which is not the controller's."""
        self._remove(waiter)
        waiter.decided.send(decision)

    def _drop(self, waiter, error):
        """End the wait by raising *error* in the call."""
        self._remove(waiter)
        waiter.decided.send_exception(error)

    def _remove(self, waiter):
        del self._waiters[waiter.request.id]
        self._controller.remove(waiter.request.id)

    def _count(self, decision, rank):
        self._metrics.admission.labels(_DECISIONS[type(decision)], str(rank)).inc()


_DECISIONS = {Admit: "admitted", Wait: "waiting", Refuse: "refused"}


def _measure_size(call):
    """Return the bytes that the parts of a request take which vary in size."""
    head_bytes = sum(len(name) + len(value) for name, value in call.header_pairs)
    return len(call.request.body) + len(call.request.target) + head_bytes


def _build_error(decision):
    """Return the :class:`RequestRefused` for a :class:`Refuse`.

    The time to return was booked for this caller, so it is not randomized.
    """
    return RequestRefused(
        decision.kind,
        decision.detail,
        retry_after_s=decision.retry_after_s,
        is_delay_fixed=True,
    )


def _build_expired():
    detail = "no room within the time that the request could wait"
    return Refuse(ErrorKind.OVERLOADED, EXPIRED_RETRY_AFTER_S, detail)


def _build_stop_error():
    return RequestRefused(
        ErrorKind.SHUTTING_DOWN,
        "waited for room at the upstreams",
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )
