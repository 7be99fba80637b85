"""How long an upstream may take for the head of its answer."""

PLAIN_GOALS = 2.0
MIN_PLAIN_S = 0.35
"""A plain answer takes 45 ms and in one of a hundred cases five times that; what
takes longer than this is lost or stuck more often than slow."""
MIN_STREAM_S = 2.5
EXPECTED_FACTOR = 6.0
"""Prompts of others that we don't see make an engine several times slower than
expected; asking again sooner would add to its load."""


def limit_wait(call, expected_s, others, now):
    """Return the instant at which the send is given up for another one.

    It is the call's deadline where no other send may follow; *others* is how
    many upstreams are left to try.
    """
    sends_left = call.route.max_upstreams - len(call.sent_to)
    if not call.may_run_again or sends_left <= 0 or not others:
        return call.deadline
    if call.route.repeat.streams:
        limit = max(MIN_STREAM_S, EXPECTED_FACTOR * expected_s)
    else:
        limit = max(MIN_PLAIN_S, PLAIN_GOALS * call.route.goal_s)
    return min(call.deadline, now + limit)
