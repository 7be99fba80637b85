"""Recording and logging of the notices in responses."""

import logging
from dataclasses import dataclass

import pytest

from merlinnotch._notices import NoticeRecorder, UpstreamNotices, recorder
from merlinnotch.platform import UpstreamNotice

START = "start"
NOW = 50.0


@dataclass
class Recording:
    """A recorder with its notices and the log records that it wrote."""

    notices: UpstreamNotices
    recorder: NoticeRecorder
    log: object

    def record(self, now=NOW, start=START, **values):
        """Record a notice with *values*."""
        notice = UpstreamNotice("id-1", **values)
        self.recorder.record(start, "i-1", notice, now)

    def list_messages(self):
        """Return the messages that were logged."""
        return [record.message for record in self.log.records]


@pytest.fixture
def recording(caplog):
    caplog.set_level(logging.INFO, "merlinnotch")
    notices = UpstreamNotices()
    return Recording(notices, NoticeRecorder(notices), caplog)


def test_ordinary_response_leaves_no_notice(recording):
    recording.record()
    assert recording.notices.accepts_work(START, NOW)
    assert recording.list_messages() == []


def test_leaving_is_not_logged_with_each_response(recording):
    for _ in range(3):
        recording.record(leaving_s=float("inf"))
    assert recording.list_messages() == ["upstream leaving"]
    logged = recording.log.records[0]
    assert (logged.upstream, logged.source) == ("i-1", "answer")


def test_rest_is_not_logged_with_each_refusal(recording):
    for _ in range(3):
        recording.record(rest_s=3.0)
    assert recording.list_messages() == ["upstream resting"]
    logged = recording.log.records[0]
    assert (logged.upstream, logged.seconds) == ("i-1", 3.0)
    assert recording.notices.get_rest_s(START, NOW) == 3.0


def test_invalid_values_are_not_logged_with_each_response(recording):
    for number in range(3):
        recording.record(problem=f"value is {number}")
    assert recording.list_messages() == ["invalid upstream notice"]
    assert recording.log.records[0].levelno == logging.WARNING


def test_memory_of_warnings_is_bounded(recording, monkeypatch):
    monkeypatch.setattr(recorder, "MAX_WARNED_STARTS", 2)
    for start in ("a", "b", "c", "c", "a"):
        recording.record(start=start, problem="bad")
    assert recording.list_messages() == ["invalid upstream notice"] * 4
