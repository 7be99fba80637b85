"""Fixtures shared by the tests of the gateway."""

import sys

import pytest
from eventlet.green import subprocess

from tests.gateway.route_cases import ROUTE_CASES


@pytest.fixture(params=ROUTE_CASES.values(), ids=ROUTE_CASES.keys())
def route_case(request):
    """Return a :class:`RouteCase`; the test runs once for each."""
    return request.param


@pytest.fixture
def start_endless():
    """Return a function that starts an endless upstream and returns its address."""
    processes = []

    def start_endless(kind):
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.gateway.endless_upstream", kind],
            stdout=subprocess.PIPE,
        )
        processes.append(process)
        return process.stdout.readline().decode().strip()

    yield start_endless
    for process in processes:
        process.kill()
        process.wait()
