"""Rollouts across several instances."""

import json

import eventlet
import pytest

from merlinnotch._entry import rollout_controller, tally_exchange
from merlinnotch._fleet import (
    PeerAddress,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Stage,
    Upstream,
)
from merlinnotch._fleet.records import decode_record, encode_stage, stage_key
from merlinnotch._fleet.view import FleetView
from merlinnotch._rendezvous_hashing import rank_names
from merlinnotch._rollout import (
    AnswerCounts,
    Schedule,
    Tally,
    TallyKey,
    TimeKey,
    get_time_band,
)
from merlinnotch.platform import status_key
from standins.platform_upstream import make_answer_script, make_stream_script
from tests.platform_world import PLAIN_PATH, PORTS, STREAM_PATH, Caller, wait_until

PERIOD_S = 4.0


def read_state(world):
    value = world.store.read("status/rollout/app")
    return json.loads(value)["state"] if value else None


@pytest.fixture
def traffic(world):
    """Return a function that starts sending requests to every instance."""
    statuses = []

    def send(caller):
        while True:
            statuses.append(caller.send(PLAIN_PATH).status)
            eventlet.sleep(0.005)

    senders = []

    def start():
        senders.extend(eventlet.spawn(send, Caller(one)) for one in world.instances)
        return statuses

    yield start
    for sender in senders:
        sender.kill()


def order_rollout(world, target="v2"):
    document = {"service": "app", "target": target, "period-s": PERIOD_S}
    world.store.put("op/rollout/app", document)


def test_good_version_replaces_the_old_one_and_rollout_completes(world, traffic):
    old = world.add_upstream("i-1")
    new = world.add_upstream("i-2", version="v2")
    for name in ("one", "two", "three"):
        world.add_instance(name)
    statuses = traffic()
    order_rollout(world)
    wait_until(lambda: read_state(world) == "active")
    wait_until(lambda: read_state(world) == "complete", 8.0)
    wait_until(
        lambda: all(
            str(one.view.get_rollout("app").state) == "complete"
            for one in world.instances
        )
    )
    count = len(old.requests)
    seen = len(new.requests)
    wait_until(lambda: len(new.requests) > seen + 20)
    assert len(old.requests) == count
    assert set(statuses) == {200}


def test_bad_version_is_reverted_on_all_instances(world, traffic):
    world.add_upstream("i-1")
    bad = world.add_upstream("i-2", make_answer_script(status=500), version="v2")
    for name in ("one", "two", "three"):
        world.add_instance(name)
    traffic()
    order_rollout(world)
    wait_until(lambda: read_state(world) == "reverted", 8.0)
    wait_until(
        lambda: all(
            str(one.view.get_rollout("app").state) == "reverted"
            for one in world.instances
        )
    )
    count = len(bad.requests)
    eventlet.sleep(0.3)
    assert len(bad.requests) == count


def test_bad_version_gets_no_traffic_during_store_outage(world, traffic):
    world.add_upstream("i-1")
    bad = world.add_upstream("i-2", make_answer_script(status=500), version="v2")
    one = world.add_instance("one")
    traffic()
    order_rollout(world)
    wait_until(lambda: one.view.get_rollout("app").current_stage is not None)
    world.store.is_unresponsive = True
    wait_until(lambda: "v2" in one.view.get_rollout("app").bad_versions, 8.0)
    count = len(bad.requests)
    eventlet.sleep(0.3)
    assert len(bad.requests) <= count + 1
    world.store.is_unresponsive = False
    wait_until(lambda: read_state(world) == "reverted", 8.0)


def test_rollout_waits_for_upstreams_of_its_target(world):
    world.add_upstream("i-1")
    world.add_instance("one")
    order_rollout(world)
    eventlet.sleep(0.8)
    assert read_state(world) is None


