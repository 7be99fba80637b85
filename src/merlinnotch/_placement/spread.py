"""Random choice among upstreams whose load is known from old reports."""


def compute_fill(costs, slopes, amount):
    """Return how *amount* requests divide so that the largest cost is smallest.

    Each request at an upstream adds its slope to its cost.
    """
    order = sorted(range(len(costs)), key=costs.__getitem__)
    capacity = level_sum = level = 0.0
    for position, index in enumerate(order):
        capacity += 1.0 / slopes[index]
        level_sum += costs[index] / slopes[index]
        level = (amount + level_sum) / capacity
        following = order[position + 1 : position + 2]
        if not following or level <= costs[following[0]]:
            break
    return [
        max(0.0, level - cost) / slope
        for cost, slope in zip(costs, slopes, strict=True)
    ]
