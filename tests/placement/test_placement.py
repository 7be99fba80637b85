"""Selection of upstreams and models, and the estimates that it is based on."""

import random
from dataclasses import replace

import pytest

from merlinnotch._fleet import Engine, RetryPolicy, Route, Split, Upstream
from merlinnotch._placement import (
    CascadeConditions,
    CascadePolicy,
    EventGapBaselines,
    LoadTable,
    PlacementRequest,
    Placer,
    PrefillRates,
    PrefixCache,
    StreamLengths,
    choose_urgency,
    list_prefixes,
)
from merlinnotch._placement.backlog import PrefillBacklog
from merlinnotch.platform.headers import PromptPart, RequestHeaders

ENGINE = Engine(64, 500_000, {"small": 0.018, "large": 0.27})


def make_upstream(name, zone="a", slots=64, **changes):
    return Upstream(name, "s", f"10.0.0.{name[-1]}:80", zone, "v1", slots, **changes)


@pytest.fixture
def loads():
    return LoadTable(lambda service: ENGINE)


@pytest.fixture
def placer(loads):
    return Placer("a", loads, PrefillRates())


def prompt(*parts):
    return tuple(PromptPart(name, tokens) for name, tokens in parts)


def test_upstream_with_the_cached_prompt_is_picked(placer, loads):
    candidates = [make_upstream(f"u{n}") for n in range(4)]
    request = PlacementRequest(
        prompt(("sys", 500), ("doc", 5000), ("own", 100)), "small"
    )
    loads.get(candidates[2]).cache.record(request.prefixes[:2])
    assert placer.pick(candidates, request, 0.0) is candidates[2]


def test_prefix_cache_is_separate_by_model(placer, loads):
    cache = PrefixCache(100_000)
    parts = prompt(("a", 100), ("b", 200))
    cache.record(list_prefixes("small", parts))
    assert cache.count_uncached(list_prefixes("small", parts)) == 0
    assert cache.count_uncached(list_prefixes("large", parts)) == 300


def test_part_is_cached_only_with_its_prefix():
    cache = PrefixCache(100_000)
    cache.record(list_prefixes("m", prompt(("a", 100), ("b", 200))))
    assert (
        cache.count_uncached(list_prefixes("m", prompt(("x", 50), ("b", 200)))) == 250
    )
    assert cache.count_uncached(list_prefixes("m", prompt(("a", 100), ("c", 70)))) == 70


def test_prefix_cache_evicts_the_oldest_beyond_its_capacity():
    cache = PrefixCache(1000)
    cache.record(list_prefixes("m", prompt(("a", 600))))
    cache.record(list_prefixes("m", prompt(("b", 600))))
    assert cache.count_uncached(list_prefixes("m", prompt(("a", 600)))) == 600
    assert cache.count_uncached(list_prefixes("m", prompt(("b", 600)))) == 0


def test_instances_send_a_new_shared_prompt_to_the_same_upstream():
    candidates = [make_upstream(f"u{n}") for n in range(6)]
    request = PlacementRequest(
        prompt(("sys", 500), ("doc", 5000), ("own", 100)), "small"
    )
    picked = {
        Placer("a", LoadTable(lambda service: ENGINE), PrefillRates())
        .pick(candidates, request, 0.0)
        .id
        for _ in range(5)
    }
    assert len(picked) == 1


def test_short_prompt_avoids_an_upstream_with_a_long_prefill(placer, loads):
    candidates = [make_upstream("u1"), make_upstream("u2")]
    loads.get(candidates[0]).backlog.record(800.0, 0.0)
    request = PlacementRequest(prompt(("own", 300)), "small")
    assert placer.pick(candidates, request, 0.0) is candidates[1]


def test_backlog_decreases_with_time():
    backlog = PrefillBacklog()
    backlog.record(500.0, 10.0)
    backlog.record(500.0, 10.2)
    assert backlog.measure(10.2) == pytest.approx(800.0)
    assert backlog.measure(10.6) == pytest.approx(400.0)
    assert backlog.measure(12.0) == 0.0


def test_full_batch_is_avoided_despite_a_cached_prompt(placer, loads):
    candidates = [make_upstream("u1", slots=12), make_upstream("u2", slots=12)]
    request = PlacementRequest(prompt(("own", 2000)), "small")
    loads.get(candidates[0]).cache.record(request.prefixes)
    loads.get(candidates[0]).record_report(12, 0, 0.0)
    loads.get(candidates[1]).record_report(3, 0, 0.0)
    assert placer.pick(candidates, request, 0.1) is candidates[1]


