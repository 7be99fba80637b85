"""Responses to callers, by kind of request and behavior of upstreams."""

import json

import eventlet
import pytest

from standins.platform_upstream import (
    StandInUpstream,
    hang,
    make_answer,
    make_answer_script,
    make_stream_script,
    refuse,
    reset,
)
from tests.platform_world import (
    ONCE_PATH,
    PLAIN_PATH,
    PORTS,
    SIZED_PATH,
    STREAM_PATH,
    Caller,
    make_configuration,
    read_to_end,
    wait_until,
)

HEAD_END = b"\r\n\r\n"


def count_upstream_requests(world):
    return sum(len(upstream.requests) for upstream in world.upstreams.values())


@pytest.mark.parametrize("path", [PLAIN_PATH, ONCE_PATH, SIZED_PATH])
def test_odd_figure_in_an_entry_leaves_the_others_in_use(world, caller, path):
    # Each request to the service failed while the entry was there.
    script = make_stream_script() if path == SIZED_PATH else make_answer_script()
    service = "engines" if path == SIZED_PATH else "app"
    upstream = world.add_upstream("i-1", script, service)
    world.list_upstream("odd", service, upstream.address, slots=10**400)
    assert [caller.send(path, "POST").status for _ in range(4)] == [200] * 4


def read_heads(sock, count):
    """Return the first lines of *count* responses without bodies."""
    data = b""
    while data.count(HEAD_END) < count and (part := sock.recv(65536)):
        data += part
    return [head.split(b"\r\n")[0] for head in data.split(HEAD_END)[:-1]]


def test_refused_head_request_is_answered(world, caller):
    # The connection was closed without an answer, though the request had run.
    world.add_upstream("i-1", hang)
    paths = ["/nowhere", PLAIN_PATH, "/nowhere"]
    with caller.open() as sock:
        for path in paths:
            sock.sendall(
                caller.encode(path, "HEAD", connection="", x_deadline_ms="300")
            )
            (line,) = read_heads(sock, 1)
            assert line.split()[1] == (b"504" if path == PLAIN_PATH else b"404")


def test_request_and_response_are_forwarded_unchanged(world, caller):
    upstream = world.add_upstream(
        "i-1", make_answer_script(b"body\r\n\0", extra=[("x-own", "1")])
    )
    response = caller.send(
        ONCE_PATH + "a%2Fb//c?q=%20", "POST", b"sent\r\n\0", x_tenant="forged"
    )
    assert (response.status, response.body, response.fields["x-own"]) == (
        200,
        b"body\r\n\0",
        "1",
    )
    assert response.fields["x-server-seal"] == "s"
    sent = upstream.requests[0]
    assert (sent.method, sent.target, sent.body) == (
        "POST",
        ONCE_PATH + "a%2Fb//c?q=%20",
        b"sent\r\n\0",
    )
    assert sent.fields.get("x-tenant") == "team-a"
    assert sent.fields.count("x-tenant") == 1
    assert sent.fields.get("x-credential") is None
    assert sent.fields.get("x-expect-instance") == "i-1"
    # The route's timeout is shorter than the caller's deadline.
    assert 1000 < int(sent.fields.get("x-deadline-ms")) <= 1500


def test_internal_header_fields_from_callers_are_dropped(world, caller):
    upstream = world.add_upstream("i-1")
    caller.send(PLAIN_PATH, x_hold="1", x_pin_ms="2", x_kv_backup="3", kv_from="4")
    names = {name for name, _ in upstream.requests[0].fields.pairs}
    assert not names & {"x-hold", "x-pin-ms", "x-kv-backup", "kv-from"}


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        ("/nowhere/", {}, 404),
        (PLAIN_PATH, {"x_credential": "unknown"}, 401),
        (PLAIN_PATH, {"x_credential": None}, 401),
        (PLAIN_PATH, {"host": "other.example"}, 404),
    ],
)
def test_unknown_routes_and_credentials_are_refused(
    world, caller, path, fields, status
):
    world.add_upstream("i-1")
    assert caller.send(path, **fields).status == status
    assert count_upstream_requests(world) == 0


@pytest.mark.parametrize("script", [refuse, reset, make_answer_script(status=500)])
def test_idempotent_request_is_retried(world, caller, script):
    first = world.add_upstream("i-1", script)
    second = world.add_upstream("i-2")
    for _ in range(4):
        assert caller.send(PLAIN_PATH).status == 200
    assert len(first.requests) + len(second.requests) > 4


def test_non_idempotent_request_that_may_have_run_is_not_retried(world, caller):
    for number in range(3):
        world.add_upstream(f"i-{number}", reset)
    response = caller.send(ONCE_PATH, "POST", b"x")
    assert response.status == 502
    assert "retry-after" not in response.fields
    assert count_upstream_requests(world) == 1