def test_rejection_by_one_instance_reaches_the_others(world):
    world.add_upstream("i-1")
    bad = world.add_upstream("i-2", make_answer_script(status=500), version="v2")
    first, second = world.add_instance("one"), world.add_instance("two")
    wait_until(lambda: len(first.view.peers) == len(second.view.peers) == 2)
    order_rollout(world)
    wait_until(lambda: first.view.get_rollout("app").order is not None)
    wait_until(lambda: second.view.get_rollout("app").order is not None)
    caller = Caller(first)
    wait_until(lambda: first.view.get_rollout("app").current_stage is not None)
    wait_until(lambda: second.view.get_rollout("app").current_stage is not None)
    # Only the first instance sees bad answers; the store can't inform the second.
    world.store.is_unresponsive = True
    while "v2" not in first.view.get_rollout("app").bad_versions:
        caller.send(PLAIN_PATH)
    wait_until(lambda: "v2" in second.view.get_rollout("app").bad_versions, 2.0)
    count = len(bad.requests)
    for _ in range(30):
        Caller(second).send(PLAIN_PATH)
    assert len(bad.requests) == count
    world.store.is_unresponsive = False
    wait_until(lambda: read_state(world) == "reverted", 8.0)


def route_all_to_new_version(world, one):
    """Order a rollout of the engines, write its last stage and return it."""
    document = {"service": "engines", "target": "v2", "period-s": 60.0}
    world.store.put("op/rollout/engines", document)
    rollout = one.view.get_rollout("engines")
    wait_until(lambda: rollout.order is not None)
    stage = Stage("engines", rollout.order.index, 3, 1.0)
    world.store.put(stage_key("engines"), encode_stage(stage))
    wait_until(lambda: rollout.current_stage and rollout.current_stage.share == 1.0)
    return rollout


def test_slow_version_is_rejected_before_its_streams_end(world):
    world.add_upstream(
        "i-1", make_stream_script(last=8, pause_s=0.01), service="engines"
    )
    one = world.add_instance("one")
    for _ in range(12):
        assert Caller(one).send(STREAM_PATH, "POST", b"x").is_complete
    slow = make_stream_script(last=200, pause_s=0.08)
    world.add_upstream("i-2", slow, service="engines", version="v2")
    rollout = route_all_to_new_version(world, one)
    socks = [Caller(one).open() for _ in range(8)]
    for sock in socks:
        sock.sendall(Caller(one).encode(STREAM_PATH, "POST", b"x"))
    wait_until(lambda: "v2" in rollout.bad_versions, 3.0)
    for sock in socks:
        sock.close()


def test_slow_version_is_rejected_despite_mixed_model_speeds(world):
    # Times are compared per model; pooled, those of the larger one would hide the
    # slowdown.
    def make_script(pauses):
        def answer_by_model(request, write):
            model = request.fields.get("x-model")
            return make_stream_script(last=8, pause_s=pauses[model])(request, write)

        return answer_by_model

    sound = make_script({"small": 0.01, "large": 0.08})
    world.add_upstream("i-1", sound, service="engines")
    one = world.add_instance("one")
    for model, count in (("large", 24), ("small", 12)):
        for _ in range(count):
            assert (
                Caller(one).send(STREAM_PATH, "POST", b"x", x_model=model).is_complete
            )
    slow = make_script({"small": 0.08, "large": 0.64})
    world.add_upstream("i-2", slow, service="engines", version="v2")
    rollout = route_all_to_new_version(world, one)
    for _ in range(8):
        Caller(one).send(STREAM_PATH, "POST", b"x", x_model="small")
    wait_until(lambda: "v2" in rollout.bad_versions, 3.0)


def read_stage(world):
    value = world.store.read(stage_key("app"))
    if value is None:
        return None
    return decode_record(stage_key("app"), value, 0)


def test_new_instance_collects_reports_before_advancing_stages(
    world, traffic, monkeypatch
):
    # Rare reports make sure that the new instance has no counters at first.
    monkeypatch.setattr(rollout_controller, "REPORT_INTERVAL_S", 1.0)
    world.add_upstream("i-1")
    world.add_upstream("i-2", version="v2")
    names = rank_names("app", [f"name-{number}" for number in range(9)])
    for name in names[1:3]:
        world.add_instance(name)
    traffic()
    document = {"service": "app", "target": "v2", "period-s": 6.0}
    world.store.put("op/rollout/app", document)
    wait_until(lambda: (read_stage(world) or Stage("app", 0, 0, 0.0)).number == 2)
    # It ranks first and knows none of the requests so far.
    new_instance = world.add_instance(names[0])
    running = [one.settings.instance.name for one in world.instances]
    assert rank_names("app", running, 1) == [new_instance.settings.instance.name]
    wait_until(lambda: read_stage(world).number == 3, 8.0)
    assert read_stage(world).age_s > 4.8


