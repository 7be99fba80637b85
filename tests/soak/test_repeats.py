"""Upstreams of the soak repeat answers and refuse requests as they are told to."""

import math
import random
import re

import eventlet
import pytest
from eventlet.green import socket

from soak import upstreams
from soak.history import History, make_long_body
from soak.repeats import FORMS, RepeatTime
from soak.upstreams import CROWDED_SLOTS, QUEUE_LENGTH, SoakUpstream

ANSWER = re.compile(rb"HTTP/1\.1 (\d+) X\r\n(.*?)\r\n\r\n(?:done a-\d)?", re.DOTALL)


@pytest.fixture
def upstream(monkeypatch):
    for name in ("BASE_FAILURE_RATE", "ODD_REFUSAL_RATE"):
        monkeypatch.setattr(upstreams, name, 0.0)
    monkeypatch.setattr(upstreams, "REPEAT_RATE", 1.0)
    monkeypatch.setattr(upstreams, "EARLY_REFUSAL_RATE", 1.0)
    generators = random.Random(1), random.Random(2)
    upstream = SoakUpstream("i-1", History(), *generators, False, lambda upstream: None)
    yield upstream
    upstream.close()


def connect(upstream):
    host, _, port = upstream.address.partition(":")
    sock = socket.create_connection((host, int(port)), timeout=5.0)
    sock.settimeout(5.0)
    return sock


def encode(attempt_id, length=0):
    lines = ["POST /once/x HTTP/1.1", "host: h", f"x-attempt-id: {attempt_id}"]
    lines += [f"content-length: {length}", "x-deadline-ms: 4000"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def read_answers(sock, count):
    """Return (status, attempt id or "") of the next *count* answers."""
    data = b""
    while len(answers := ANSWER.findall(data)) < count:
        data += sock.recv(65536)
    return [
        (int(status), "".join(re.findall(r"x-attempt-id: (\S+)", head.decode())))
        for status, head in answers
    ]


@pytest.mark.parametrize("form", FORMS)
def test_repeat_reaches_the_next_request(upstream, monkeypatch, form):
    monkeypatch.setattr(upstreams, "FORMS", [form])
    time, has_id, copies = form
    repeats = copies * [(200, "a-1" if has_id else "")]
    upstream.repeats_until = math.inf
    sock = connect(upstream)
    sock.sendall(encode("a-1"))
    if time is RepeatTime.AT_ONCE:
        assert read_answers(sock, 1 + copies) == [(200, "a-1"), *repeats]
        return
    assert read_answers(sock, 1) == [(200, "a-1")]
    assert upstream._history.repeats == []
    sock.sendall(encode("a-2"))
    assert read_answers(sock, copies + 1) == [*repeats, (200, "a-2")]
    assert [repeat.attempt_id for repeat in upstream._history.repeats] == ["a-1"]


def test_early_refusal_keeps_the_connection_in_step(upstream):
    sock = connect(upstream)
    body = make_long_body("a-1")
    sock.sendall(encode("a-1", len(body)))
    assert read_answers(sock, 1) == [(503, "a-1")]
    sock.sendall(body + encode("a-2"))
    assert read_answers(sock, 1) == [(200, "a-2")]
    assert [run.attempt_id for run in upstream._history.runs] == ["a-2"]


def test_crowded_upstream_refuses_what_exceeds_its_queue(upstream, monkeypatch):
    upstream.crowded_until = math.inf
    monkeypatch.setattr(upstream, "_choose_failure", lambda: "slow")
    count = CROWDED_SLOTS + QUEUE_LENGTH + 1
    threads = []
    for number in range(count):
        sock = connect(upstream)
        sock.sendall(encode(f"a-{number}"))
        threads.append(eventlet.spawn(read_answers, sock, 1))
    answers = [thread.wait()[0] for thread in threads]
    refused = [attempt_id for status, attempt_id in answers if status == 503]
    assert len(refused) == 1
    assert refused[0] not in {run.attempt_id for run in upstream._history.runs}
    assert len(upstream._history.runs) == count - 1


@pytest.mark.parametrize("length", [0, 90_000], ids=["full", "early"])
def test_refusal_names_the_limit_like_other_answers(upstream, monkeypatch, length):
    monkeypatch.setattr(upstream, "_choose_refusal", lambda: (503, True))
    upstream.set_limit(1.1)
    sock = connect(upstream)
    sock.sendall(encode("a-1", length))
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    assert data.startswith(b"HTTP/1.1 503")
    assert b"server-limit: 1.10" in data