def test_request_that_did_not_run_is_retried(world, caller):
    world.add_upstream("i-1", refuse)
    world.add_upstream("i-2", refuse)
    world.add_upstream("i-3")
    for _ in range(3):
        assert caller.send(ONCE_PATH, "POST", b"x").status == 200


def test_request_that_ran_nowhere_gets_retry_after(world, caller):
    world.add_upstream("i-1", refuse)
    response = caller.send(ONCE_PATH, "POST", b"x")
    assert response.status == 503
    assert 0 < float(response.fields["retry-after"]) <= 1.0


def test_misdirected_request_is_retried(world, caller):
    world.add_upstream("i-1", make_answer_script(b"", status=421))
    world.add_upstream("i-2")
    for _ in range(3):
        assert caller.send(ONCE_PATH, "POST", b"x").status == 200


def test_error_response_of_upstream_is_forwarded_unchanged(world, caller):
    world.add_upstream("i-1", make_answer_script(b"why", status=500))
    response = caller.send(ONCE_PATH, "POST", b"x")
    assert (response.status, response.body, response.fields["x-server-seal"]) == (
        500,
        b"why",
        "s",
    )


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_not_run_is_not_forwarded_without_that_statement(
    world, caller, status
):
    world.add_upstream("i-1", make_answer_script(b"why", status=status))
    response = caller.send(ONCE_PATH, "POST", b"x")
    assert response.status == 502
    assert b"why" not in response.body
    assert not {"x-server-seal", "retry-after"} & set(response.fields)
    assert count_upstream_requests(world) == 1


def test_response_to_another_request_is_not_delivered(world, caller):
    def script(request, write):
        request.fields.pairs = [("x-attempt-id", "another")]
        write(make_answer(request, b"theirs"))
        return True

    world.add_upstream("i-1", script)
    response = caller.send(ONCE_PATH, "POST", b"x")
    assert response.status == 502
    assert b"theirs" not in response.body


def test_silent_upstream_ends_with_route_timeout(world, caller):
    world.add_upstream("i-1", hang)
    assert caller.send(ONCE_PATH, "POST", b"x").status == 504


def test_idempotent_request_to_silent_upstream_is_retried(world, caller):
    world.add_upstream("i-1", hang)
    world.add_upstream("i-2")
    for _ in range(3):
        assert caller.send(PLAIN_PATH).status == 200


def test_disconnect_of_caller_closes_upstream_connection(world, caller):
    upstream = world.add_upstream("i-1", hang)
    sock = caller.open()
    sock.sendall(caller.encode(ONCE_PATH, "POST", b"x"))
    wait_until(lambda: upstream.requests)
    sock.close()
    wait_until(lambda: upstream.disconnect_count == 1)


def test_all_events_are_relayed(world, caller):
    world.add_upstream("i-1", make_stream_script(last=5), service="engines")
    response = caller.send(STREAM_PATH, "POST", b"x")
    assert response.is_complete
    assert response.body.count(b"data: piece") == 5


def test_interrupted_stream_is_resumed_on_another_upstream(world, caller):
    world.add_upstream(
        "i-1", make_stream_script(last=6, stop_after=2), service="engines"
    )
    world.add_upstream(
        "i-2", make_stream_script(last=6, stop_after=4), service="engines"
    )
    world.add_upstream("i-3", make_stream_script(last=6), service="engines")
    for _ in range(4):
        response = caller.send(STREAM_PATH, "POST", b"x")
        if response.is_complete:
            ids = [
                line for line in response.body.split(b"\n") if line.startswith(b"id:")
            ]
            assert ids == [b"id: %d" % number for number in range(1, 7)]
    assert response.is_complete


def test_stream_that_cannot_be_resumed_is_left_incomplete(world, caller):
    world.add_upstream(
        "i-1", make_stream_script(last=6, stop_after=2), service="engines"
    )
    response = caller.send(STREAM_PATH, "POST", b"x")
    assert response.status == 200
    assert not response.is_complete
    assert response.body.count(b"\n\n") == 2


def test_missing_event_breaks_off_the_stream(world, caller):
    def script(request, write):
        head = make_answer(request).partition(b"content-length: 4\r\n")
        write(head[0] + b"connection: close\r\n" + head[2][:-4])
        write(b"id: 1\ndata: a\n\nid: 3\ndata: c\n\n")
        return False

    world.add_upstream("i-1", script, service="engines")
    response = caller.send(STREAM_PATH, "POST", b"x")
    assert b"data: c" not in response.body
    assert response.status == 502 or not response.is_complete


