"""Checks of request heads against request smuggling.

A request can be hidden in another one if two parsers read the same bytes differently.
These checks reject the constructs on which parsers are known to disagree.
"""

from .._errors import MalformedMessage

END_OF_HEAD = b"\r\n\r\n"


def check_raw_head(head):
    """Reject bare line feeds, bare carriage returns, null bytes and folded fields.

    *head* includes the empty line at its end. Raises :class:`MalformedMessage`.
    """
    remainder = head.replace(b"\r\n", b"")
    if b"\n" in remainder or b"\r" in remainder or b"\0" in remainder:
        raise MalformedMessage(
            "request head contains a bare CR, a bare LF or a null byte"
        )
    if b"\r\n " in head or b"\r\n\t" in head:
        raise MalformedMessage("header field is folded over several lines")


def check_framing(fields, target):
    """Reject ambiguous body lengths, no or several Host fields, and non-path targets.

    Raises :class:`MalformedMessage`.
    """
    lengths = fields.count("content-length")
    if lengths > 1 or (lengths and fields.count("transfer-encoding")):
        raise MalformedMessage("request body length is given more than once")
    if fields.count("transfer-encoding") > 1:
        raise MalformedMessage("several Transfer-Encoding fields")
    if fields.count("host") != 1:
        raise MalformedMessage("request must have exactly one Host field")
    if not target.startswith("/"):
        raise MalformedMessage("request target is not a path")
