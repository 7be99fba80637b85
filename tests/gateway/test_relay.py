"""Requests that instances relay for each other."""

import logging

import eventlet
import msgspec
import pytest
from eventlet.event import Event

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ErrorKind, Outcome
from merlinnotch._poison import fingerprint_parts
from merlinnotch._relay import (
    REFUSAL_FIELD,
    RELAY_FIELD,
    RelayedRefusal,
    RelayMark,
    RelayPeer,
    decode_refusal,
    encode_mark,
    encode_refusal,
)
from standins.platform_upstream import (
    StandInUpstream,
    hang,
    make_answer,
    make_answer_script,
    make_stream_script,
    refuse,
    reset,
    write_stream,
)
from tests.gateway.partition import Partition
from tests.platform_world import (
    ONCE_PATH,
    PLAIN_PATH,
    SIZED_PATH,
    STREAM_PATH,
    Caller,
    make_routes,
    read_to_end,
    wait_until,
)


@pytest.fixture
def start_fleet(world):
    """Return a function that starts instances that know each other."""

    def start_fleet(*names):
        processes = [world.add_instance(name) for name in names]
        for process in processes:
            wait_until(lambda p=process: len(p.view.list_present_peers()) == len(names))
        return processes

    return start_fleet


@pytest.fixture
def start_pair(world, start_fleet):
    """Return a function that starts an instance without upstreams and its peer."""

    def start_pair(**upstreams):
        for upstream_id, script in upstreams.items():
            world.add_upstream(upstream_id, script, "engines")
            world.add_upstream(f"app-{upstream_id}", script, "app")
        partitioned, peer = start_fleet("one", "two")
        cut_off(world, partitioned)
        return partitioned, peer

    return start_pair


def cut_off(world, process):
    """Partition *process* and let it know that it reaches no upstream."""
    Partition(world, process)
    for upstream_id in world.upstreams:
        upstream = process.view.find_upstream(upstream_id)
        if process._loads.get(upstream).reachable:
            process._loads.get(upstream).reachable = False


def count_requests(world):
    return sum(len(upstream.requests) for upstream in world.upstreams.values())


def get_count(process, direction, result):
    return process.metrics.relays.labels(direction, result)._value.get()


def test_relayed_request_and_response_are_unchanged(world, start_pair):
    script = make_answer_script(b"body\r\n\0", status=201, extra=[("x-own", "1")])
    partitioned, _ = start_pair(a=script)
    response = Caller(partitioned).send(
        ONCE_PATH + "a%2Fb//c?q=%20", "POST", b"sent\r\n\0", x_tenant="forged"
    )
    assert (response.status, response.body) == (201, b"body\r\n\0")
    assert response.fields["x-server-seal"] == "s"
    assert response.fields["x-own"] == "1"
    assert not any(name.startswith("merlinnotch") for name in response.fields)
    sent = world.upstreams["app-a"].requests[0]
    assert (sent.method, sent.target, sent.body) == (
        "POST",
        ONCE_PATH + "a%2Fb//c?q=%20",
        b"sent\r\n\0",
    )
    assert sent.fields.get("x-tenant") == "team-a"
    assert sent.fields.count("x-tenant") == 1
    assert sent.fields.get("x-credential") is None
    assert sent.fields.get(RELAY_FIELD) is None
    assert 1000 < int(sent.fields.get("x-deadline-ms")) <= 1500


def test_failure_of_the_upstream_is_relayed_unchanged(start_pair):
    partitioned, _ = start_pair(a=make_answer_script(b"no", status=409))
    response = Caller(partitioned).send(ONCE_PATH, "POST", b"x")
    assert (response.status, response.body) == (409, b"no")


def test_larger_model_is_asked_by_the_relaying_peer(start_pair):
    def script(request, write):
        model = request.fields.get("x-model")
        confidence = "5" if model == "small" else "95"
        extra = [("x-confidence", confidence), ("x-m", model)]
        return make_stream_script(last=2, extra=extra)(request, write)

    partitioned, _ = start_pair(a=script)
    response = Caller(partitioned).send(
        SIZED_PATH, "POST", b"x", x_model="*", x_token_counts="1000,400"
    )
    assert response.is_complete
    assert response.fields["x-m"] == "large"


