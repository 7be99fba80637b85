"""The platform's words stay in its own folder."""

import pathlib
import re

import pytest

import merlinnotch

ROOT = pathlib.Path(merlinnotch.__file__).parent
WORDS = re.compile(
    r"x-attempt-id|x-server-seal|x-not-executed|x-credential|x-prompt-prefix"
    r"|x-deadline-ms|x-expect-instance|x-server-load|x-confidence|x-tenant"
    r"|kv-txn|kv-watch|kv-range|kv-lease|op/config|op/rollout|status/rollout"
    r"|servers/|timeout-ms|goal-ms|drain-ms|canary-share",
    re.IGNORECASE,
)


@pytest.mark.parametrize(
    "path",
    [p for p in sorted(ROOT.rglob("*.py")) if "platform" not in p.parts],
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_no_other_module_knows_them(path):
    assert WORDS.findall(path.read_text()) == []


def test_the_folder_decides_nothing():
    # What it must not import is where decisions and tasks live.
    for path in (ROOT / "platform").glob("*.py"):
        text = path.read_text()
        for package in ("_gateway", "_placement", "_rollout", "_entry"):
            assert package not in text, path.name
