"""Header fields in the order in which they came."""

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
"""Fields that concern one connection only; RFC 9110, section 7.6.1."""


class Fields:
    """Names are lower case, values are text with one byte a character."""

    def __init__(self, pairs=()):
        self.pairs = list(pairs)

    @classmethod
    def decode(cls, raw):
        """Return the fields that h11 parsed."""
        return cls((n.decode("ascii"), v.decode("latin-1")) for n, v in raw)

    def get(self, name, default=None):
        """Return the first value of *name*."""
        for key, value in self.pairs:
            if key == name:
                return value
        return default

    def count(self, name):
        """Return how often *name* stands there."""
        return sum(1 for key, _ in self.pairs if key == name)

    def has_token(self, name, token):
        """Return whether the comma-separated list *name* holds *token*."""
        for key, value in self.pairs:
            if key == name:
                tokens = (part.strip().lower() for part in value.split(","))
                if token in tokens:
                    return True
        return False

    def pass_on(self, dropped=frozenset()):
        """Return the pairs to forward: no hop-by-hop fields, none of *dropped*."""
        named = {
            token.strip().lower()
            for key, value in self.pairs
            if key == "connection"
            for token in value.split(",")
        }
        return [
            (key, value)
            for key, value in self.pairs
            if key not in HOP_BY_HOP and key not in dropped and key not in named
        ]
