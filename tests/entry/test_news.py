"""Instances tell each other how busy upstreams are."""

import random

import pytest

from benchmarks.news_fabric import Fabric
from merlinnotch._fleet import Upstream
from standins.platform_upstream import stream
from tests.platform_world import STREAM, Caller, wait_until

ZONES = ("a", "b", "c")
UPSTREAM = Upstream("u-1", "engines", "10.0.0.1:80", "a", "v1", 24)


@pytest.fixture
def fleet():
    return Fabric(30, ZONES, [UPSTREAM], direct_fleet=24)


def sum_heard(fabric, name):
    return sum(row.reading_ms for row in fabric.heard[name])


def test_a_long_prompt_sent_by_one_instance_counts_at_the_others(world):
    world.add_upstream("i-1", stream(last=1), service="engines")
    one, two = world.add_instance("one"), world.add_instance("two")
    wait_until(lambda: len(one.view.peers) == len(two.view.peers) == 2)
    got = Caller(one).send(
        STREAM,
        "POST",
        b"x",
        x_model="small",
        x_token_counts="50000,10",
        x_prompt_prefix="a:50000",
    )
    assert got.whole
    wait_until(lambda: two.measure_backlog("i-1") > 500)


def test_what_is_no_news_is_left_alone(world):
    world.add_upstream("i-1")
    one = world.add_instance("one")
    host, _, port = one.settings.instance.peer_address.partition(":")
    for data in (b"", b"nonsense", b"\x82\x01", b"\x82\x01\x01", b"\x82\x09\x01"):
        one.datagrams.send_bytes(data, f"{host}:{port}")
    assert Caller(one).send("/plain/").status == 200


def test_a_zone_hears_of_a_prompt_at_once(fleet):
    fleet.news["a-0"].tell_work(UPSTREAM, 50.0)
    assert [sum_heard(fleet, f"a-{n}") for n in range(1, 10)] == [50] * 9
    assert sum_heard(fleet, "b-0") == 0


def test_other_zones_hear_of_each_prompt_once_by_sums(fleet):
    fleet.news["a-0"].tell_work(UPSTREAM, 50.0)
    fleet.news["a-3"].tell_work(UPSTREAM, 120.0)
    for _ in range(3):
        fleet.exchange()
    others = [name for name in fleet.news if name not in ("a-0", "a-3")]
    assert {sum_heard(fleet, name) for name in others} == {170}
    assert sum_heard(fleet, "a-0") == 120


def test_sums_cost_other_zones_one_message_each_however_many_prompts(fleet):
    for n in range(10):
        fleet.news[f"a-{n}"].tell_work(UPSTREAM, 40.0)
    before = {address: port.heard for address, port in fleet.ports.items()}
    fleet.exchange()
    added = [fleet.ports[a].heard - before[a] for a in before if a[3] != "a"]
    assert max(added) == 1


def test_half_of_the_upstreams_is_told_where_a_teller_is_gone(fleet):
    upstreams = make_upstreams(40)
    silent = next(n for n in fleet.news if n.startswith("a") and _tells(fleet, n))
    for upstream in upstreams:
        fleet.news["a-9"].tell_work(upstream, 40.0)
    for name, news in fleet.news.items():
        if name != silent:
            news.exchange()
    told = {row.upstream_id for row in fleet.heard["c-1"]}
    assert 10 <= len(told) <= 30


def test_a_small_fleet_tells_everyone_itself():
    fabric = Fabric(8, ("a", "b"), [UPSTREAM])
    fabric.news["a-0"].tell_work(UPSTREAM, 50.0)
    fabric.exchange()
    assert [sum_heard(fabric, f"b-{n}") for n in range(4)] == [50] * 4


def test_an_instance_of_a_large_fleet_hears_few_messages():
    # Where everyone tells all 70, each hears 412 a second, and the fleet spends
    # most of its processor time on it.
    fabric = play_second(Fabric(70, ("a", "b", "c", "d", "e"), make_upstreams(56)))
    assert max(port.heard for port in fabric.ports.values()) < 200


def test_what_others_said_just_now_is_not_said_again(fleet):
    fleet.news["a-0"].tell_report(UPSTREAM, 5, 1)
    fleet.news["a-1"].tell_report(UPSTREAM, 6, 1)
    assert [row.running for row in fleet.heard["a-2"]] == [5]
    fleet.now += 0.5
    fleet.news["a-1"].tell_report(UPSTREAM, 6, 1)
    assert [row.running for row in fleet.heard["a-2"]] == [5, 6]


def test_a_zone_hears_how_slow_streams_are(fleet):
    fleet.news["a-0"].tell_slowdown(UPSTREAM, 3.1415)
    assert [row.slowdown for row in fleet.heard["a-2"]] == [3.14]
    fleet.exchange()
    assert [row.slowdown for row in fleet.heard["b-2"]] == [3.14]


def make_upstreams(count):
    return [
        Upstream(f"u-{n}", "engines", f"10.0.0.{n}:80", "a", "v1", 24)
        for n in range(count)
    ]


def play_second(fabric):
    """Play a second of 300 prompts, as many reports and ten times as many gaps."""
    generator = random.Random(1)
    names = list(fabric.news)
    for step in range(300):
        fabric.now = step / 300
        news = fabric.news[generator.choice(names)]
        upstream = generator.choice(fabric.view.upstreams)
        news.tell_work(upstream, 60.0)
        news.tell_report(upstream, 3, 0)
        for _ in range(10):
            news.tell_slowdown(upstream, 1.5)
        if step % 60 == 0:
            fabric.exchange()
    return fabric


def _tells(fabric, name):
    """Return whether this instance sends sums of its zone."""
    probe = Fabric(30, ZONES, [UPSTREAM], direct_fleet=24)
    for upstream in make_upstreams(40):
        probe.news["a-9"].tell_work(upstream, 40.0)
    probe.news[name].exchange()
    return any(probe.heard[other] for other in probe.news if other[0] != "a")
