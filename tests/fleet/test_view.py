"""The view that is built from the mirror's differences."""

import json

import pytest

from merlinnotch._fleet import RolloutState, Stage
from merlinnotch._fleet.mirror import Difference
from merlinnotch._fleet.records import decode_record, encode_stage, stage_key
from merlinnotch._fleet.view import LAPSED_KEEP_S, FleetView
from merlinnotch._store import Item
from merlinnotch.platform import decode_item


class Writer:
    """Writes documents to a view as the store would tell them."""

    def __init__(self):
        self.gone = []
        self.view = FleetView(decode_item, self.gone.append)
        self.index = 0

    def put(self, key, document, now=0.0):
        self.index += 1
        value = json.dumps(document).encode()
        difference = Difference(key, Item(key, value, self.index))
        self.view.apply([difference], now)

    def delete(self, key, now, was_away=False):
        self.view.apply([Difference(key, None)], now, was_away)


def upstream(state="ready", version="v1"):
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": version,
        "slots": 4,
        "state": state,
    }


def configuration(version):
    return {"version": version, "routes": [], "services": [], "tenants": []}


@pytest.fixture
def writer():
    return Writer()


def test_a_draining_upstream_gets_no_new_work(writer):
    writer.put("servers/i-1", upstream())
    assert [u.id for u in writer.view.list_upstreams("s")] == ["i-1"]
    writer.put("servers/i-1", upstream("draining"))
    assert writer.view.list_upstreams("s") == []
    assert writer.gone == []


def test_a_removed_upstream_is_gone_at_once(writer):
    writer.put("servers/i-1", upstream())
    writer.delete("servers/i-1", now=1.0)
    assert writer.view.list_upstreams("s") == []
    assert writer.gone == ["i-1"]


def test_an_entry_that_lapsed_in_an_outage_has_time_to_return(writer):
    writer.put("servers/i-1", upstream())
    writer.put("servers/i-2", upstream())
    for key in ("servers/i-1", "servers/i-2"):
        writer.delete(key, now=1.0, was_away=True)
    assert len(writer.view.list_upstreams("s")) == 2
    writer.put("servers/i-1", upstream(), now=2.0)
    writer.view.drop_lapsed(1.0 + LAPSED_KEEP_S)
    assert [u.id for u in writer.view.list_upstreams("s")] == ["i-1"]


def test_an_older_configuration_is_ignored(writer):
    writer.put("op/config", configuration(5))
    writer.put("op/config", configuration(4))
    assert writer.view.configuration.version == 5


def test_a_configuration_that_does_not_decode_leaves_the_one_before(writer):
    writer.put("op/config", configuration(5))
    writer.put("op/config", {"version": 6, "routes": "none", "services": []})
    assert writer.view.configuration.version == 5
    assert writer.view.rejected == 1


def test_the_last_configuration_outlives_its_key(writer):
    writer.put("op/config", configuration(5))
    writer.delete("op/config", now=1.0)
    assert writer.view.configuration.version == 5


def test_a_status_counts_for_its_own_order_only(writer):
    order = {"service": "s", "target": "v2", "period-s": 20}
    writer.put("op/rollout/s", order)
    rollout = writer.view.get_rollout("s")
    assert rollout.state is RolloutState.ACTIVE
    writer.put("status/rollout/s", {"state": "complete", "target": "v2"})
    assert rollout.state is RolloutState.COMPLETE
    writer.put("op/rollout/s", order | {"target": "v3"})
    assert rollout.state is RolloutState.ACTIVE


def test_a_reverted_version_is_known_as_bad(writer):
    writer.put("op/rollout/s", {"service": "s", "target": "v2", "period-s": 20})
    writer.put("status/rollout/s", {"state": "reverted", "target": "v2"})
    assert writer.view.get_rollout("s").bad_versions == {"v2"}


@pytest.mark.parametrize("stage_first", [True, False])
def test_an_instance_that_restarts_takes_the_age_of_an_order_from_its_stage(
    stage_first,
):
    order = {"service": "s", "target": "v2", "period-s": 24}
    stage = encode_stage(Stage("s", 5, 2, 0.1, 13.5))
    differences = [
        Difference("op/rollout/s", Item("op/rollout/s", json.dumps(order).encode(), 5)),
        Difference(stage_key("s"), Item(stage_key("s"), stage, 9)),
    ]
    if stage_first:
        differences.reverse()
    view = FleetView(lambda *item: decode_item(*item) or decode_record(*item))
    view.apply(differences, now=100.0)
    assert view.get_rollout("s").measure_age(101.0) == 14.5


def test_the_stage_of_an_earlier_order_says_nothing_of_age():
    view = FleetView(lambda *item: decode_item(*item) or decode_record(*item))
    stage = encode_stage(Stage("s", 5, 2, 0.1, 13.5))
    order = {"service": "s", "target": "v3", "period-s": 24}
    view.apply([Difference(stage_key("s"), Item(stage_key("s"), stage, 9))], 100.0)
    item = Item("op/rollout/s", json.dumps(order).encode(), 12)
    view.apply([Difference("op/rollout/s", item)], 100.0)
    assert view.get_rollout("s").measure_age(101.0) == 1.0
    view.get_rollout("s").raise_age(3.0, 101.0)
    assert view.get_rollout("s").measure_age(102.0) == 4.0
    view.get_rollout("s").raise_age(1.0, 102.0)
    assert view.get_rollout("s").measure_age(102.0) == 4.0
