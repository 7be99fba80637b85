"""Selection of the upstreams of a new version that get its first requests."""

from .._rendezvous_hashing import rank_names


def select_canaries(upstreams, service, count):
    """Return the *count* of a version's *upstreams* that get its first requests.

    Every instance that knows the same upstreams selects the same canaries, and a larger
    count only adds to them.
    """
    by_id = {upstream.id: upstream for upstream in upstreams}
    return [
        by_id[upstream_id] for upstream_id in rank_names(service, by_id, max(1, count))
    ]


def count_canaries(upstreams, share):
    """Return how many of a version's *upstreams* should carry *share* of the traffic.

    Each canary gets the load that it would get with all traffic on the version, so that
    a version that fails under load fails while few requests reach it. With fewer
    canaries, each would be busier than the upstreams it is compared with, and a healthy
    version would look slow.
    """
    return max(1, round(share * len(upstreams)))
