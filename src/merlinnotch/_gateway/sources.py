"""Where requests come from: callers, or peers that relay for their callers."""

import abc

from .._errors import ErrorKind, Outcome, RequestRefused
from .._fleet import Team
from .._relay import REFUSAL_FIELD, RelayedRefusal, encode_refusal
from .admission import admit_request, build_call
from .refusals import build_refusal

ELSEWHERE_KINDS = frozenset(
    {ErrorKind.NO_UPSTREAM, ErrorKind.NO_CONFIGURATION, ErrorKind.SHUTTING_DOWN}
)
"""Refusals for which another peer may take the request."""


class RequestSource(abc.ABC):
    """Admits requests and builds the responses to those that are refused.

    *origin* is the name of the instance whose caller sent the request, None for this
    one.
    """

    origin = None

    @abc.abstractmethod
    def admit(self, request, view):
        """Return the :class:`Call` of a request; raises :class:`RequestRefused`."""

    @abc.abstractmethod
    def build_refusal(self, error, call, remaining_s, generator):
        """Return status, header fields and body for a :class:`RequestRefused`.

        *call* is None if the request was not admitted.
        """


class CallerSource(RequestSource):
    """Requests of this instance's callers."""

    def admit(self, request, view):
        return admit_request(request, view)

    def build_refusal(self, error, call, remaining_s, generator):
        return build_refusal(error, remaining_s, generator)


class PeerSource(RequestSource):
    """A request that another instance relays; *mark* is its :class:`RelayMark`.

    *attempt_id* is its id, which the refusals name, None if it has none.
    The origin has authenticated the caller and drawn the service. What this instance
    can't follow it leaves to other peers.
    """

    def __init__(self, mark, attempt_id):
        self._mark = mark
        self._attempt_id = attempt_id
        self.origin = mark.origin

    def admit(self, request, view):
        mark = self._mark
        configuration = view.configuration
        if configuration is None:
            raise RequestRefused(ErrorKind.NO_CONFIGURATION)
        if configuration.version < mark.configuration_version:
            raise RequestRefused(ErrorKind.NO_UPSTREAM, "configuration is older")
        route = configuration.find_route(request.host, request.target.partition("?")[0])
        if route is None or all(s.service != mark.service for s in route.splits):
            raise RequestRefused(ErrorKind.NO_UPSTREAM, "route has changed")
        call = build_call(request, configuration, route, self._find_team(configuration))
        call.deadline = min(call.deadline, request.received_at + mark.remaining_s)
        call.service = mark.service
        call.model = mark.model
        call.last_event_id = mark.last_event_id
        call.relayed_from = mark.origin
        call.earlier_send_count = mark.send_count
        return call

    def build_refusal(self, error, call, remaining_s, generator):
        status, pairs, body = build_refusal(error, remaining_s, generator)
        refusal = RelayedRefusal(
            kind=error.kind,
            outcome=error.outcome,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
            is_elsewhere_possible=error.kind in ELSEWHERE_KINDS
            and error.outcome is Outcome.NOT_RUN,
            send_count=call.send_count if call else 0,
            attempt_id=self._attempt_id,
        )
        return status, [*pairs, (REFUSAL_FIELD, encode_refusal(refusal))], body

    def _find_team(self, configuration):
        name = self._mark.team
        if name is None:
            return None
        teams = configuration.teams_by_key.values()
        return next((t for t in teams if t.name == name), Team(name))
