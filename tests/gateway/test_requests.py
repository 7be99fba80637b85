"""What callers get, by kind of request and by what upstreams do."""

import json

import eventlet
import pytest

from standins.platform_upstream import (
    StandInUpstream,
    answer,
    hang,
    make_answer,
    refuse,
    reset,
    stream,
)
from tests.platform_world import (
    ONCE,
    PLAIN,
    PORTS,
    SIZED,
    STREAM,
    Caller,
    make_configuration,
    read_to_end,
    wait_until,
)


def count_runs(world):
    return sum(len(upstream.requests) for upstream in world.upstreams.values())


def test_a_request_passes_through_byte_for_byte(world, caller):
    upstream = world.add_upstream("i-1", answer(b"body\r\n\0", extra=[("x-own", "1")]))
    got = caller.send(ONCE + "a%2Fb//c?q=%20", "POST", b"sent\r\n\0", x_tenant="forged")
    assert (got.status, got.body, got.fields["x-own"]) == (200, b"body\r\n\0", "1")
    assert got.fields["x-server-seal"] == "s"
    sent = upstream.requests[0]
    assert (sent.method, sent.target, sent.body) == (
        "POST",
        ONCE + "a%2Fb//c?q=%20",
        b"sent\r\n\0",
    )
    assert sent.fields.get("x-tenant") == "team-a"
    assert sent.fields.count("x-tenant") == 1
    assert sent.fields.get("x-credential") is None
    assert sent.fields.get("x-expect-instance") == "i-1"
    # The route waits less long than the caller.
    assert 1000 < int(sent.fields.get("x-deadline-ms")) <= 1500


def test_fields_that_only_the_product_sets_are_dropped(world, caller):
    upstream = world.add_upstream("i-1")
    caller.send(PLAIN, x_hold="1", x_pin_ms="2", x_kv_backup="3", kv_from="4")
    names = {name for name, _ in upstream.requests[0].fields.pairs}
    assert not names & {"x-hold", "x-pin-ms", "x-kv-backup", "kv-from"}


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        ("/nowhere/", {}, 404),
        (PLAIN, {"x_credential": "unknown"}, 401),
        (PLAIN, {"x_credential": None}, 401),
        (PLAIN, {"host": "other.example"}, 404),
    ],
)
def test_what_is_not_declared_is_refused(world, caller, path, fields, status):
    world.add_upstream("i-1")
    assert caller.send(path, **fields).status == status
    assert count_runs(world) == 0


@pytest.mark.parametrize("script", [refuse, reset, answer(status=500)])
def test_an_idempotent_request_is_sent_again(world, caller, script):
    first = world.add_upstream("i-1", script)
    second = world.add_upstream("i-2")
    for _ in range(4):
        assert caller.send(PLAIN).status == 200
    assert len(first.requests) + len(second.requests) > 4


def test_a_request_that_may_have_run_is_not_sent_again(world, caller):
    for number in range(3):
        world.add_upstream(f"i-{number}", reset)
    got = caller.send(ONCE, "POST", b"x")
    assert got.status == 502
    assert "retry-after" not in got.fields
    assert count_runs(world) == 1


def test_a_request_that_did_not_run_is_sent_to_another(world, caller):
    world.add_upstream("i-1", refuse)
    world.add_upstream("i-2", refuse)
    world.add_upstream("i-3")
    for _ in range(3):
        assert caller.send(ONCE, "POST", b"x").status == 200


def test_a_request_that_ran_nowhere_is_refused_with_a_time_to_return(world, caller):
    world.add_upstream("i-1", refuse)
    got = caller.send(ONCE, "POST", b"x")
    assert got.status == 503
    assert 0 < float(got.fields["retry-after"]) <= 1.0


def test_another_upstream_at_the_address_does_not_run_it(world, caller):
    world.add_upstream("i-1", answer(b"", status=421))
    world.add_upstream("i-2")
    for _ in range(3):
        assert caller.send(ONCE, "POST", b"x").status == 200