def test_low_confidence_response_is_replaced_by_a_larger_model(world, caller):
    def script(request, write):
        model = request.fields.get("x-model")
        confidence = "5" if model == "small" else "95"
        return make_stream_script(
            last=2, extra=[("x-confidence", confidence), ("x-m", model)]
        )(request, write)

    upstream = world.add_upstream("i-1", script, service="engines")
    response = caller.send(
        SIZED_PATH, "POST", b"x", x_model="*", x_token_counts="1000,400"
    )
    assert response.is_complete
    assert response.fields["x-m"] == "large"
    models = [request.fields.get("x-model") for request in upstream.requests]
    assert models == ["small", "large"]


def test_high_confidence_response_is_delivered(world, caller):
    script = make_stream_script(last=2, extra=[("x-confidence", "90")])
    upstream = world.add_upstream("i-1", script, service="engines")
    caller.send(SIZED_PATH, "POST", b"x", x_model="*", x_token_counts="1000,400")
    assert len(upstream.requests) == 1


def test_field_values_that_are_not_ascii_are_forwarded_unchanged(world, caller):
    name = "na\u00efve"
    script = make_answer_script(extra=[("content-disposition", name)])
    upstream = world.add_upstream("i-1", script)
    answer = caller.send(ONCE_PATH, "POST", x_note=name)
    sent = name.encode().decode("latin-1")
    assert answer.status == 200
    assert answer.fields["content-disposition"] == sent.lower()
    assert upstream.requests[0].fields.get("x-note") == sent


def test_response_to_a_request_of_ascii_may_have_other_values(world, caller):
    """Guards against a lost answer of a request that ran."""
    script = make_answer_script(extra=[("content-disposition", "na\u00efve")])
    world.add_upstream("i-1", script)
    assert caller.send(ONCE_PATH, "POST").status == 200


def test_response_with_a_superscript_as_timeout_is_forwarded(world, caller):
    """Guards against a lost answer of a request that ran."""
    field = b"keep-alive: timeout=\xb2\r\nx-server-seal"

    def script(request, write):
        write(make_answer(request).replace(b"x-server-seal", field))
        return True

    world.add_upstream("i-1", script)
    assert caller.send(ONCE_PATH, "POST").status == 200


def test_requests_share_a_keep_alive_connection(world, caller):
    world.add_upstream("i-1")
    sock = caller.open()
    for _ in range(3):
        sock.sendall(caller.encode(PLAIN_PATH, connection=None))
        assert b"200" in sock.recv(4096)
    sock.sendall(caller.encode(PLAIN_PATH))
    assert read_to_end(sock).startswith(b"HTTP/1.1 200")