def test_request_is_refused_at_once_if_no_instance_reaches_an_upstream(
    world, start_pair
):
    partitioned, peer = start_pair(a=make_answer_script())
    cut_off(world, peer)
    for process in (partitioned, peer):
        with eventlet.Timeout(1.0):
            response = Caller(process).send(PLAIN_PATH)
        assert response.status == 503
        assert float(response.fields["retry-after"]) > 0.0
    assert count_requests(world) == 0
    assert get_count(partitioned, "received", "accepted") == 0


def test_relayed_request_is_not_relayed_again(world, start_pair, monkeypatch):
    monkeypatch.setattr(
        "merlinnotch._gateway.service_checker.ServiceChecker.reaches",
        lambda checker, service: True,
    )
    partitioned, peer = start_pair(a=make_answer_script())
    cut_off(world, peer)
    assert Caller(partitioned).send(PLAIN_PATH).status == 503
    assert get_count(peer, "received", "accepted") == 1
    assert get_count(partitioned, "received", "accepted") == 0


def test_mark_of_a_caller_is_dropped(world, start_fleet):
    upstream = world.add_upstream("i-1", make_answer_script())
    (process,) = start_fleet("one")
    mark = RelayMark(
        origin="one",
        configuration_version=1,
        team="forged",
        service="app",
        remaining_s=60.0,
    )
    caller = Caller(process)
    response = caller.send(PLAIN_PATH, merlinnotch_relay=encode_mark(mark))
    assert response.status == 200
    response = caller.send(
        PLAIN_PATH, merlinnotch_relay=encode_mark(mark), x_credential=None
    )
    assert response.status == 401
    assert upstream.requests[0].fields.get("x-tenant") == "team-a"
    assert upstream.requests[0].fields.get(RELAY_FIELD) is None


@pytest.mark.parametrize("value", ["", "nonsense", "unlisted"])
def test_invalid_mark_is_rejected_and_counted(world, start_fleet, value):
    upstream = world.add_upstream("i-1", make_answer_script())
    (process,) = start_fleet("one")
    if value == "unlisted":
        mark = RelayMark(
            origin="nobody",
            configuration_version=1,
            team="team-a",
            service="app",
            remaining_s=60.0,
        )
        value = encode_mark(mark)
    caller = Caller(process)
    caller.address = process.settings.instance.peer_address
    data = caller.encode(PLAIN_PATH).replace(
        b"\r\n\r\n", b"\r\nmerlinnotch-relay: %s\r\n\r\n" % value.encode()
    )
    sock = caller.open()
    sock.sendall(data)
    assert read_to_end(sock).startswith(b"HTTP/1.1 403")
    assert get_count(process, "received", "invalid") == 1
    assert upstream.requests == []


def test_request_that_runs_once_is_not_sent_again_if_its_peer_breaks_off(
    world, start_pair, start_fleet
):
    partitioned, peer = start_pair(a=hang)
    sender = eventlet.spawn(Caller(partitioned).send, ONCE_PATH, "POST", b"x")
    wait_until(lambda: count_requests(world) == 1)
    break_off_relays(peer)
    assert sender.wait().status == 502
    assert count_requests(world) == 1


def break_off_relays(process):
    """Close the connections of relayed requests without a response."""
    for interrupter in list(process.gateway._interrupters):
        interrupter._connection.shut_down()


def test_request_that_runs_once_and_was_refused_is_sent_to_another_peer(
    world, start_fleet
):
    world.add_upstream("i-1", make_answer_script(), "app")
    partitioned, denying, other = start_fleet("one", "two", "three")
    cut_off(world, partitioned)
    denying.gateway.is_shutting_down = True
    denying.relay_exchange.accepts_relays = lambda: True
    for _ in range(6):
        assert Caller(partitioned).send(ONCE_PATH, "POST", b"x").status == 200
    assert count_requests(world) == 6
    assert get_count(other, "received", "accepted") == 6