def test_only_evaluators_advance_stages(world, traffic, monkeypatch):
    monkeypatch.setattr(tally_exchange, "MAX_EVALUATORS", 1)
    world.add_upstream("i-1")
    world.add_upstream("i-2", version="v2")
    for name in ("one", "two", "three"):
        world.add_instance(name)
    wait_until(lambda: all(len(one.view.peers) == 3 for one in world.instances))
    by_name = {one.settings.instance.name: one for one in world.instances}
    first_instance = by_name[rank_names("app", by_name, 1)[0]]
    first_instance.store.set_address(PORTS.pick("127.0.0.1"))
    traffic()
    document = {"service": "app", "target": "v2", "period-s": 4.0}
    world.store.put("op/rollout/app", document)
    eventlet.sleep(3.0)
    assert read_stage(world) is None
    first_instance.store.set_address(world.store.address)
    wait_until(lambda: read_stage(world) is not None, 12.0)


class RecordingTransport:
    """Records the service of each message instead of sending it."""

    def __init__(self):
        self.services = []

    def handle(self, kind, handler):
        """Ignore the handler."""

    def send(self, kind, body, addresses):
        """Record the service of a message."""
        self.services.append(body[0])
        return True


class RecordingStore:
    """Records the keys that are written."""

    def __init__(self):
        self.keys = []

    def swap(self, key, value, index):
        """Record the key."""
        self.keys.append(key)


def make_late_starter(answers):
    """Return controller, store, clock and the names of the other instances.

    The controller has just started, ranks first and is late in a rollout. *answers* are
    the counts of the old and of the new version that it has received.
    """
    view = FleetView(lambda *item: None)
    names = rank_names("app", [f"name-{number}" for number in range(4)])
    for name in names[1:]:
        view.peer_directory.mark_present(PeerAddress(name, "zone-a", "127.0.0.1:1"))
    view._upstreams["app"] = {"i-2": Upstream("i-2", "app", "h:1", "zone-a", "v2", 4)}
    rollout = view.get_rollout("app")
    rollout.order = RolloutOrder("app", "v2", 24.0, 5)
    rollout.status = RolloutStatus("app", "v2", RolloutState.ACTIVE, 6)
    rollout.stage = Stage("app", 5, 2, 0.1, 13.5, 7)
    rollout.seen_at, rollout.order_age_at_seen_s = 100.0, 19.0
    counts = AnswerCounts.start("own")
    for version, count in zip(("v1", "v2"), answers, strict=True):
        key = TallyKey("app", version, "route", 5)
        counts.tallies.merge(key, "other", Tally(count, 0))
    store = RecordingStore()
    clock = Clock(100.0)
    controller = rollout_controller.RolloutController(
        store,
        view,
        counts,
        RecordingTransport(),
        Schedule(0.15, 30.0),
        names[0],
        clock.read,
    )
    return controller, store, clock, names[1:]


class Clock:
    """Clock that tests set."""

    def __init__(self, now):
        self.now = now

    def read(self):
        """Return the current time."""
        return self.now


def run_for(controller, clock, seconds, reporting=()):
    """Run *controller* for *seconds* while the instances *reporting* send counters."""
    until = clock.now + seconds
    while clock.now < until:
        clock.now += rollout_controller.POLL_INTERVAL_S
        for name in reporting:
            controller._record_report("app", 5, name)
        for service, rollout in controller._view.list_active_rollouts():
            controller._reconcile(service, rollout, clock.now)


