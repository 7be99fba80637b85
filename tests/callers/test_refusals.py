"""Retry-After of refusals."""

import math
import types

import pytest

from merlinnotch._callers.app import CallerApp
from merlinnotch._daemon.metrics import Metrics
from merlinnotch._errors import ErrorKind, RequestRefused
from merlinnotch._limits import MemoryBudget


@pytest.fixture
def refuse():
    """Return a function that answers a request with a refusal; returns the fields."""

    def refuse(refusal):
        responses = []

        def check_capacity():
            raise refusal

        state = types.SimpleNamespace(
            metrics=Metrics(),
            leaving=False,
            outbox=types.SimpleNamespace(check_capacity=check_capacity),
            memory=MemoryBudget(0),
        )
        call = types.SimpleNamespace(request_id="id-1", stream=False, deadline=0.0)
        parser = types.SimpleNamespace(parse_chat=lambda environ: call)
        app = CallerApp(state, parser, None, None)
        environ = {"PATH_INFO": "/v1/chat/completions", "REQUEST_METHOD": "POST"}
        app(environ, lambda status, headers: responses.append((status, dict(headers))))
        return responses[0]

    return refuse


@pytest.mark.parametrize("rest_s", [0.004, 0.6, 1.4, 2.49, 59.6, 500.3, 86_400.0])
def test_callers_are_not_called_back_before_the_rest_ends(refuse, rest_s):
    for _ in range(50):
        refusal = RequestRefused(ErrorKind.UPSTREAMS_RESTING, retry_after_s=rest_s)
        status, headers = refuse(refusal)
        assert status.startswith("503")
        assert headers["X-Merlinnotch-Error-Kind"] == "upstreams_resting"
        assert int(headers["Retry-After"]) >= max(1, rest_s)
        assert int(headers["Retry-After-Ms"]) >= rest_s * 1000
        assert int(headers["Retry-After"]) <= math.ceil(rest_s + min(10, rest_s / 2))


def test_other_refusals_are_spread_as_before(refuse):
    refusal = RequestRefused(ErrorKind.OVERLOADED, retry_after_s=1000.0)
    _, headers = refuse(refusal)
    assert int(headers["Retry-After"]) == 120
