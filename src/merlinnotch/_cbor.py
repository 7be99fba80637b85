"""Decoding of CBOR."""

import cbor2


def decode_cbor(data):
    """Return the decoded *data*; raises :class:`ValueError` if it is malformed.

    The errors of the library are no subclasses of it.
    """
    try:
        return cbor2.loads(data)
    except cbor2.CBORError as error:
        raise ValueError(f"malformed CBOR: {error}") from error
