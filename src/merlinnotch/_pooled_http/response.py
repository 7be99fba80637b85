"""Responses of ``http.client`` whose heads are checked line by line."""

import http.client
import re

CONTINUE_STATUS = 100
FIRST_FINAL_STATUS = 200
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})( [^\x00\r\n]*)?\r?\n")
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*\r?\n")
_END_LINES = frozenset({b"\r\n", b"\n"})
_LENGTH = re.compile(r"[0-9]{1,18}")


class MalformedResponse(http.client.HTTPException):
    """Bytes that are no valid response. urllib3 reports it like a broken connection."""


class HeadChecker:
    """The file that ``http.client`` reads a response from.

    Raises :class:`MalformedResponse` for an invalid line of a head (RFC 9112, sections
    4 and 5), and for a head that ends early.
    """

    def __init__(self, file):
        self._file = file
        self._status = None
        self._is_in_head = True

    def __getattr__(self, name):
        return getattr(self._file, name)

    def readline(self, limit=-1):
        line = self._file.readline(limit)
        if self._is_in_head:
            self._check_head_line(line)
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


class CheckedResponse(http.client.HTTPResponse):
    """A response that is refused if its head is malformed or its length ambiguous."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.fp = HeadChecker(self.fp)

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
