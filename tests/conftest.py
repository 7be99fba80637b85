"""Fixtures that several folders share."""

import pytest

from tests.platform_world import Caller, World


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


@pytest.fixture
def caller(world):
    """Return a caller of an instance that is started on first use."""

    class Lazy:
        def __getattr__(self, name):
            if not world.instances:
                world.add_instance()
            return getattr(Caller(world.instances[0]), name)

    return Lazy()
