"""Admission of requests by route, credential and deadline."""

from .._errors import ErrorKind, MalformedMessage, RequestRefused
from .._relay import RELAY_FIELDS
from ..platform import UNFORWARDED_REQUEST_FIELDS, decode_request
from .call import Call

UNFORWARDED_FIELDS = UNFORWARDED_REQUEST_FIELDS | RELAY_FIELDS


def admit_request(request, view):
    """Return the :class:`Call` for *request*.

    Raises :class:`RequestRefused` if no configuration is loaded, no route matches, the
    credential is missing or unknown, or the header fields are malformed.
    """
    configuration = view.configuration
    if configuration is None:
        raise RequestRefused(ErrorKind.NO_CONFIGURATION)
    route = _find_route(configuration, request)
    headers = _decode_headers(request)
    team = _find_team(configuration, route, headers)
    return build_call(request, configuration, route, team)


def update_call(call, view):
    """Look up the route and the team of *call* again if the configuration is newer.

    Raises :class:`RequestRefused` if the request is no longer admitted.
    """
    configuration = view.configuration
    if configuration is call.configuration or configuration is None:
        return
    request = call.request
    route = _find_route(configuration, request)
    team = _find_team(configuration, route, call.headers)
    call.configuration = configuration
    call.route = route
    call.team = team
    call.deadline = _compute_deadline(request, call.headers, route)


def build_call(request, configuration, route, team):
    """Return the :class:`Call` of a request whose route and team are known.

    Raises :class:`RequestRefused` if the header fields are malformed.
    """
    headers = _decode_headers(request)
    return Call(
        request=request,
        headers=headers,
        header_pairs=request.fields.get_forwarded_pairs(UNFORWARDED_FIELDS),
        configuration=configuration,
        route=route,
        team=team,
        arrived_at=request.received_at,
        deadline=_compute_deadline(request, headers, route),
    )


def _find_route(configuration, request):
    path = request.target.partition("?")[0]
    route = configuration.find_route(request.host, path)
    if route is None:
        raise RequestRefused(ErrorKind.UNKNOWN_PATH, path)
    return route


def _find_team(configuration, route, headers):
    """Return the team of the caller, None if the route needs no key."""
    if not configuration.needs_keys or route.public:
        return None
    team = configuration.find_team(headers.api_key)
    if team is None:
        raise RequestRefused(ErrorKind.UNAUTHENTICATED)
    return team


def _compute_deadline(request, headers, route):
    timeout_s = route.timeout_s
    if headers.deadline_s is not None:
        timeout_s = min(timeout_s, headers.deadline_s)
    return request.received_at + timeout_s


def _decode_headers(request):
    try:
        return decode_request(request.fields)
    except MalformedMessage as error:
        raise RequestRefused(ErrorKind.BAD_REQUEST, str(error)) from error
