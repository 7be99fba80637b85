"""Retry-After of refusals."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinnotch._errors import ErrorKind, Outcome, RequestRefused
from merlinnotch._gateway.refusals import build_refusal


def refuse(rest_s, remaining_s=1.0, seed=1, outcome=Outcome.NOT_RUN):
    error = RequestRefused(
        ErrorKind.UPSTREAMS_RESTING, outcome=outcome, retry_after_s=rest_s
    )
    status, pairs, _ = build_refusal(error, remaining_s, random.Random(seed))
    return status, dict(pairs).get("retry-after")


@given(st.floats(1e-6, 86_400.0), st.floats(0.0, 10.0), st.integers())
def test_no_caller_returns_before_the_end_of_the_rest(rest_s, remaining_s, seed):
    status, retry_after = refuse(rest_s, remaining_s, seed)
    assert status == 503
    assert rest_s <= float(retry_after) <= 1.5 * rest_s + 0.011
    assert float(retry_after) <= rest_s + 10.011


def test_callers_refused_together_do_not_return_together():
    assert len({refuse(3.0, seed=seed) for seed in range(20)}) > 10


def test_request_that_may_have_run_is_not_refused_as_not_run():
    assert refuse(3.0, outcome=Outcome.UNKNOWN) == (502, None)


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_kind_has_a_response(kind):
    status, _, body = build_refusal(RequestRefused(kind), 1.0, random.Random(1))
    assert status >= 400
    assert str(kind).encode() in body
