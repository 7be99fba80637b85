"""The fleet view that is built from the mirror's key changes."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinnotch._fleet import RolloutState, Stage, UpstreamStart
from merlinnotch._fleet.mirror import KeyChange
from merlinnotch._fleet.records import decode_record, encode_stage, stage_key
from merlinnotch._fleet.view import EXPIRED_ENTRY_GRACE_S, SEND_MARGIN_S, FleetView
from merlinnotch._store import Item
from merlinnotch.platform import decode_item

CHANGE_DEADLINE_S = 2.0


class Writer:
    """Applies changes to a view, as the store would report them."""

    def __init__(self):
        self.removed = []
        self.restarted = []
        self.view = FleetView(
            decode_item,
            lambda upstream: self.removed.append(upstream.id),
            lambda upstream: self.restarted.append(upstream.start),
            CHANGE_DEADLINE_S,
        )
        self.index = 0

    def put(self, key, document, now=0.0):
        self.index += 1
        value = json.dumps(document).encode()
        key_change = KeyChange(key, Item(key, value, self.index))
        self.view.apply([key_change], now)

    def put_bytes(self, key, value):
        self.index += 1
        self.view.apply([KeyChange(key, Item(key, value, self.index))], 0.0)

    def delete(self, key, now, store_restored_at=None):
        self.view.apply([KeyChange(key, None)], now, store_restored_at)


def upstream(state="ready", version="v1", **changes):
    return changes | {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": version,
        "slots": 4,
        "state": state,
        "cold-left-ms": 0,
        "seq": 1,
    }


FULL = upstream(born=1000)


def _is_valid(name, value):
    """Return whether *value* is valid for a field of an entry."""
    if name in ("zone", "version"):
        return isinstance(value, str)
    if name == "service":
        return isinstance(value, str) and value
    return name == "cold-left-ms" and value == 1.5


def configuration(version):
    return {"version": version, "routes": [], "services": [], "tenants": []}


@pytest.fixture
def writer():
    return Writer()


def test_draining_upstream_gets_no_new_requests(writer):
    writer.put("servers/i-1", upstream())
    assert [u.id for u in writer.view.list_upstreams("s")] == ["i-1"]
    writer.put("servers/i-1", upstream("draining"))
    assert writer.view.list_upstreams("s") == []
    assert writer.removed == []


def test_deleted_entry_removes_upstream_immediately(writer):
    writer.put("servers/i-1", upstream())
    writer.delete("servers/i-1", now=1.0)
    assert writer.view.list_upstreams("s") == []
    assert writer.removed == ["i-1"]


def test_entry_expired_in_outage_may_return_in_grace_period(writer):
    writer.put("servers/i-1", upstream())
    writer.put("servers/i-2", upstream())
    for key in ("servers/i-1", "servers/i-2"):
        writer.delete(key, now=1.0, store_restored_at=1.0)
    assert len(writer.view.list_upstreams("s")) == 2
    writer.put("servers/i-1", upstream(), now=2.0)
    writer.view.remove_expired(1.0 + EXPIRED_ENTRY_GRACE_S)
    assert [u.id for u in writer.view.list_upstreams("s")] == ["i-1"]


def test_grace_period_starts_when_store_is_restored(writer):
    # A period from the deletion on would use a removed upstream for too long.
    writer.put("servers/i-1", upstream())
    writer.delete("servers/i-1", now=10.6, store_restored_at=10.0)
    assert writer.view.remove_expired(11.0) == pytest.approx(1.0)
    assert writer.view.remove_expired(12.0) is None
    assert writer.view.list_upstreams("s") == []


def test_expired_entry_is_not_used_past_change_deadline(writer):
    writer.put("servers/i-1", upstream())
    writer.delete("servers/i-1", now=10.0, store_restored_at=10.0)
    left_s = writer.view.remove_expired(10.0)
    assert left_s == pytest.approx(CHANGE_DEADLINE_S - SEND_MARGIN_S)


def test_restart_under_same_id_ends_previous_start(writer):
    writer.put("servers/i-1", upstream(born=1000))
    writer.put("servers/i-1", upstream(born=2000))
    assert [u.started_ms for u in writer.view.list_upstreams("s")] == [2000]
    assert writer.restarted == [UpstreamStart("i-1", 1000)]
    assert writer.removed == []
    assert writer.view.find_start(UpstreamStart("i-1", 1000)) is None
    assert writer.view.find_start(UpstreamStart("i-1", 2000)) is not None


def test_restart_is_detected_after_clock_is_set_back(writer):
    writer.put("servers/i-1", upstream(born=2000))
    writer.put("servers/i-1", upstream(born=1000))
    assert [u.started_ms for u in writer.view.list_upstreams("s")] == [1000]
    assert writer.restarted == [UpstreamStart("i-1", 2000)]


def test_late_entry_of_ended_start_is_ignored(writer):
    writer.put("servers/i-1", upstream(born=1000))
    writer.put("servers/i-1", upstream(born=2000))
    writer.put("servers/i-1", upstream("draining", born=1000))
    assert [u.started_ms for u in writer.view.list_upstreams("s")] == [2000]
    assert len(writer.restarted) == 1
    writer.delete("servers/i-1", now=1.0)
    assert writer.view.list_upstreams("s") == []


def test_expired_entry_that_returns_with_new_start_is_a_restart(writer):
    writer.put("servers/i-1", upstream(born=1000))
    writer.delete("servers/i-1", now=1.0, store_restored_at=1.0)
    writer.put("servers/i-1", upstream(born=2000), now=1.5)
    assert writer.restarted == [UpstreamStart("i-1", 1000)]
    assert writer.view.remove_expired(9.0) is None
    assert [u.started_ms for u in writer.view.list_upstreams("s")] == [2000]


def test_id_that_moves_to_another_service_leaves_previous_one(writer):
    writer.put("servers/i-1", upstream(born=1000))
    writer.put("servers/i-1", upstream(born=2000) | {"service": "other"})
    assert writer.view.list_upstreams("s") == []
    assert [u.id for u in writer.view.list_upstreams("other")] == ["i-1"]


INVALID_ENTRIES = [
    *(
        {k: v for k, v in FULL.items() if k != missing}
        for missing in FULL
        if missing != "born"
    ),
    *(
        FULL | {name: value}
        for name in FULL
        for value in (None, [], {}, True, -1, 1.5, "", "1")
        if not _is_valid(name, value)
    ),
    FULL | {"state": "asleep"},
    FULL | {"address": "10.0.0.1:99999"},
    FULL | {"address": f"10.0.0.1:{'0' * 5000}1"},
    *(FULL | {name: 10**400} for name in ("slots", "cold-left-ms", "seq", "born")),
    FULL | {"slots": 10**9},
    *(FULL | {name: "x" * 60_000} for name in ("service", "zone", "version")),
    FULL | {"address": "host:80"},
    [FULL],
    "text",
    None,
]


@pytest.mark.parametrize("document", INVALID_ENTRIES, ids=lambda d: str(d)[:300])
def test_invalid_entry_adds_no_upstream(writer, document):
    writer.put("servers/i-1", upstream())
    writer.put("servers/i-2", document)
    assert [u.id for u in writer.view.list_upstreams("s")] == ["i-1"]
    assert writer.view.rejected_count == 1


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"{", b"[" * 100_000])
def test_undecodable_value_removes_upstream(writer, value):
    writer.put("servers/i-1", upstream())
    writer.put("servers/i-2", upstream())
    writer.put_bytes("servers/i-2", value)
    assert [u.id for u in writer.view.list_upstreams("s")] == ["i-1"]
    assert writer.removed == ["i-2"]
    writer.put("servers/i-2", upstream())
    assert len(writer.view.list_upstreams("s")) == 2


@pytest.mark.parametrize("upstream_id", ["", "a b", "a\r\nb", "\u00e9"])
def test_id_not_allowed_in_header_adds_no_upstream(writer, upstream_id):
    writer.put(f"servers/{upstream_id}", upstream())
    assert writer.view.list_upstreams("s") == []


def test_upstreams_of_undeclared_services_do_not_make_view_ready(writer):
    writer.put("op/config", configuration(1) | {"services": [{"name": "s"}]})
    writer.put("servers/i-1", upstream() | {"service": "unknown"})
    assert not writer.view.is_ready
    writer.put("servers/i-2", upstream())
    assert writer.view.is_ready


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    changes=st.dictionaries(st.sampled_from(sorted(FULL)), JSON_VALUES),
    dropped=st.sets(st.sampled_from(sorted(FULL))),
)
def test_whatever_another_writer_puts_there_the_others_hold(changes, dropped):
    writer = Writer()
    writer.put("servers/i-1", upstream())
    document = {k: v for k, v in (FULL | changes).items() if k not in dropped}
    writer.put("servers/i-2", document)
    assert "i-1" in [u.id for u in writer.view.list_upstreams("s")]
    for listed in writer.view.list_upstreams("s"):
        assert listed.id == "i-1" or listed.address == document["address"]


def test_older_configuration_is_ignored(writer):
    writer.put("op/config", configuration(5))
    writer.put("op/config", configuration(4))
    assert writer.view.configuration.version == 5


def test_invalid_configuration_leaves_previous_one_in_force(writer):
    writer.put("op/config", configuration(5))
    writer.put("op/config", {"version": 6, "routes": "none", "services": []})
    assert writer.view.configuration.version == 5
    assert writer.view.rejected_count == 1


def test_configuration_stays_in_force_after_its_key_is_deleted(writer):
    writer.put("op/config", configuration(5))
    writer.delete("op/config", now=1.0)
    assert writer.view.configuration.version == 5


def test_status_applies_only_to_its_own_order(writer):
    order = {"service": "s", "target": "v2", "period-s": 20}
    writer.put("op/rollout/s", order)
    rollout = writer.view.get_rollout("s")
    assert rollout.state is RolloutState.ACTIVE
    writer.put("status/rollout/s", {"state": "complete", "target": "v2"})
    assert rollout.state is RolloutState.COMPLETE
    writer.put("op/rollout/s", order | {"target": "v3"})
    assert rollout.state is RolloutState.ACTIVE


def test_reverted_version_is_listed_as_bad(writer):
    writer.put("op/rollout/s", {"service": "s", "target": "v2", "period-s": 20})
    writer.put("status/rollout/s", {"state": "reverted", "target": "v2"})
    assert writer.view.get_rollout("s").bad_versions == {"v2"}


@pytest.mark.parametrize("stage_first", [True, False])
def test_restarted_instance_takes_order_age_from_stage(
    stage_first,
):
    order = {"service": "s", "target": "v2", "period-s": 24}
    stage = encode_stage(Stage("s", 5, 2, 0.1, 13.5))
    key_changes = [
        KeyChange("op/rollout/s", Item("op/rollout/s", json.dumps(order).encode(), 5)),
        KeyChange(stage_key("s"), Item(stage_key("s"), stage, 9)),
    ]
    if stage_first:
        key_changes.reverse()
    view = FleetView(lambda *item: decode_item(*item) or decode_record(*item))
    view.apply(key_changes, now=100.0)
    assert view.get_rollout("s").get_order_age_s(101.0) == 14.5


@pytest.mark.parametrize("bad_answers", [0, 12])
def test_stage_keeps_its_checkpoint(bad_answers):
    stage = Stage("s", 5, 2, 0.1, 13.5, 9, canaries=2, bad_answers=bad_answers)
    assert decode_record(stage_key("s"), encode_stage(stage), 9) == stage


def test_checkpoint_alone_is_not_logged_as_a_change(caplog):
    view = FleetView(lambda *item: decode_item(*item) or decode_record(*item))
    with caplog.at_level("INFO", logger="merlinnotch"):
        for index, bad_answers in enumerate((0, 3, 8), start=9):
            stage = encode_stage(Stage("s", 5, 2, 0.1, 13.5, bad_answers=bad_answers))
            item = Item(stage_key("s"), stage, index)
            view.apply([KeyChange(stage_key("s"), item)], 100.0)
    assert [r.message for r in caplog.records].count("rollout changed") <= 1
    assert view.get_rollout("s").stage.bad_answers == 8


def test_stage_of_earlier_order_does_not_set_age():
    view = FleetView(lambda *item: decode_item(*item) or decode_record(*item))
    stage = encode_stage(Stage("s", 5, 2, 0.1, 13.5))
    order = {"service": "s", "target": "v3", "period-s": 24}
    view.apply([KeyChange(stage_key("s"), Item(stage_key("s"), stage, 9))], 100.0)
    item = Item("op/rollout/s", json.dumps(order).encode(), 12)
    view.apply([KeyChange("op/rollout/s", item)], 100.0)
    assert view.get_rollout("s").get_order_age_s(101.0) == 1.0
    view.get_rollout("s").raise_order_age(3.0, 101.0)
    assert view.get_rollout("s").get_order_age_s(102.0) == 4.0
    view.get_rollout("s").raise_order_age(1.0, 102.0)
    assert view.get_rollout("s").get_order_age_s(102.0) == 4.0