def test_peer_that_shuts_down_is_not_asked(world, start_fleet):
    world.add_upstream("i-1", make_answer_script(), "app")
    partitioned, stopping, other = start_fleet("one", "two", "three")
    cut_off(world, partitioned)
    stopping.gateway.is_shutting_down = True
    for _ in range(6):
        assert Caller(partitioned).send(PLAIN_PATH).status == 200
    assert get_count(stopping, "received", "denied") == 0
    assert get_count(other, "received", "accepted") == 6


def test_unknown_outcome_of_a_relayed_request_stays_unknown(start_pair):
    partitioned, _ = start_pair(a=reset)
    assert Caller(partitioned).send(ONCE_PATH, "POST", b"x").status == 502


def test_stream_is_resumed_through_another_peer(world, start_fleet):
    world.add_upstream("i-1", make_stream_script(last=12, pause_s=0.1), "engines")
    partitioned, *peers = start_fleet("one", "two", "three")
    cut_off(world, partitioned)
    sender = eventlet.spawn(Caller(partitioned).send, STREAM_PATH, "POST", b"x")
    wait_until(lambda: any(peer.gateway.in_flight for peer in peers))
    eventlet.sleep(0.4)
    relaying = next(peer for peer in peers if peer.gateway.in_flight)
    break_off_relays(relaying)
    response = sender.wait()
    assert response.is_complete
    ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: %d" % number for number in range(1, 13)]


def test_disconnect_of_the_caller_ends_the_relayed_run(world, start_pair):
    partitioned, _ = start_pair(a=hang)
    caller = Caller(partitioned)
    sock = caller.open()
    sock.sendall(caller.encode(PLAIN_PATH))
    wait_until(lambda: count_requests(world) == 1)
    sock.close()
    wait_until(lambda: world.upstreams["app-a"].disconnect_count == 1)


def test_deadline_of_the_caller_is_kept_by_a_relayed_request(start_pair):
    partitioned, _ = start_pair(a=hang)
    with eventlet.Timeout(1.5):
        response = Caller(partitioned).send(PLAIN_PATH, x_deadline_ms="400")
    assert response.status == 504


def test_relayed_request_is_counted_once(world, start_pair):
    partitioned, peer = start_pair(a=make_answer_script())
    for _ in range(3):
        assert Caller(partitioned).send(PLAIN_PATH).status == 200
    outcomes = [p.metrics.requests.labels("answered") for p in (partitioned, peer)]
    assert [outcome._value.get() for outcome in outcomes] == [3, 0]
    assert get_count(partitioned, "sent", "answered") == 3
    assert get_count(peer, "received", "accepted") == 3


def test_first_attempts_are_counted_at_the_origin_only(world, start_pair, monkeypatch):
    counted = []
    monkeypatch.setattr(
        "merlinnotch._limits.sliding_window.SlidingWindowRetryBudget.record_first_attempt",
        lambda budget, now: counted.append(now),
    )
    partitioned, _ = start_pair(a=make_answer_script())
    assert Caller(partitioned).send(PLAIN_PATH).status == 200
    assert len(counted) == 1


def test_peer_with_an_older_configuration_leaves_requests_to_others(world, start_pair):
    partitioned, peer = start_pair(a=make_answer_script())
    newer = partitioned.view.configuration
    newer = type(newer)(**vars(newer) | {"version": newer.version + 1})
    partitioned.view.configuration = newer
    assert Caller(partitioned).send(PLAIN_PATH).status == 503
    assert count_requests(world) == 0


def test_log_names_the_peers_of_a_relayed_request(start_pair, caplog):
    caplog.set_level(logging.INFO, "merlinnotch")
    partitioned, _ = start_pair(a=make_answer_script())
    Caller(partitioned).send(PLAIN_PATH)
    wait_until(lambda: len(find_ended(caplog)) == 2)
    origin_record = next(r for r in find_ended(caplog) if r.relayed_by)
    peer_record = next(r for r in find_ended(caplog) if r.relayed_from)
    assert (origin_record.relayed_by, peer_record.relayed_from) == ("two", "one")
    assert origin_record.relay_age_ms >= 0.0


def find_ended(caplog):
    return [r for r in caplog.records if r.getMessage() == "request ended"]


