"""Timelines of requests."""

CONTEXT_MESSAGES = frozenset(
    {
        "configuration in force",
        "store unavailable",
        "store available again",
        "upstream listed",
        "upstream removed",
        "upstream entry expired",
        "upstream reachable again",
        "upstream refused connection",
        "upstream leaving",
        "upstream resting",
        "upstream limit in force",
        "upstream limit ended",
        "invalid upstream notice",
        "rollout changed",
        "version rejected",
        "shutting down",
        "started",
        "stopped",
        "settings reloaded",
    }
)
"""Messages on changes of an instance's state that may explain what a request met."""

CONTEXT_WINDOW_S = 2.0
"""Seconds before a request from which these messages are included. By then, every
instance has to have applied an older change."""


def explain_request(lines, request_id):
    """Return the timeline of a request as lines of text, oldest first.

    *lines* are :class:`LogLine` objects of all processes. The timeline has the lines of
    the request and the :data:`CONTEXT_MESSAGES` of the instances and upstreams that
    these lines name. It is empty if no line names the request.
    """
    request_lines = sorted(
        (line for line in lines if line.request == request_id), key=lambda x: x.time
    )
    if not request_lines:
        return []
    start = min(_get_start_time(line) for line in request_lines)
    instances = {line.instance for line in request_lines}
    upstreams = {line.fields.get("upstream") for line in request_lines} - {None}
    context_lines = [
        line
        for line in lines
        if line.message in CONTEXT_MESSAGES
        and line.instance in instances
        and start - CONTEXT_WINDOW_S <= line.time <= request_lines[-1].time
        and line.fields.get("upstream") in (None, *upstreams)
    ]
    shown_lines = sorted([*request_lines, *context_lines], key=lambda line: line.time)
    return [_format_line(line, start) for line in shown_lines]


def _get_start_time(line):
    return line.time - line.fields.get("ms", 0.0) / 1000.0


def _format_line(line, start):
    offset_ms = (line.time - start) * 1000.0
    fields = ", ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in (None, [], "") and name != "request"
    )
    return f"{offset_ms:+9.1f} ms  {line.instance}  {line.message}: {fields}"
