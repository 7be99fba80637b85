"""Instances tell each other which prompts they sent where."""

from standins.platform_upstream import stream
from tests.platform_world import STREAM, Caller, wait_until


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
