"""Runs the tests, passing over those that KNOWN-RED.txt lists.

Each line there is ``test | cause | issue``; three at most. They are printed
with every run, so that nobody forgets them.
"""

import pathlib
import sys

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
WORKERS = 4


def read_known_red(text):
    """Return the lines that name a test; raises ValueError for too many."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN_RED:
        raise ValueError(f"{len(lines)} known red tests, {MOST_KNOWN_RED} at most")
    return lines


def main():
    """Run pytest; the exit code is its own."""
    lines = read_known_red(KNOWN_RED.read_text())
    options = ["-n", str(WORKERS)]
    for line in lines:
        print(f"known red, passed over: {line}")
        options += ["--deselect", line.partition("|")[0].strip()]
    return pytest.main([*sys.argv[1:], *options])


if __name__ == "__main__":
    sys.exit(main())
