"""Responses that never end, of an upstream with the right seal and id."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

BLOCK_BYTES = 65536
HEAD = b"HTTP/1.1 200 X\r\nx-server-seal: s\r\nx-attempt-id: %s\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 X\r\nlink: </a>\r\n\r\n"
SMALL_EVENT = b"id: %d\ndata: piece\n\n"


@dataclass(frozen=True)
class EndlessResponse:
    """A response that begins with *prefix* and goes on with the blocks for ever."""

    prefix: bytes
    make_blocks: Callable

    def generate(self, attempt_id):
        """Yield the bytes of the response to the attempt *attempt_id*."""
        yield self.prefix.replace(b"%s", attempt_id)
        yield from self.make_blocks()


def repeat(part):
    """Return blocks of repeated *part*."""
    return itertools.repeat(part * (BLOCK_BYTES // len(part)))


def encode_chunk(data):
    """Return *data* as a chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_small_events():
    """Yield blocks of small complete events with consecutive ids."""
    for first in itertools.count(1, 1000):
        events = (SMALL_EVENT % number for number in range(first, first + 1000))
        yield encode_chunk(b"".join(events))


KINDS = {
    "header lines": EndlessResponse(HEAD, lambda: repeat(b"x-a: b\r\n")),
    "header line": EndlessResponse(HEAD + b"x-a: ", lambda: repeat(b"b")),
    "chunk extension": EndlessResponse(CHUNKED + b"5;a=", lambda: repeat(b"b")),
    "trailers": EndlessResponse(CHUNKED + b"0\r\n", lambda: repeat(b"x-a: b\r\n")),
    "event": EndlessResponse(CHUNKED, lambda: repeat(encode_chunk(b"x" * 1000))),
    "chunked body": EndlessResponse(CHUNKED, lambda: repeat(encode_chunk(b"x" * 1000))),
    "tiny chunks": EndlessResponse(CHUNKED, lambda: repeat(encode_chunk(b"xy"))),
    "long body": EndlessResponse(
        HEAD + b"content-length: 1%018d\r\n\r\n" % 0, lambda: repeat(b"x")
    ),
    "interim responses": EndlessResponse(b"", lambda: repeat(INTERIM)),
    "small events": EndlessResponse(CHUNKED, make_small_events),
}
