import random

import pytest


@pytest.fixture
def seeded():
    return random.Random(7)
