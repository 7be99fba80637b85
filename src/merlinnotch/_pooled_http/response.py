"""Responses of ``http.client`` whose heads are checked line by line."""

import http.client
import re

MAX_LINES_BYTES = 65536
"""Limit on the lines without data between them: heads, interim responses, the line
before a chunk, trailers."""
CONTINUE_STATUS = 100
FIRST_FINAL_STATUS = 200
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})( [^\x00\r\n]*)?\r?\n")
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*\r?\n")
_CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(;[^\r\n]*)?\r?\n")
_END_LINES = frozenset({b"\r\n", b"\n"})
_LENGTH = re.compile(r"[0-9]{1,18}")


class MalformedResponse(http.client.HTTPException):
    """Bytes that are no valid response. urllib3 reports it like a broken connection."""


class LineChecker:
    """The file that ``http.client`` reads a response from.

    Raises :class:`MalformedResponse` for an invalid line of a head or before a chunk
    (RFC 9112, sections 4, 5 and 7.1), for a head that ends early, and for lines that
    have no end.
    """

    def __init__(self, file):
        self._file = file
        self._status = None
        self._is_in_head = True
        self._is_in_trailers = False
        self._lines_bytes = 0

    def __getattr__(self, name):
        return getattr(self._file, name)

    def read(self, *args):
        self._lines_bytes = 0
        return self._file.read(*args)

    def read1(self, *args):
        self._lines_bytes = 0
        return self._file.read1(*args)

    def readinto(self, buffer):
        self._lines_bytes = 0
        return self._file.readinto(buffer)

    def readline(self, limit=-1):
        line = self._file.readline(MAX_LINES_BYTES - self._lines_bytes + 1)
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise MalformedResponse("lines of a response have no end")
        if self._is_in_head:
            self._check_head_line(line)
        elif not self._is_in_trailers:
            self._check_chunk_line(line)
        return line

    def _check_head_line(self, line):
        if self._status is None:
            # The connection may end before a response, which the caller reports.
            if line:
                self._status = _parse_status(line)
        elif line in _END_LINES:
            self._is_in_head = self._status < FIRST_FINAL_STATUS
            self._status = None
        elif not _FIELD_LINE.fullmatch(line):
            raise MalformedResponse("malformed field line or unfinished head")

    def _check_chunk_line(self, line):
        match = _CHUNK_LINE.fullmatch(line)
        if not match:
            raise MalformedResponse("malformed chunk size or unfinished body")
        self._is_in_trailers = int(match.group(1), 16) == 0


class CheckedResponse(http.client.HTTPResponse):
    """A response that is refused if its head is malformed or its length ambiguous."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.fp = LineChecker(self.fp)

    def begin(self):
        super().begin()
        _check_framing(self.msg)


def _parse_status(line):
    """Return the status, 100 of an interim response or a final one."""
    match = _STATUS_LINE.fullmatch(line)
    status = int(match.group(1)) if match else 0
    # ``http.client`` takes other interim responses for final ones.
    if status < FIRST_FINAL_STATUS and status != CONTINUE_STATUS:
        raise MalformedResponse("malformed status line")
    return status


def _check_framing(message):
    """Check what says where the body ends; RFC 9112, section 6.

    Raises :class:`MalformedResponse` for what ``http.client`` would read differently
    from other parsers.
    """
    codings = message.get_all("transfer-encoding", [])
    lengths = message.get_all("content-length", [])
    if codings and [c.strip().lower() for c in codings] != ["chunked"]:
        raise MalformedResponse("unknown transfer coding")
    if len(lengths) > 1 or (lengths and codings):
        raise MalformedResponse("response body length is given more than once")
    if lengths and not _LENGTH.fullmatch(lengths[0].strip()):
        raise MalformedResponse("malformed content length")
