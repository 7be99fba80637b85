"""Counts of answers for tests of their evaluation."""

from merlinnotch._fleet import RolloutOrder
from merlinnotch._rollout import TallyKey

ORDER = RolloutOrder("s", "v2", 20.0, 7)


def record_answers(counts, version, route, answers, bad):
    """Count *answers* of *version*, the first *bad* of them as bad."""
    for number in range(answers):
        key = TallyKey(ORDER.service, version, route, ORDER.index)
        counts.tallies.count(key, number < bad)
