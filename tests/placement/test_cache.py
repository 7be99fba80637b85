"""Tests of the estimates of cached prompt prefixes."""

import random
import tracemalloc
from collections import OrderedDict

import pytest

from merlinnotch._placement import PrefixCache, list_prefixes
from merlinnotch.platform.headers import PromptPart

CAPACITY_TOKENS = 100_000
PART_COUNT = 500
ORDINARY_PROMPTS = 400


def make_parts(count, tokens, label=""):
    return tuple(PromptPart(f"{label}{n:03x}", tokens) for n in range(count))


def measure_record(cache, prompt):
    """Return the bytes that *cache* keeps for *prompt*."""
    tracemalloc.start()
    try:
        cache.record(list_prefixes("m", prompt))
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def test_memory_of_a_prompt_grows_no_faster_than_its_parts():
    # A cache kept each prefix as a tuple of all its parts; processes ended for it.
    few = measure_record(PrefixCache(CAPACITY_TOKENS), make_parts(PART_COUNT, 1))
    many = measure_record(PrefixCache(CAPACITY_TOKENS), make_parts(3 * PART_COUNT, 1))
    assert many <= 2 * 3 * few


@pytest.mark.parametrize("tokens", [0, 1])
def test_memory_for_short_parts_is_bounded(tokens):
    # Parts of no tokens were never evicted.
    cache = PrefixCache(CAPACITY_TOKENS)
    for number in range(20):
        measure_record(cache, make_parts(PART_COUNT, tokens, f"{number}-"))
    extra = [
        measure_record(cache, make_parts(PART_COUNT, tokens, f"{number}+"))
        for number in range(20)
    ]
    assert sum(extra[10:]) <= sum(extra[:10])


class ReferenceCache:
    """The same model, with each prefix as a tuple of the ids of its parts."""

    def __init__(self, capacity_tokens):
        self._capacity_tokens = capacity_tokens
        self._prefixes = OrderedDict()

    def count_uncached(self, model, prompt):
        ids = [part.id for part in prompt]
        depth = 0
        while depth < len(ids) and (model, *ids[: depth + 1]) in self._prefixes:
            depth += 1
        return sum(part.tokens for part in prompt[depth:])

    def record(self, model, prompt):
        ids = [part.id for part in prompt]
        for depth, part in enumerate(prompt, 1):
            key = (model, *ids[:depth])
            self._prefixes[key] = part.tokens
            self._prefixes.move_to_end(key)
        while sum(self._prefixes.values()) > self._capacity_tokens:
            self._prefixes.popitem(last=False)


def make_ordinary_prompt(generator):
    """Return a prompt with shared parts, and one of its own at the end."""
    shared = [f"s{generator.randrange(6)}", f"d{generator.randrange(30)}"]
    sizes = {"s": 500, "d": 2000}
    parts = [PromptPart(name, sizes[name[0]]) for name in shared]
    own = PromptPart(f"own{generator.random()}", generator.randrange(100, 900))
    return (*parts[: generator.randrange(3)], own)


def test_estimates_for_ordinary_prompts_are_those_of_the_reference():
    generator = random.Random(1)
    cache, reference = PrefixCache(40_000), ReferenceCache(40_000)
    for _ in range(ORDINARY_PROMPTS):
        prompt = make_ordinary_prompt(generator)
        model = generator.choice(["small", "large"])
        prefixes = list_prefixes(model, prompt)
        assert cache.count_uncached(prefixes) == reference.count_uncached(model, prompt)
        cache.record(prefixes)
        reference.record(model, prompt)
