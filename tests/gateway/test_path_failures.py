"""Failures of the path to an upstream, apart from those of its version."""

import errno

import pytest

from merlinnotch._errors import ConnectionBroken, PathLost
from merlinnotch._gateway.read_limits import LimitKind, ReadLimitReached
from merlinnotch._gateway.results import ResultRecorder
from merlinnotch._http import sockets
from standins.platform_upstream import make_answer_script
from tests.platform_world import PLAIN_PATH


class FakeSocket:
    """A socket whose reads fail with the error number *number*."""

    def __init__(self, number):
        self.fd = self
        self._number = number

    def recv(self, size):
        raise OSError(self._number, "failed")


def test_timeout_of_unacknowledged_bytes_is_a_lost_path():
    with pytest.raises(PathLost):
        sockets.Receiver(FakeSocket(errno.ETIMEDOUT)).receive(1.0)


def test_reset_is_no_lost_path():
    with pytest.raises(ConnectionBroken) as caught:
        sockets.Receiver(FakeSocket(errno.ECONNRESET)).receive(1.0)
    assert not isinstance(caught.value, PathLost)


@pytest.mark.parametrize(
    ("error", "is_counted"),
    [
        pytest.param(PathLost("no acknowledgement"), False, id="lost path"),
        pytest.param(ReadLimitReached(LimitKind.UNREACHABLE), False, id="unreachable"),
        pytest.param(ReadLimitReached(LimitKind.STALL), True, id="stall"),
        pytest.param(ConnectionBroken("reset"), True, id="reset"),
    ],
)
def test_only_failures_of_the_upstream_count_against_its_version(
    world, caller, monkeypatch, error, is_counted
):
    counted = []
    monkeypatch.setattr(
        ResultRecorder,
        "_count_outcome",
        lambda recorder, call, upstream, failed, running=None: counted.append(failed),
    )

    def fail(reader, call, upstream, read_next, check_interval_s, limit):
        raise error

    monkeypatch.setattr(
        "merlinnotch._gateway.response_reader.ResponseReader.read", fail
    )
    world.add_upstream("i-1", make_answer_script())
    assert caller.send(PLAIN_PATH).status in (502, 503)
    assert counted == [True] * is_counted
