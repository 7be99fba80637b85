"""HTTP header fields."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Fields that apply to a single connection; RFC 9110, section 7.6.1."""


class Fields:
    """Header fields in their order on the wire.

    Names are lower case; values are decoded as Latin-1.
    """

    def __init__(self, pairs=()):
        self.pairs = list(pairs)

    @classmethod
    def decode(cls, raw):
        """Return the fields of header pairs parsed by h11."""
        return cls((n.decode("ascii"), v.decode("latin-1")) for n, v in raw)

    def get(self, name, default=None):
        """Return the first value of field *name*, or *default*."""
        for key, value in self.pairs:
            if key == name:
                return value
        return default

    def count(self, name):
        """Return the number of fields called *name*."""
        return sum(1 for key, _ in self.pairs if key == name)

    def has_token(self, name, token):
        """Return whether the comma-separated values of *name* contain *token*."""
        for key, value in self.pairs:
            if key == name:
                tokens = (part.strip().lower() for part in value.split(","))
                if token in tokens:
                    return True
        return False

    def get_forwarded_pairs(self, excluded=frozenset()):
        """Return the pairs to forward, without hop-by-hop and *excluded* fields."""
        connection_options = {
            token.strip().lower()
            for key, value in self.pairs
            if key == "connection"
            for token in value.split(",")
        }
        return [
            (key, value)
            for key, value in self.pairs
            if key not in HOP_BY_HOP
            and key not in excluded
            and key not in connection_options
        ]


def encode_pairs(pairs):
    """Return the pairs of header fields as h11 takes them; see :meth:`Fields.decode`.

    h11 encodes values itself only if they are ASCII.
    """
    return [(name, value.encode("latin-1")) for name, value in pairs]