def test_requests_go_straight_to_upstreams_after_the_partition(world, start_fleet):
    world.add_upstream("i-1", make_answer_script(), "app")
    partitioned, peer = start_fleet("one", "two")
    partition = Partition(world, partitioned)
    wait_until(lambda: Caller(partitioned).send(PLAIN_PATH).status == 200)
    wait_until(lambda: get_count(partitioned, "sent", "answered") > 0)
    partition.heal()
    upstream = partitioned.view.find_upstream("i-1")
    wait_until(lambda: partitioned._loads.get(upstream).reachable)
    relayed_count = get_count(peer, "received", "accepted")
    for _ in range(5):
        assert Caller(partitioned).send(PLAIN_PATH).status == 200
    assert get_count(peer, "received", "accepted") == relayed_count


def test_silent_stream_is_resumed_through_a_peer_once_it_is_unreachable(
    world, start_fleet, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 3600.0)
    events = [(1, b"id: 1\ndata: piece 1\n\n"), (2, b"id: 2\ndata: piece 2\n\n")]
    scripts = [
        lambda request, write: write_stream(request, write, events[:1], pause_s=3600)
    ]

    def script(request, write):
        answer = scripts.pop() if scripts else make_stream_script(last=2)
        return answer(request, write)

    world.add_upstream("i-1", script, "engines")
    world.add_upstream("i-2", script, "engines")
    partitioned, _ = start_fleet("one", "two")
    sender = eventlet.spawn(Caller(partitioned).send, STREAM_PATH, "POST", b"x")
    wait_until(lambda: count_requests(world) == 1)
    Partition(world, partitioned)
    response = sender.wait()
    assert response.is_complete
    assert response.body.count(b"data: piece") == 2


def test_repeat_through_another_peer_takes_a_retry_if_the_first_one_sent(
    world, start_fleet, monkeypatch
):
    taken = []
    monkeypatch.setattr(
        "merlinnotch._gateway.forwarder.Forwarder._take_retry",
        lambda forwarder, call, now: taken.append(call.send_count) or True,
    )
    world.add_upstream("i-1", refuse, "app")
    partitioned, _, _ = start_fleet("one", "two", "three")
    cut_off(world, partitioned)
    assert Caller(partitioned).send(PLAIN_PATH).status == 503
    assert count_requests(world) == 2
    assert taken == [1]


def test_requests_wait_for_answers_only_when_the_first_one_needs_a_peer(
    world, start_fleet, monkeypatch
):
    monkeypatch.setattr("merlinnotch._entry.relay_exchange.NEED_TTL_S", 0.3)
    monkeypatch.setattr("merlinnotch._entry.relay_exchange.FIRST_ANSWER_TIMEOUT_S", 0.1)
    waits = []

    class CountingEvent(Event):
        def wait(self, timeout=None):
            waits.append(timeout)
            return super().wait(timeout)

    monkeypatch.setattr("merlinnotch._entry.relay_exchange.Event", CountingEvent)
    world.add_upstream("i-1", make_answer_script(), "app")
    partitioned, peer = start_fleet("one", "two")
    cut_off(world, partitioned)
    cut_off(world, peer)
    assert partitioned.relay_exchange.find_peer("app", set()) is None
    first_wait_count = len(waits)
    assert first_wait_count >= 1
    for _ in range(12):
        eventlet.sleep(0.1)
        assert partitioned.relay_exchange.find_peer("app", set()) is None
    assert len(waits) == first_wait_count


def test_peer_that_answers_no_questions_is_given_up(world, start_fleet):
    scripts = [hang]

    def script(request, write):
        answer = scripts.pop() if scripts else make_answer_script()
        return answer(request, write)

    world.add_upstream("i-1", script, "app")
    world.configure(routes=[route | {"timeout-ms": 4000} for route in make_routes()])
    partitioned, *peers = start_fleet("one", "two", "three")
    cut_off(world, partitioned)
    sender = eventlet.spawn(Caller(partitioned).send, PLAIN_PATH, x_deadline_ms="4000")
    wait_until(lambda: any(peer.gateway.in_flight for peer in peers))
    silent = next(peer for peer in peers if peer.gateway.in_flight)
    silent.relay_exchange._answer = lambda question: None
    assert sender.wait().status == 200


