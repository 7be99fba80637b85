"""Messages by which an instance finds peers that relay for it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RelayQuestion:
    """Asks which of *services* the recipient reaches.

    The answer goes to *address*.
    """

    address: str
    services: tuple[str, ...]


@dataclass(frozen=True)
class RelayAnswer:
    """Tells that the instance *name* relays requests to *services*.

    *in_flight* is the number of its requests in progress, its own and relayed ones.
    """

    name: str
    services: tuple[str, ...]
    in_flight: int
