"""Calls whose responses have limits on their size and time."""

import time
from dataclasses import dataclass

import eventlet
import urllib3

PART_BYTES = 65536
MAX_PARTS_PER_TURN = 64
MIN_BYTES_PER_S = 16384
"""Rate of a body after the timeout; a slower sender is as good as silent."""


class EndlessResponse(urllib3.exceptions.HTTPError):
    """A response is larger than any answer to its call, or takes too long."""


@dataclass(frozen=True)
class Reply:
    """A response that was read to its end. *headers* are those of urllib3."""

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


def send_call(manager, method, url, timeout_s, max_bytes, body=None, headers=None):
    """Return the :class:`Reply` to a call.

    The head has to arrive within *timeout_s*, the body at MIN_BYTES_PER_S after that.
    Raises :class:`urllib3.exceptions.HTTPError`, in particular
    :class:`EndlessResponse`.
    """
    until = time.monotonic() + timeout_s
    response = manager.request(
        method,
        url,
        body=body,
        headers=headers,
        timeout=urllib3.Timeout(total=timeout_s),
        preload_content=False,
    )
    try:
        data = read_body(response, until, max_bytes)
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
    return Reply(response.status, response.headers, data)


def read_body(response, until, max_bytes):
    """Return the body of *response*, an urllib3 one that was not preloaded.

    It may take until *until*, on the monotonic clock, and longer with its size. Raises
    :class:`EndlessResponse` beyond that or *max_bytes*.
    """
    body = bytearray()
    part_count = 0
    while part := response.read1(PART_BYTES):
        body += part
        if len(body) > max_bytes:
            raise EndlessResponse(f"response exceeds {max_bytes} bytes")
        if time.monotonic() > until + len(body) / MIN_BYTES_PER_S:
            raise EndlessResponse("response arrives too slowly")
        part_count += 1
        if part_count % MAX_PARTS_PER_TURN == 0:
            # A sender that never pauses would hold up other tasks.
            eventlet.sleep(0)
    return bytes(body)
