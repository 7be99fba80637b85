"""Checked settings."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Settings of an entry instance. Addresses are host:port.

    *advertised_address* is where peers reach *peer_address*.
    *signing_keys* are tried in order when a session token is checked; the
    first one signs. *peer_key* authenticates instances to each other.
    Times are in seconds.
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
    store_timeout_s: float


@dataclass(frozen=True)
class OperatorSettings:
    """Settings of the operators' commands."""

    store_addresses: tuple[str, ...]
    author: str
    store_timeout_s: float
