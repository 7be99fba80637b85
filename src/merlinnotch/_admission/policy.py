"""Which kinds of requests are held back under load."""

import abc

MIN_SHARE = 0.27
"""Part of the overall fraction that each kind of request gets. Callers must get at
least a quarter of it; the rest is for random variation."""


class AdmissionPolicy(abc.ABC):
    """Divides a rate among kinds of requests.

    A kind is a rank, and whether the request is above the fair share of its team.
    """

    @abc.abstractmethod
    def list_fractions(self, shares, fraction):
        """Return which fraction to admit of each kind, from 0 to 1.

        *shares* is a :class:`TeamShares`, *fraction* that of all requests.
        """


class RankThresholds(AdmissionPolicy):
    """Admits by rank, then by share; the least urgent kind is held back first.

    Each kind gets a small part of the rate first. What is left goes to the kinds in
    order, so that the threshold lies within one of them.
    """

    def list_fractions(self, shares, fraction):
        fraction = min(1.0, max(0.0, fraction))
        demand = shares.list_demand()
        least = dict.fromkeys(demand, MIN_SHARE * fraction)
        fractions = _fill(demand, least, fraction)
        for rank, is_over in demand:
            excess = shares.get_largest_excess(rank)
            if is_over and excess > 0.0:
                # What a team gets within its share counts towards its least part.
                within = (1.0 - excess) * fractions[rank, False]
                missing = MIN_SHARE * fraction - within
                least[rank, True] = max(0.0, missing / excess)
        return _fill(demand, least, fraction)


def _fill(demand, least, fraction):
    """Return the fractions if each kind gets *least*, and then the first ones more."""
    left_per_s = fraction * sum(demand.values())
    left_per_s -= sum(least[kind] * per_s for kind, per_s in demand.items())
    fractions = {}
    for kind in sorted(demand):
        wanted_per_s = demand[kind] * (1.0 - least[kind])
        extra_per_s = max(0.0, min(wanted_per_s, left_per_s))
        left_per_s -= extra_per_s
        if demand[kind] > 0.0:
            fractions[kind] = least[kind] + extra_per_s / demand[kind]
        else:
            fractions[kind] = 1.0 if left_per_s > 0.0 else least[kind]
    return fractions
