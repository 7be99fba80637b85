"""Checks of a request head that a lenient parser would let pass.

Two parsers that read the same bytes differently let one request hide in
another. What is refused here is what parsers are known to disagree on.
"""

from .._errors import MalformedMessage

END_OF_HEAD = b"\r\n\r\n"


def check_raw_head(head):
    """Refuse bare line feeds, lone carriage returns and folded lines.

    *head* ends with an empty line. Raises :class:`MalformedMessage`.
    """
    text = head.replace(b"\r\n", b"")
    if b"\n" in text or b"\r" in text or b"\0" in text:
        raise MalformedMessage("a line does not end with CR LF")
    if b"\r\n " in head or b"\r\n\t" in head:
        raise MalformedMessage("a field is folded over several lines")


def check_framing(fields, target):
    """Refuse a body whose length is told twice, and a target without path."""
    lengths = fields.count("content-length")
    if lengths > 1 or (lengths and fields.count("transfer-encoding")):
        raise MalformedMessage("the length of the body is told twice")
    if fields.count("transfer-encoding") > 1:
        raise MalformedMessage("several transfer encodings")
    if fields.count("host") != 1:
        raise MalformedMessage("one Host is needed")
    if not target.startswith("/"):
        raise MalformedMessage("the target is not a path")
