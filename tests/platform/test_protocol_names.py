"""Only the platform package contains names of the platform's protocol."""

import pathlib
import re

import pytest

import merlinnotch

ROOT = pathlib.Path(merlinnotch.__file__).parent
PROTOCOL_NAMES = re.compile(
    r"x-attempt-id|x-server-seal|x-not-executed|x-credential|x-prompt-prefix"
    r"|x-deadline-ms|x-expect-instance|x-server-load|x-confidence|x-tenant"
    r"|kv-txn|kv-watch|kv-range|kv-lease|op/config|op/rollout|status/rollout"
    r"|servers/|timeout-ms|goal-ms|drain-ms|canary-share|server-leaving",
    re.IGNORECASE,
)


@pytest.mark.parametrize(
    "path",
    [p for p in sorted(ROOT.rglob("*.py")) if "platform" not in p.parts],
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_other_packages_contain_no_protocol_names(path):
    assert PROTOCOL_NAMES.findall(path.read_text()) == []


def test_platform_does_not_import_decision_code():
    # These packages contain the decisions and tasks.
    for path in (ROOT / "platform").glob("*.py"):
        text = path.read_text()
        for package in ("_gateway", "_placement", "_rollout", "_entry"):
            assert package not in text, path.name
