"""Time limits for the response head of an attempt."""

PLAIN_GOAL_FACTOR = 2.0
MIN_PLAIN_WAIT_S = 0.35
"""Well above the usual response time of plain upstreams, so that slow responses are
rarely given up."""
MIN_STREAM_WAIT_S = 2.5
EXPECTED_WAIT_FACTOR = 6.0
"""Allows for prompts from other instances that are missing in the estimate. Earlier
retries would add to the load."""


def compute_give_up_time(call, expected_wait_s, alternative_count, now):
    """Return the time on the boot clock at which to give up the attempt.

    This is the call's deadline if no further attempt is possible. *expected_wait_s* is
    the estimated time to the first event. *alternative_count* is the number of untried
    upstreams.
    """
    if not call.is_retryable or call.sends_left <= 0 or not alternative_count:
        return call.deadline
    if call.route.retry_policy.is_streaming:
        max_wait_s = max(MIN_STREAM_WAIT_S, EXPECTED_WAIT_FACTOR * expected_wait_s)
    else:
        max_wait_s = max(MIN_PLAIN_WAIT_S, PLAIN_GOAL_FACTOR * call.route.goal_s)
    return min(call.deadline, now + max_wait_s)
