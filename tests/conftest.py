"""Fixtures shared by several test folders."""

import http.server
import sys

import eventlet
import eventlet.wsgi  # noqa: F401
import pytest
from hypothesis import HealthCheck, settings

from tests.platform_world import Caller, World

# The import of eventlet.wsgi leaves its green copy as the attribute of the package, and
# a server of that copy in a thread waits for an event loop that does not run.
http.server = sys.modules["http.server"]

# How fast inputs are generated depends on what else the machine does.
settings.register_profile("untimed", suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("untimed")


@pytest.fixture
def world():
    """Return a :class:`World` without instances; closes it after the test."""
    world = World()
    yield world
    world.close()


@pytest.fixture
def caller(world):
    """Return a :class:`Caller` of an instance that starts on first use."""

    class LazyCaller:
        def __getattr__(self, name):
            if not world.instances:
                world.add_instance()
            return getattr(Caller(world.instances[0]), name)

    return LazyCaller()


@pytest.fixture
def turns():
    """Return a list that grows by one in each turn of the other tasks."""
    turns = []

    def count_turns():
        while True:
            turns.append(1)
            eventlet.sleep(0)

    thread = eventlet.spawn(count_turns)
    yield turns
    thread.kill()
