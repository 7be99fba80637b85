"""Validated settings."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Settings of an entry instance. Addresses are host:port, times are in seconds.

    *advertised_address* is the address at which peers reach *peer_address*. Session
    tokens are signed with the first of *signing_keys* and verified with any of them.
    *peer_key* is the shared secret by which instances authenticate to each other.
    *drain_s* is how long the instance keeps accepting requests during shutdown,
    *shutdown_s* the time limit of the whole shutdown. *memory_bytes* is the memory of
    the process, 0 if it is that of the machine.
    """

    instance: str
    zone: str
    caller_address: str
    metrics_address: str
    peer_address: str
    advertised_address: str
    seeds: tuple[str, ...]
    store_addresses: tuple[str, ...]
    platform_address: str
    ratings_address: str | None
    signing_keys: tuple[str, ...]
    peer_key: str
    drain_s: float
    shutdown_s: float
    max_body_bytes: int
    memory_bytes: float
    store_timeout_s: float


@dataclass(frozen=True)
class OperatorSettings:
    """Settings of the operators' commands; *author* is the operator's name."""

    store_addresses: tuple[str, ...]
    author: str
    store_timeout_s: float