def test_malformed_request_is_refused_and_connection_closed(world, caller):
    world.add_upstream("i-1")
    sock = caller.open()
    sock.sendall(b"GET / HTTP/1.1\nHost: h\n\n" + b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert read_to_end(sock).startswith(b"HTTP/1.1 400")
    assert count_upstream_requests(world) == 0


def test_unreachable_upstream_is_skipped(world, caller):
    world.add_upstream("i-1").close()
    world.add_upstream("i-2")
    for _ in range(3):
        assert caller.send(ONCE_PATH, "POST", b"x").status == 200


def test_refused_connections_do_not_count_towards_route_limit(world, caller):
    # More refused connections than the three upstreams that the route allows.
    for number in range(5):
        world.add_upstream(f"i-{number}").close()
    world.add_upstream("i-9")
    assert caller.send(ONCE_PATH, "POST", b"x").status == 200


def test_recovered_upstream_is_used_again(world, caller):
    upstream = world.add_upstream("i-1")
    address = upstream.address
    upstream.close()
    assert caller.send(PLAIN_PATH).status == 503
    restarted = StandInUpstream(make_answer_script(), address)
    wait_until(lambda: restarted.connection_count)
    assert caller.send(PLAIN_PATH).status == 200
    restarted.close()


def test_deadline_of_caller_is_kept(world, caller):
    world.add_upstream("i-1", hang)
    with eventlet.Timeout(1.0):
        assert caller.send(PLAIN_PATH, x_deadline_ms="200").status == 504


def test_longer_retry_after_while_no_upstream_is_reachable(world):
    address = PORTS.pick("127.0.0.1")
    world.list_upstream("i-1", "engines", address)
    caller = Caller(world.add_instance())
    assert caller.send(STREAM_PATH, "POST", b"x").status == 503
    second_response = caller.send(STREAM_PATH, "POST", b"x", x_deadline_ms="12000")
    assert second_response.status == 503
    # Limited by the remaining time, not the default for a missing upstream.
    assert 1.0 < float(second_response.fields["retry-after"]) <= 1.2
    short_deadline = caller.send(STREAM_PATH, "POST", b"x", x_deadline_ms="1500")
    assert float(short_deadline.fields["retry-after"]) <= 0.45
    upstream = StandInUpstream(make_stream_script(), address)
    wait_until(lambda: caller.send(STREAM_PATH, "POST", b"x").status == 200, 4.0)
    upstream.close()


def test_success_without_seal_is_not_delivered(world, caller):
    def unsealed(request, write):
        head = f"x-attempt-id: {request.fields.get('x-attempt-id')}"
        lines = ["HTTP/1.1 200 X", "content-length: 5", head]
        write("\r\n".join(lines).encode() + b"\r\n\r\nwrong")
        return True

    world.add_upstream("i-1", unsealed)
    assert caller.send(ONCE_PATH, "POST", b"x").status == 502
    world.add_upstream("i-2")
    view = world.instances[0].view
    wait_until(lambda: len(view.list_upstreams("app")) == 2)
    for _ in range(3):
        assert caller.send(PLAIN_PATH).body == b"done"


def test_requests_are_refused_while_every_zone_is_evacuated(world, caller):
    upstream = world.add_upstream("i-1")
    wait_until(lambda: caller.send(PLAIN_PATH).status == 200)
    served = len(upstream.requests)
    world.store.put("op/evacuate/zone-a", {})
    wait_until(lambda: world.instances[0].view.list_evacuated_zones() == ["zone-a"])
    response = caller.send(ONCE_PATH, "POST", b"x")
    assert response.status == 503
    assert json.loads(response.body) == {"error": "evacuated", "outcome": "not-run"}
    assert float(response.fields["retry-after"]) > 0
    assert len(upstream.requests) == served
    world.store.delete("op/evacuate/zone-a")
    wait_until(lambda: not world.instances[0].view.list_evacuated_zones())
    assert caller.send(PLAIN_PATH).status == 200


def test_retry_avoids_a_zone_evacuated_meanwhile(world, caller):
    def evacuate_and_reset(request, write):
        world.store.put("op/evacuate/zone-a", {})
        view = world.instances[0].view
        wait_until(lambda: view.is_zone_evacuated("zone-a"))
        return reset(request, write)

    first = world.add_upstream("i-1", evacuate_and_reset)
    second = world.add_upstream("i-2", evacuate_and_reset)
    other_zone = world.add_upstream("i-3", zone="zone-b")
    assert caller.send(PLAIN_PATH).status == 200
    assert len(other_zone.requests) == 1
    assert len(first.requests) + len(second.requests) <= 1


def make_stalling_script(last):
    """Return a script whose stream falls silent after the event *last*."""

    def script(request, write):
        begin = int(request.fields.get("last-event-id", 0)) + 1
        events = [(n, b"id: %d\ndata: x\n\n" % n) for n in range(begin, last + 1)]
        write(encode_stream_head(request) + b"".join(map(encode_chunk, events)))
        eventlet.sleep(3600)

    return script


def encode_stream_head(request):
    lines = ["HTTP/1.1 200 X", "transfer-encoding: chunked", "x-server-seal: s"]
    lines.append(f"x-attempt-id: {request.fields.get('x-attempt-id', '')}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def encode_chunk(event):
    return b"%x\r\n%s\r\n" % (len(event[1]), event[1])


def send_stalling_stream(world, caller):
    """Return the response to a stream that stalls on its first upstream."""
    world.add_upstream("i-1", make_stalling_script(2), service="engines")
    responses = []
    eventlet.spawn(lambda: responses.append(caller.send(STREAM_PATH)))
    wait_until(lambda: world.upstreams["i-1"].requests)
    world.add_upstream("i-2", make_stream_script(1, 4), service="engines")
    wait_until(lambda: responses)
    return responses[0]


def test_silent_stream_of_reachable_upstream_is_not_interrupted(world, caller):
    response = send_stalling_stream(world, caller)
    assert response.status == 200
    # The connection of the request and at least two reachability checks.
    assert world.upstreams["i-1"].connection_count >= 3


def add_cold_upstream(world):
    """Add a cold engine, of a service with a rate limit for cold upstreams."""
    services = make_configuration(1)["services"]
    services[1] |= {"cold-s": 3.0, "cold-per-s": 0.1}
    world.configure(services=services)
    cold = {"service": "engines", "cold-left-ms": 60000}
    return world.add_upstream("i-1", make_stream_script(1, 2), **cold)


def test_retry_after_while_all_upstreams_are_cold(world, caller):
    upstream = add_cold_upstream(world)
    response = caller.send(STREAM_PATH)
    assert response.status == 503
    assert json.loads(response.body) == {"error": "warming_up", "outcome": "not-run"}
    assert 0 < float(response.fields["retry-after"]) <= 1.0
    assert upstream.requests == []


def test_warm_upstreams_are_preferred_to_cold_ones(world, caller):
    cold = add_cold_upstream(world)
    warm = world.add_upstream("i-2", make_stream_script(1, 2), service="engines")
    for _ in range(3):
        assert caller.send(STREAM_PATH).status == 200
    assert (len(cold.requests), len(warm.requests)) == (0, 3)