def test_peer_that_shuts_down_finishes_relayed_requests(world, start_fleet):
    def answer_late(request, write):
        eventlet.sleep(1.2)
        return make_answer_script()(request, write)

    world.add_upstream("i-1", answer_late, "app")
    routes = [route | {"timeout-ms": 3000, "goal-ms": 2000} for route in make_routes()]
    world.configure(routes=routes)
    partitioned, *peers = start_fleet("one", "two", "three")
    cut_off(world, partitioned)
    sender = eventlet.spawn(Caller(partitioned).send, PLAIN_PATH)
    wait_until(lambda: any(peer.gateway.in_flight for peer in peers))
    stopping = next(peer for peer in peers if peer.gateway.in_flight)
    stopping.gateway.is_shutting_down = True
    assert sender.wait().status == 200
    assert count_requests(world) == 1


def test_request_is_relayed_if_only_the_upstreams_it_may_use_are_unreachable(
    world, start_pair, monkeypatch
):
    monkeypatch.setattr(
        "merlinnotch._gateway.choice.UpstreamChooser._check_reachable",
        lambda chooser, call, accepting: None,
    )
    partitioned, peer = start_pair(a=make_answer_script())
    assert Caller(partitioned).send(PLAIN_PATH).status == 200
    assert get_count(peer, "received", "accepted") == 1


PROMPT = "aa01:100,bb02:50,cc03:10"
BLOCKED_PART = fingerprint_parts(["bb02", ""])[0]


def send_prompt(process):
    return Caller(process).send(
        STREAM_PATH + "a", "POST", b"body", x_prompt_prefix=PROMPT
    )


def test_request_with_a_part_that_only_the_peer_knows_as_blocked_is_refused(
    world, start_pair
):
    partitioned, peer = start_pair(i1=make_stream_script())
    peer.view.blocked.add(BLOCKED_PART, read_clock())
    answer = send_prompt(partitioned)
    assert answer.status == 503
    assert b"request_blocked" in answer.body
    assert world.upstreams["i1"].requests == []


def test_relayed_request_that_waits_is_abandoned_when_its_part_is_blocked(
    world, start_pair
):
    partitioned, peer = start_pair(i1=hang)
    upstream = world.upstreams["i1"]
    call = eventlet.spawn(send_prompt, partitioned)
    wait_until(lambda: upstream.requests)
    peer.view.blocked.add(BLOCKED_PART, read_clock())
    assert call.wait().status == 502
    wait_until(lambda: upstream.disconnect_count == 1)
    assert len(upstream.requests) == 1


EVENT = b"id: 1\ndata: late\n\n"
NOT_RUN = RelayedRefusal(
    kind=ErrorKind.NO_UPSTREAM, outcome=Outcome.NOT_RUN, is_elsewhere_possible=True
)


def make_refusal(attempt_id):
    """Return the bytes of a peer's refusal of the request *attempt_id*."""
    refusal = msgspec.structs.replace(NOT_RUN, attempt_id=attempt_id)
    field = f"{REFUSAL_FIELD}: {encode_refusal(refusal)}\r\n"
    return b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n%s\r\n" % field.encode()


def make_late_response(request, attempt_id):
    """Return the bytes of an answer like that to *request*, but to *attempt_id*."""
    own = request.fields.get("x-attempt-id").encode()
    return make_answer(request, EVENT).replace(own, attempt_id.encode())


@pytest.fixture
def start_with_peer(world, start_fleet):
    """Return a function that starts an instance which relays through one peer.

    The peer answers the nth request with the nth of the *scripts*.
    """

    def start_with_peer(*scripts):
        remaining = list(scripts)
        services = ("app", "engines")
        for service in services:
            world.add_upstream(f"{service}-1", make_answer_script(), service)
        (process,) = start_fleet("one")
        cut_off(world, process)
        peer = StandInUpstream(lambda request, write: remaining.pop(0)(request, write))
        world.upstreams["peer"] = peer
        relay_peer = RelayPeer(
            "two", "zone-a", peer.address, frozenset(services), 0, read_clock()
        )
        process.relay_exchange.find_peer = lambda service, excluded: (
            None if "two" in excluded else relay_peer
        )
        return process, peer

    return start_with_peer