def test_the_failure_of_an_upstream_is_passed_on_unchanged(world, caller):
    world.add_upstream("i-1", answer(b"why", status=500))
    got = caller.send(ONCE, "POST", b"x")
    assert (got.status, got.body, got.fields["x-server-seal"]) == (500, b"why", "s")


def test_an_answer_to_another_request_is_not_delivered(world, caller):
    def script(request, write):
        request.fields.pairs = [("x-attempt-id", "another")]
        write(make_answer(request, b"theirs"))
        return True

    world.add_upstream("i-1", script)
    got = caller.send(ONCE, "POST", b"x")
    assert got.status == 502
    assert b"theirs" not in got.body


def test_a_silent_upstream_ends_with_the_routes_timeout(world, caller):
    world.add_upstream("i-1", hang)
    assert caller.send(ONCE, "POST", b"x").status == 504


def test_a_silent_upstream_is_given_up_for_another(world, caller):
    world.add_upstream("i-1", hang)
    world.add_upstream("i-2")
    for _ in range(3):
        assert caller.send(PLAIN).status == 200


def test_a_caller_that_leaves_ends_the_work(world, caller):
    upstream = world.add_upstream("i-1", hang)
    sock = caller.open()
    sock.sendall(caller.encode(ONCE, "POST", b"x"))
    wait_until(lambda: upstream.requests)
    sock.close()
    wait_until(lambda: upstream.left == 1)


def test_events_are_passed_on_as_they_come(world, caller):
    world.add_upstream("i-1", stream(last=5), service="engines")
    got = caller.send(STREAM, "POST", b"x")
    assert got.whole
    assert got.body.count(b"data: piece") == 5


