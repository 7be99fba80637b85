"""Which upstreams of a new version take its first requests, and how many do."""

from .._rendezvous import rank


def select_canaries(upstreams, service, count):
    """Return those *count* of a version's *upstreams* that take its first requests.

    Every instance that knows the same upstreams selects the same ones, and a larger
    count only adds to them.
    """
    by_id = {upstream.id: upstream for upstream in upstreams}
    return [by_id[name] for name in rank(service, by_id, max(1, count))]


def count_canaries(upstreams, share):
    """Return how many of a version's *upstreams* are to carry *share* of the traffic.

    As many as carry it when all of the traffic is on the version. A version that fails
    under load shows it then while few requests reach it. Fewer canaries would be busier
    than the upstreams that they are compared with, and a sound version look slow.
    """
    return max(1, round(share * len(upstreams)))