def test_instances_do_not_all_pick_the_same_idle_engine():
    # Fails if every instance compares all engines by the same reports.
    candidates = [
        make_upstream(f"u{n}", zone="abcdef"[n % 6], slots=12) for n in range(60)
    ]
    picked = []
    for number in range(100):
        loads = LoadTable(lambda service: ENGINE, random.Random(number))
        for candidate in candidates:
            loads.get(candidate).record_report(
                0 if candidate is candidates[0] else 8, 0, 0.0
            )
        placer = Placer("a", loads, PrefillRates(), random.Random(number))
        request = PlacementRequest(prompt((f"own-{number}", 800)), "small")
        picked.append(placer.pick(candidates, request, 0.05).id)
    assert picked.count(candidates[0].id) <= 40


def test_affinity_upstream_is_compared_among_many_engines():
    candidates = [
        make_upstream(f"u{n}", zone="abcdef"[n % 6], slots=12) for n in range(60)
    ]
    request = PlacementRequest(
        prompt(("sys", 500), ("doc", 9000), ("own", 100)), "small"
    )
    picked = {
        Placer("a", LoadTable(lambda service: ENGINE), PrefillRates())
        .pick(candidates, request, 0.0)
        .id
        for _ in range(20)
    }
    assert len(picked) == 1


def test_sample_has_full_size_without_engines_in_the_own_zone():
    candidates = [
        make_upstream(f"u{n}", zone="bcdef"[n % 5], slots=12) for n in range(60)
    ]
    loads = LoadTable(lambda service: ENGINE)
    for candidate in candidates[::2]:
        loads.get(candidate).backlog.record(9000.0, 0.0)
    placer = Placer("a", loads, PrefillRates(), random.Random(3))
    picked = [
        placer.pick(candidates, PlacementRequest((), "small"), 0.0) for _ in range(60)
    ]
    # In one of sixteen samples all four engines have a long prefill.
    assert sum(candidate in candidates[::2] for candidate in picked) <= 9


def test_requests_stay_in_their_zone_among_many_engines():
    candidates = [
        make_upstream(f"u{n}", zone="abcdef"[n % 6], slots=12) for n in range(60)
    ]
    placer = Placer("a", LoadTable(lambda service: ENGINE), PrefillRates())
    request = PlacementRequest(prompt(("own", 800)), "small")
    picked = [placer.pick(candidates, request, 0.0).zone for _ in range(100)]
    assert picked.count("a") == 100


@pytest.mark.parametrize(
    ("prefill_ms", "slots", "urgency"),
    [(40, 64, 2), (200, 64, 4), (800, 64, 6), (40, 12, 4), (800, 12, 4), (800, 24, 6)],
)
def test_short_prompts_are_urgent_if_batches_have_many_slots(
    prefill_ms, slots, urgency
):
    assert choose_urgency(prefill_ms, slots) == urgency


def test_failing_upstream_is_avoided_and_recovers(placer, loads):
    candidates = [make_upstream("u1"), make_upstream("u2", zone="b")]
    for _ in range(3):
        loads.get(candidates[0]).record_failure(0.0)
    assert placer.pick(candidates, PlacementRequest(), 0.1) is candidates[1]
    assert placer.pick(candidates, PlacementRequest(), 60.0) is candidates[0]


def test_unreachable_upstream_is_used_only_without_alternative(placer, loads):
    candidates = [make_upstream("u1"), make_upstream("u2")]
    loads.get(candidates[0]).reachable = False
    assert {placer.pick(candidates, PlacementRequest(), 0.2).id for _ in range(5)} == {
        "u2"
    }
    assert placer.pick(candidates[:1], PlacementRequest(), 0.2) is candidates[0]


def test_mean_slowdown_excludes_unreachable_upstreams(loads):
    candidates = [make_upstream("u1"), make_upstream("u2")]
    loads.get(candidates[0]).record_slowdown(30.0, 0.0)
    mean_slowdown = loads.measure_slowdown(candidates, 0.0)
    loads.get(candidates[1]).reachable = False
    assert loads.measure_slowdown(candidates, 0.0) > mean_slowdown


def test_service_requests_avoid_a_loaded_upstream(placer, loads):
    candidates = [make_upstream("u1", slots=6), make_upstream("u2", slots=6)]
    for u in candidates:
        loads.get(u).record_response(0.05)
    loads.get(candidates[0]).record_report(6, 4, 0.0)
    assert placer.pick(candidates, PlacementRequest(), 0.1) is candidates[1]


def test_reported_load_decays_with_age(loads):
    load = loads.get(make_upstream("u1"))
    load.in_flight = 2
    load.record_report(10, 0, 0.0)
    assert load.estimate_requests(0.0) == 10
    assert 2 < load.estimate_requests(2.0) < 5


def make_route(priority=1):
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        retry_policy=RetryPolicy.RESUMABLE,
        timeout_s=20,
        goal_s=2,
        priority=priority,
        splits=(Split("s", 1),),
        max_upstreams=3,
        models=("small", "middle", "large"),
    )


def make_call(tokens_in=1000, tokens_out=300):
    return RequestHeaders("a", None, 20.0, None, (), tokens_in, tokens_out, None, None)


