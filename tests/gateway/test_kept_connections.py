"""Connections that callers keep, while limits change and under overload."""

import pytest

from standins.platform_upstream import make_answer_script
from tests.platform_world import (
    PLAIN_PATH,
    Answer,
    Caller,
    make_configuration,
    wait_until,
)

OLD_BODY_BYTES = 1000


def make_limits(**changes):
    """Return limits for callers; *changes* replace some, with ``_`` for ``-``."""
    limits = make_configuration(1)["limits"]
    return limits | {name.replace("_", "-"): value for name, value in changes.items()}


def put_in_force(world, instance, **changes):
    """Configure :func:`make_limits` and wait until *instance* applies them."""
    world.configure(limits=make_limits(**changes))
    version = world.configuration_version
    wait_until(lambda: instance.view.configuration.version == version)


@pytest.fixture
def instance(world):
    world.add_upstream("i-1", make_answer_script())
    return world.add_instance()


def exchange(caller, sock, body=b""):
    """Send a request on *sock*; return its :class:`Answer`."""
    sock.sendall(caller.encode(PLAIN_PATH, "POST", body, connection=None))
    return Answer(sock.recv(65536))


@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
def test_request_on_a_kept_connection_is_judged_by_the_limits_in_force(
    world, instance, is_used
):
    put_in_force(world, instance, max_body_bytes=OLD_BODY_BYTES)
    caller = Caller(instance)
    with caller.open() as sock:
        if is_used:
            assert exchange(caller, sock).status == 200
        else:
            wait_until(lambda: instance.gateway._waiting_connections)
        put_in_force(world, instance, max_body_bytes=10 * OLD_BODY_BYTES)
        assert exchange(caller, sock, bytes(2 * OLD_BODY_BYTES)).status == 200


class NoRoom:
    """Stands for a gate or a link budget of an overloaded instance."""

    has_room = False
    is_limited = False
    mean_request_bytes = 0.0

    def __getattr__(self, name):
        return lambda *arguments: None


def overload_processor(instance):
    instance.gateway._gate = NoRoom()


def overload_link(instance):
    instance.gateway._link_budget.has_room = lambda now: False


@pytest.mark.parametrize("overload", [overload_processor, overload_link])
def test_kept_connection_of_an_overloaded_instance_ends_with_a_response(
    instance, overload
):
    caller = Caller(instance)
    with caller.open() as sock:
        assert "connection" not in exchange(caller, sock).fields
        overload(instance)
        response = exchange(caller, sock)
        assert response.status == 200
        assert response.fields["connection"] == "close"
        assert sock.recv(1) == b""


def test_connection_is_kept_without_overload(instance):
    caller = Caller(instance)
    with caller.open() as sock:
        for _ in range(5):
            assert "connection" not in exchange(caller, sock).fields