def make_late_script(make_late):
    """Return a script that writes a late answer before that to its request."""

    def script(request, write):
        write(make_late(request))
        write(make_answer(request, b"own"))
        return True

    return script


@pytest.mark.parametrize("attempt_id", ["another", None])
def test_late_refusal_of_a_peer_does_not_count_for_the_next_request(
    start_with_peer, attempt_id
):
    process, peer = start_with_peer(
        make_answer_script(),
        make_late_script(lambda request: make_refusal(attempt_id)),
        make_answer_script(),
    )
    caller = Caller(process)
    assert [caller.send(PLAIN_PATH).status for _ in range(3)] == [200, 502, 200]
    assert [len(peer.requests), peer.connection_count] == [3, 2]


@pytest.mark.parametrize("path", [PLAIN_PATH, STREAM_PATH])
def test_late_response_of_a_peer_is_not_delivered_to_the_next_caller(
    start_with_peer, path
):
    process, peer = start_with_peer(
        make_answer_script(),
        make_late_script(lambda request: make_late_response(request, "another")),
        make_answer_script(),
    )
    caller = Caller(process)
    answers = [caller.send(path) for path in (PLAIN_PATH, path, PLAIN_PATH)]
    assert [answer.status for answer in answers] == [200, 502, 200]
    assert peer.connection_count == 2


def test_response_of_a_peer_that_names_no_request_is_not_delivered(start_with_peer):
    def answer_without_id(request, write):
        write(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n")
        return True

    process, _ = start_with_peer(answer_without_id)
    assert Caller(process).send(ONCE_PATH, "POST", b"x").status == 502


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_status_of_a_peer_that_means_not_run_is_not_delivered_without_a_refusal(
    start_with_peer, status
):
    process, _ = start_with_peer(make_answer_script(b"why", status))
    answer = Caller(process).send(ONCE_PATH, "POST", b"x")
    assert answer.status == 502
    assert b"why" not in answer.body


@pytest.mark.parametrize("names_request", [True, False])
def test_refusal_on_a_new_link_to_a_peer_still_means_not_run(
    start_with_peer, names_request
):
    def refuse_relay(request, write):
        attempt_id = request.fields.get("x-attempt-id")
        write(make_refusal(attempt_id if names_request else None))
        return True

    process, _ = start_with_peer(refuse_relay)
    assert Caller(process).send(ONCE_PATH, "POST", b"x").status == 503


def test_refusal_that_names_its_request_is_believed_on_a_kept_link(start_with_peer):
    def refuse_relay(request, write):
        write(make_refusal(request.fields.get("x-attempt-id")))
        return True

    process, peer = start_with_peer(
        make_answer_script(), refuse_relay, make_answer_script()
    )
    caller = Caller(process)
    assert [caller.send(PLAIN_PATH).status for _ in range(3)] == [200, 503, 200]
    assert peer.connection_count == 1


@pytest.mark.parametrize("cause", ["host", "denied", "admission", "no upstream"])
def test_each_refusal_of_a_peer_names_its_request(world, start_fleet, cause):
    world.add_upstream("i-1", make_answer_script(), "app")
    origin, process = start_fleet("one", "two")
    mark = RelayMark(
        origin="nobody" if cause == "host" else "one",
        configuration_version=99 if cause == "admission" else 1,
        team="team-a",
        service="app",
        remaining_s=5.0,
    )
    if cause == "denied":
        process.gateway.is_shutting_down = True
    if cause == "no upstream":
        cut_off(world, process)
    caller = Caller(process)
    caller.address = process.settings.instance.peer_address
    data = caller.encode(PLAIN_PATH, x_attempt_id="asked").replace(
        b"\r\n\r\n", b"\r\nmerlinnotch-relay: %s\r\n\r\n" % encode_mark(mark).encode()
    )
    sock = caller.open()
    sock.sendall(data)
    refusal = decode_refusal(get_raw_field(read_to_end(sock), REFUSAL_FIELD))
    assert (refusal.attempt_id, refusal.outcome) == ("asked", Outcome.NOT_RUN)


def get_raw_field(data, name):
    """Return the value of a header field, whose case Answer doesn't keep."""
    lines = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    return next(line.partition(": ")[2] for line in lines if line.startswith(name))
