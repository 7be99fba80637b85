"""An upstream whose responses never end.

Run as a process of its own, so that it sends while the instance works:
``python -m tests.gateway.endless_upstream KIND``. It prints its address.
"""

import itertools
import re
import socket
import sys
import threading

BLOCK_BYTES = 65536
HEAD = b"HTTP/1.1 200 X\r\nx-server-seal: s\r\nx-attempt-id: %s\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 X\r\nlink: </a>\r\n\r\n"
SMALL_EVENT = b"id: %d\ndata: piece\n\n"


def repeat(part):
    """Yield blocks of repeated *part* for ever."""
    return itertools.repeat(part * (BLOCK_BYTES // len(part)))


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_small_events():
    """Yield blocks of small complete events with consecutive ids for ever."""
    for first in itertools.count(1, 1000):
        events = (SMALL_EVENT % number for number in range(first, first + 1000))
        yield encode_chunk(b"".join(events))


KINDS = {
    "header lines": (HEAD, lambda: repeat(b"x-a: b\r\n")),
    "header line": (HEAD + b"x-a: ", lambda: repeat(b"b")),
    "chunk extension": (CHUNKED + b"5;a=", lambda: repeat(b"b")),
    "trailers": (CHUNKED + b"0\r\n", lambda: repeat(b"x-a: b\r\n")),
    "event": (CHUNKED, lambda: repeat(encode_chunk(b"x" * 1000))),
    "chunked body": (CHUNKED, lambda: repeat(encode_chunk(b"x" * 1000))),
    "tiny chunks": (CHUNKED, lambda: repeat(encode_chunk(b"xy"))),
    "long body": (HEAD + b"content-length: 1%018d\r\n\r\n" % 0, lambda: repeat(b"x")),
    "interim responses": (b"", lambda: repeat(INTERIM)),
    "small events": (CHUNKED, make_small_events),
}


def serve(sock, kind):
    """Answer one request without an end."""
    prefix, make_blocks = KINDS[kind]
    request = b""
    while b"\r\n\r\n" not in request:
        request += sock.recv(65536)
    attempt_id = re.search(rb"x-attempt-id: (\S+)", request, re.IGNORECASE)[1]
    try:
        sock.sendall(prefix.replace(b"%s", attempt_id))
        for block in make_blocks():
            sock.sendall(block)
    except OSError:
        sock.close()


def main():
    """Serve until the process is ended."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=100)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, sys.argv[1]), daemon=True).start()


if __name__ == "__main__":
    main()
