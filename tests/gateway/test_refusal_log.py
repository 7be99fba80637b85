"""What the log tells of a refusal."""

import logging

import pytest

from tests.platform_world import PLAIN_PATH, wait_until


def find_records(caplog, message):
    return [record for record in caplog.records if record.message == message]


@pytest.fixture(autouse=True)
def upstream(world):
    return world.add_upstream("i-1")


@pytest.mark.parametrize(
    ("path", "fields"),
    [("/unknown/", {}), (PLAIN_PATH, {"x_credential": "other"})],
    ids=["unknown path", "unknown key"],
)
def test_log_names_the_version_that_a_request_was_refused_by(
    world, caller, caplog, path, fields
):
    caplog.set_level(logging.INFO)
    caller.send(path, **fields)
    wait_until(lambda: find_records(caplog, "request ended"))
    ended = find_records(caplog, "request ended")[0]
    assert ended.version == world.configuration_version


def test_log_names_the_version_whose_limits_a_request_exceeds(world, caller, caplog):
    caplog.set_level(logging.INFO)
    assert caller.send(PLAIN_PATH, "POST", bytes(200_000)).status == 413
    wait_until(lambda: find_records(caplog, "malformed request"))
    malformed = find_records(caplog, "malformed request")[0]
    assert malformed.version == world.configuration_version