def choose_next_model(
    confidence, slowdown=1.0, model="small", prefill_ms=100.0, **changes
):
    conditions = CascadeConditions(slowdown, prefill_ms)
    return CascadePolicy().choose_next(
        make_route(), ENGINE, model, confidence, make_call(**changes), conditions
    )


def test_only_an_answer_of_low_confidence_gets_another_run():
    assert choose_next_model(10.0) == "large"
    assert choose_next_model(90.0) is None


def test_answer_of_the_largest_model_is_final():
    assert choose_next_model(0.0, model="large") is None


def test_answer_without_a_confidence_is_final():
    assert choose_next_model(None) is None


def test_under_load_only_the_least_confident_answers_get_another_run():
    assert choose_next_model(45.0, slowdown=1.2) == "large"
    assert choose_next_model(45.0, slowdown=4.0) is None
    assert choose_next_model(10.0, slowdown=3.5, prefill_ms=50.0) == "large"
    assert choose_next_model(10.0, slowdown=3.5, prefill_ms=100.0) is None
    assert choose_next_model(10.0, slowdown=12.0) is None


def test_under_load_short_prefills_get_another_run_longer():
    assert choose_next_model(10.0, slowdown=4.0, prefill_ms=20.0) == "large"
    assert choose_next_model(10.0, slowdown=4.0, prefill_ms=400.0) is None


def choose(confidence, **conditions):
    conditions = {"slowdown": 1.0, "prefill_ms": 100.0} | conditions
    return CascadePolicy().choose_next(
        make_route(),
        ENGINE,
        "small",
        confidence,
        make_call(),
        CascadeConditions(**conditions),
    )


def test_no_run_that_would_miss_the_deadline():
    assert choose(10.0, decode_s=3.0, time_left_s=5.0) == "large"
    assert choose(10.0, decode_s=4.0, time_left_s=5.0) is None
    assert choose(10.0, decode_s=3.0, queued_prefill_ms=1500.0, time_left_s=5.0) is None


def test_run_past_the_latency_goal_must_beat_the_current_answer():
    after_goal_s = make_route().goal_s + 0.1
    assert choose(10.0, waited_s=after_goal_s) == "large"
    assert choose(35.0, waited_s=0.0) == "large"
    assert choose(45.0, waited_s=0.0) == "large"
    assert choose(45.0, waited_s=after_goal_s) is None


def test_low_confidence_gets_another_run_at_any_priority_on_idle_engines():
    # At this confidence most requests are too hard for the small model.
    for priority in (0, 1, 2):
        picked = CascadePolicy().choose_next(
            replace(make_route(), priority=priority),
            ENGINE,
            "small",
            45.0,
            make_call(),
            CascadeConditions(1.5, 50.0),
        )
        assert picked == "large"


def test_stream_lengths_are_averaged_by_route():
    stream_lengths = StreamLengths()
    assert stream_lengths.get("r") == 0.0
    stream_lengths.record("r", 40)
    stream_lengths.record("r", 60)
    assert 40 < stream_lengths.get("r") < 60


def test_slowdown_is_measured_from_gaps_between_events(loads):
    event_gaps = EventGapBaselines()
    load = loads.get(make_upstream("u1"))
    for _ in range(100):
        load.record_slowdown(event_gaps.record("m", 0.05, 0.0), 0.0)
    assert load.measure_slowdown(0.0) < 1.1
    for _ in range(100):
        load.record_slowdown(event_gaps.record("m", 0.15, 1.0), 1.0)
    assert load.measure_slowdown(1.0) > 2.5
    assert load.measure_slowdown(20.0) < 1.1


def test_sustained_load_does_not_raise_the_baseline():
    event_gaps = EventGapBaselines()
    for n in range(40):
        event_gaps.record("m", 0.03, n * 0.03)
    for n in range(6000):
        slowdown = event_gaps.record("m", 0.1, 1.2 + n * 0.01)
    assert slowdown > 3.0


def test_prefill_time_ignores_queueing_and_short_prompts():
    prefill_rates = PrefillRates()
    for seconds in (0.1, 0.1, 0.11, 0.9, 0.1):
        prefill_rates.record("m", 10_000, seconds)
    assert 0.009 < prefill_rates.get("m") < 0.012
    prefill_rates.record("m", 10, 5.0)
    assert prefill_rates.get("m") < 0.012


def test_model_without_samples_is_scaled_by_cost():
    costs = {"small": 0.02, "large": 0.3}
    prefill_rates = PrefillRates(costs.get)
    prefill_rates.record("small", 10_000, 0.06)
    assert prefill_rates.get("large") == pytest.approx(15 * 0.006)
    assert prefill_rates.get("unknown") == pytest.approx(0.006)
    prefill_rates.record("large", 10_000, 0.5)
    assert prefill_rates.get("large") == pytest.approx(0.05)
    # A cheaper model is not assumed to be faster than a sampled one.
    other = PrefillRates(costs.get)
    other.record("large", 10_000, 0.5)
    assert other.get("small") == pytest.approx(0.05)