def test_stage_is_kept_without_reports_from_others():
    # A just started instance has no counts and must not take that for a good version.
    controller, store, clock, _ = make_late_starter((0, 0))
    run_for(controller, clock, 4.5)
    assert store.keys == []


def test_stage_advances_with_reports_from_most_others():
    controller, store, clock, others = make_late_starter((400, 40))
    run_for(controller, clock, 4.5, reporting=others[:2])
    assert stage_key("app") in store.keys


@pytest.mark.parametrize("reports", [False, True])
def test_checkpoint_rejects_a_version_only_beside_reports_from_others(reports):
    # A process that has just started doesn't know the answers that outweigh them.
    controller, _, clock, others = make_late_starter((0, 0))
    rollout = controller._view.get_rollout("app")
    rollout.stage = Stage("app", 5, 2, 0.1, 13.5, 7, bad_answers=39)
    for version, answers in (("v1", 16), ("v2", 4)):
        for number in range(answers):
            key = TallyKey("app", version, "route", 5)
            controller._counts.tallies.count(key, number % 2 == 0)
    run_for(controller, clock, 4.5, reporting=others if reports else ())
    assert ("v2" in rollout.bad_versions) is reports


def test_log_of_a_stage_tells_whose_counts_it_rests_on(caplog):
    controller, _, clock, others = make_late_starter((400, 40))
    with caplog.at_level("INFO", logger="merlinnotch"):
        run_for(controller, clock, 4.5, reporting=others)
    written = [r for r in caplog.records if r.message == "rollout stage written"]
    assert written[0].counted_processes == 1
    assert written[0].present_instances == 4


def test_stage_is_kept_without_answers_of_the_new_version():
    controller, store, clock, others = make_late_starter((400, 0))
    run_for(controller, clock, 4.5, reporting=others)
    assert store.keys == []


def record_times(controller, version, load, times_s):
    """Record answer times of *version*, measured at an upstream's *load*."""
    for number, seconds in enumerate(times_s):
        time_band = get_time_band(seconds)
        key = TimeKey("app", version, "route", 5, "gap/small", load, time_band)
        controller._counts.times.merge(key, f"other-{number}", Tally(1))


def test_stage_is_kept_while_many_answers_are_slow():
    # Few answers are not enough to reject a version; a stage must not advance on them
    # either.
    controller, store, clock, others = make_late_starter((711, 16))
    record_times(controller, "v1", 1, [0.02] * 100 + [0.05] * 20)
    record_times(controller, "v2", 1, [0.02] * 10 + [0.05] * 6)
    run_for(controller, clock, 8.0, reporting=others)
    assert stage_key("app") not in store.keys
    assert status_key("app") not in store.keys


def test_rollout_with_many_slow_answers_is_not_completed():
    controller, store, clock, others = make_late_starter((711, 60))
    rollout = controller._view.get_rollout("app")
    rollout.stage = Stage("app", 5, 3, 1.0, 21.0, 8)
    record_times(controller, "v1", 1, [0.02] * 100 + [0.05] * 20)
    record_times(controller, "v2", 1, [0.02] * 22 + [0.05] * 14)
    run_for(controller, clock, 8.0, reporting=others)
    assert status_key("app") not in store.keys


def test_concurrent_rollouts_both_report_their_counters():
    view = FleetView(lambda *item: None)
    counts = AnswerCounts.start("one")
    transport = RecordingTransport()
    now = 100.0
    schedule = Schedule(0.15, 30.0)
    controller = rollout_controller.RolloutController(
        None, view, counts, transport, schedule, "one", lambda: now
    )
    for index, service in enumerate(("app", "engines")):
        rollout = view.get_rollout(service)
        rollout.order = RolloutOrder(service, "v2", 24.0, index)
        rollout.seen_at = now
    for _ in range(20):
        now += rollout_controller.POLL_INTERVAL_S
        for service, rollout in view.list_active_rollouts():
            key = TallyKey(service, "v1", "route", rollout.order.index)
            counts.tallies.count(key, bad=False)
            controller._report_counters(rollout, now)
    assert transport.services.count("app") == 10
    assert transport.services.count("engines") == 10
