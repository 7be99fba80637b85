"""Timelines of requests: lines that may explain a request are shown, others are not."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from merlinnotch._cli.explain import ExplainCommand
from merlinnotch._explain import explain_request, parse_lines


def make_log_line(time, message, instance="one", **fields):
    record = {"created": time, "message": message, "instance": instance, "zone": "a"}
    return "  17.2 collector " + json.dumps(record | fields)


@pytest.fixture
def lines():
    return [
        make_log_line(9.0, "configuration in force", version=7),
        make_log_line(9.1, "configuration in force", "two", version=7),
        make_log_line(4.0, "configuration in force", version=6),
        make_log_line(
            10.3,
            "upstream request failed",
            request="r1",
            upstream="i-1",
            reason="broken",
        ),
        make_log_line(10.2, "upstream removed", upstream="i-1", reason="removed"),
        make_log_line(10.2, "upstream removed", upstream="i-9", reason="removed"),
        make_log_line(
            10.5, "request ended", request="r1", outcome="upstream_failed", ms=500.0
        ),
        make_log_line(10.4, "request ended", request="r2", outcome="answered", ms=10.0),
        "no json at all",
        '{"created": broken',
    ]


def test_timeline_has_lines_of_request_and_context(lines):
    timeline = explain_request(parse_lines(lines), "r1")
    assert [text.split("  ")[-1].split(":")[0] for text in timeline] == [
        "configuration in force",
        "upstream removed",
        "upstream request failed",
        "request ended",
    ]
    assert "version=7" in timeline[0]
    assert "i-9" not in "".join(timeline)


def test_timeline_has_notices_of_the_upstreams_of_the_request():
    lines = [
        make_log_line(9.5, "upstream leaving", upstream="i-1", source="answer"),
        make_log_line(9.6, "upstream resting", upstream="i-1", seconds=3.0),
        make_log_line(9.7, "upstream resting", upstream="i-9", seconds=3.0),
        make_log_line(9.8, "invalid upstream notice", upstream="i-1", detail="x"),
        make_log_line(10.0, "request ended", request="r1", upstream="i-1", ms=1.0),
    ]
    timeline = explain_request(parse_lines(lines), "r1")
    assert len(timeline) == 4
    assert "source=answer" in timeline[0]
    assert "seconds=3.0" in timeline[1]


def test_timeline_of_unknown_request_is_empty(lines):
    assert explain_request(parse_lines(lines), "r9") == []


def test_command_reads_files_and_sets_exit_code(lines, tmp_path):
    path = tmp_path / "log"
    path.write_text("\n".join(lines))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"r1 {path}") == 0
    assert "upstream_failed" in tester.io.fetch_output()
    assert tester.execute(f"r9 {path}") == 1
    assert tester.execute(f"r1 {tmp_path / 'none'}") == 3