def test_a_stream_that_stops_goes_on_elsewhere(world, caller):
    world.add_upstream("i-1", stream(last=6, stop_after=2), service="engines")
    world.add_upstream("i-2", stream(last=6, stop_after=4), service="engines")
    world.add_upstream("i-3", stream(last=6), service="engines")
    for _ in range(4):
        got = caller.send(STREAM, "POST", b"x")
        if got.whole:
            ids = [line for line in got.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == [b"id: %d" % number for number in range(1, 7)]
    assert got.whole


def test_a_stream_that_can_not_go_on_does_not_look_whole(world, caller):
    world.add_upstream("i-1", stream(last=6, stop_after=2), service="engines")
    got = caller.send(STREAM, "POST", b"x")
    assert got.status == 200
    assert not got.whole
    assert got.body.count(b"\n\n") == 2


def test_a_missing_event_is_not_passed_over(world, caller):
    def script(request, write):
        head = make_answer(request).partition(b"content-length: 4\r\n")
        write(head[0] + b"connection: close\r\n" + head[2][:-4])
        write(b"id: 1\ndata: a\n\nid: 3\ndata: c\n\n")
        return False

    world.add_upstream("i-1", script, service="engines")
    got = caller.send(STREAM, "POST", b"x")
    assert b"data: c" not in got.body
    assert got.status == 502 or not got.whole


def test_a_doubtful_answer_of_a_small_model_is_asked_again_of_a_large_one(
    world, caller
):
    def script(request, write):
        model = request.fields.get("x-model")
        confidence = "5" if model == "small" else "95"
        return stream(last=2, extra=[("x-confidence", confidence), ("x-m", model)])(
            request, write
        )

    upstream = world.add_upstream("i-1", script, service="engines")
    got = caller.send(SIZED, "POST", b"x", x_model="*", x_token_counts="1000,400")
    assert got.whole
    assert got.fields["x-m"] == "large"
    models = [request.fields.get("x-model") for request in upstream.requests]
    assert models == ["small", "large"]


def test_a_confident_answer_of_a_small_model_is_delivered(world, caller):
    script = stream(last=2, extra=[("x-confidence", "90")])
    upstream = world.add_upstream("i-1", script, service="engines")
    caller.send(SIZED, "POST", b"x", x_model="*", x_token_counts="1000,400")
    assert len(upstream.requests) == 1


def test_several_requests_share_a_connection(world, caller):
    world.add_upstream("i-1")
    sock = caller.open()
    for _ in range(3):
        sock.sendall(caller.encode(PLAIN, connection=None))
        assert b"200" in sock.recv(4096)
    sock.sendall(caller.encode(PLAIN))
    assert read_to_end(sock).startswith(b"HTTP/1.1 200")


def test_malformed_requests_are_refused_and_the_connection_closed(world, caller):
    world.add_upstream("i-1")
    sock = caller.open()
    sock.sendall(b"GET / HTTP/1.1\nHost: h\n\n" + b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert read_to_end(sock).startswith(b"HTTP/1.1 400")
    assert count_runs(world) == 0


def test_an_unreachable_upstream_is_passed_over(world, caller):
    world.add_upstream("i-1").close()
    world.add_upstream("i-2")
    for _ in range(3):
        assert caller.send(ONCE, "POST", b"x").status == 200


def test_a_request_that_never_left_is_tried_anywhere(world, caller):
    # The route allows three upstreams; those that refuse connections don't count.
    for number in range(5):
        world.add_upstream(f"i-{number}").close()
    world.add_upstream("i-9")
    assert caller.send(ONCE, "POST", b"x").status == 200


def test_an_upstream_is_used_again_once_it_can_be_reached(world, caller):
    upstream = world.add_upstream("i-1")
    address = upstream.address
    upstream.close()
    assert caller.send(PLAIN).status == 503
    again = StandInUpstream(answer(), address)
    wait_until(lambda: again.connections)
    assert caller.send(PLAIN).status == 200
    again.close()


def test_a_request_waits_no_longer_than_its_caller(world, caller):
    world.add_upstream("i-1", hang)
    with eventlet.Timeout(1.0):
        assert caller.send(PLAIN, x_deadline_ms="200").status == 504


def test_where_no_upstream_is_reached_callers_are_refused_at_once_for_longer(world):
    address = PORTS.pick("127.0.0.1")
    world.list_upstream("i-1", "engines", address)
    caller = Caller(world.add_instance())
    assert caller.send(STREAM, "POST", b"x").status == 503
    again = caller.send(STREAM, "POST", b"x", x_deadline_ms="12000")
    assert again.status == 503
    # A third of what the route allows, not half a second.
    assert 1.0 < float(again.fields["retry-after"]) <= 1.2
    short = caller.send(STREAM, "POST", b"x", x_deadline_ms="1500")
    assert float(short.fields["retry-after"]) <= 0.45
    upstream = StandInUpstream(stream(), address)
    wait_until(lambda: caller.send(STREAM, "POST", b"x").status == 200, 4.0)
    upstream.close()


def test_a_success_that_its_upstream_did_not_seal_is_no_answer(world, caller):
    def unsealed(request, write):
        head = f"x-attempt-id: {request.fields.get('x-attempt-id')}"
        lines = ["HTTP/1.1 200 X", "content-length: 5", head]
        write("\r\n".join(lines).encode() + b"\r\n\r\nwrong")
        return True

    world.add_upstream("i-1", unsealed)
    assert caller.send(ONCE, "POST", b"x").status == 502
    world.add_upstream("i-2")
    view = world.instances[0].view
    wait_until(lambda: len(view.list_upstreams("app")) == 2)
    for _ in range(3):
        assert caller.send(PLAIN).body == b"done"


def test_callers_are_refused_at_once_while_every_zone_is_evacuated(world, caller):
    upstream = world.add_upstream("i-1")
    wait_until(lambda: caller.send(PLAIN).status == 200)
    served = len(upstream.requests)
    world.store.put("op/evacuate/zone-a", {})
    wait_until(lambda: world.instances[0].view.list_evacuated_zones() == ["zone-a"])
    got = caller.send(ONCE, "POST", b"x")
    assert got.status == 503
    assert json.loads(got.body) == {"error": "evacuated", "outcome": "not-run"}
    assert float(got.fields["retry-after"]) > 0
    assert len(upstream.requests) == served
    world.store.delete("op/evacuate/zone-a")
    wait_until(lambda: not world.instances[0].view.list_evacuated_zones())
    assert caller.send(PLAIN).status == 200


def test_what_follows_a_failed_send_keeps_out_of_an_evacuated_zone(world, caller):
    def fail_and_evacuate(request, write):
        world.store.put("op/evacuate/zone-a", {})
        view = world.instances[0].view
        wait_until(lambda: view.is_zone_evacuated("zone-a"))
        return reset(request, write)

    first = world.add_upstream("i-1", fail_and_evacuate)
    second = world.add_upstream("i-2", fail_and_evacuate)
    away = world.add_upstream("i-3", zone="zone-b")
    assert caller.send(PLAIN).status == 200
    assert len(away.requests) == 1
    assert len(first.requests) + len(second.requests) <= 1


def stall_after(upstream_of, last, closes):
    """Return a script that falls silent after the event *last*.

    With *closes* its upstream can't be connected to any more from then on.
    """

    def script(request, write):
        begin = int(request.fields.get("last-event-id", 0)) + 1
        events = [(n, b"id: %d\ndata: x\n\n" % n) for n in range(begin, last + 1)]
        write(make_stream_head(request) + b"".join(map(make_chunk, events)))
        if closes:
            upstream_of().close()
        eventlet.sleep(3600)

    return script


def make_stream_head(request):
    lines = ["HTTP/1.1 200 X", "transfer-encoding: chunked", "x-server-seal: s"]
    lines.append(f"x-attempt-id: {request.fields.get('x-attempt-id', '')}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_chunk(event):
    return b"%x\r\n%s\r\n" % (len(event[1]), event[1])


def send_through_a_stall(world, caller, closes):
    """Return what a caller gets of a stream that stalls at its first upstream."""
    script = stall_after(lambda: world.upstreams["i-1"], 2, closes)
    world.add_upstream("i-1", script, service="engines")
    done = []
    eventlet.spawn(lambda: done.append(caller.send(STREAM)))
    wait_until(lambda: world.upstreams["i-1"].requests)
    world.add_upstream("i-2", stream(1, 4), service="engines")
    wait_until(lambda: done)
    return done[0]


def test_a_stream_on_a_path_that_is_gone_goes_on_elsewhere(world, caller, monkeypatch):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 3600.0)
    got = send_through_a_stall(world, caller, closes=True)
    assert got.status == 200
    assert [b"id: %d" % n in got.body for n in (1, 2, 3, 4)] == [True] * 4
    assert len(world.upstreams["i-2"].requests) == 1
    assert world.upstreams["i-2"].requests[0].fields.get("last-event-id") == "2"


def test_a_silent_stream_of_an_upstream_that_is_there_is_waited_for(world, caller):
    got = send_through_a_stall(world, caller, closes=False)
    assert got.status == 200
    # The one that carries the request, and at least two checks of the path.
    assert world.upstreams["i-1"].connections >= 3


def make_warming_world(world):
    """List one engine that is cold, of a service that bounds what it gets then."""
    services = make_configuration(1)["services"]
    services[1] |= {"cold-s": 3.0, "cold-per-s": 0.1}
    world.configure(services=services)
    cold = {"service": "engines", "cold-left-ms": 60000}
    return world.add_upstream("i-1", stream(1, 2), **cold)


def test_where_all_are_cold_callers_are_refused_at_once_and_told_when_to_return(
    world, caller
):
    upstream = make_warming_world(world)
    got = caller.send(STREAM)
    assert got.status == 503
    assert json.loads(got.body) == {"error": "warming_up", "outcome": "not-run"}
    assert 0 < float(got.fields["retry-after"]) <= 1.0
    assert upstream.requests == []


def test_warm_upstreams_are_used_while_others_are_cold(world, caller):
    cold = make_warming_world(world)
    warm = world.add_upstream("i-2", stream(1, 2), service="engines")
    for _ in range(3):
        assert caller.send(STREAM).status == 200
    assert (len(cold.requests), len(warm.requests)) == (0, 3)
