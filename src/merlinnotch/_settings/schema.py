"""Pydantic models of the settings files."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Address = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=64)]
Seconds = Annotated[float, Field(gt=0, le=3600)]


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class InstanceTable(_Table):
    name: Name
    zone: Name
    caller_address: Address
    metrics_address: Address
    peer_address: Address
    advertised_address: Address | None = None
    max_body_bytes: Annotated[int, Field(ge=1024, le=64 << 20)] = 4 << 20


class PeersTable(_Table):
    seeds: list[Address]
    key_file: str


class StoreTable(_Table):
    addresses: Annotated[list[Address], Field(min_length=1)]
    timeout_s: Seconds = 1.0


class PlatformTable(_Table):
    address: Address


class RatingsTable(_Table):
    address: Address


class SessionsTable(_Table):
    key_files: Annotated[list[str], Field(min_length=1)]


class ShutdownTable(_Table):
    drain_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    deadline_s: Seconds = 60.0


class MemoryTable(_Table):
    mb: Annotated[float, Field(ge=0)] = 0.0


class SettingsFile(_Table):
    """The settings file of an entry instance."""

    instance: InstanceTable
    peers: PeersTable
    store: StoreTable
    platform: PlatformTable
    sessions: SessionsTable
    ratings: RatingsTable | None = None
    shutdown: ShutdownTable = ShutdownTable()
    memory: MemoryTable = MemoryTable()


class OperatorTable(_Table):
    name: Annotated[str, Field(min_length=1, max_length=64)]


class OperatorFile(_Table):
    """The settings file of the operators' commands."""

    store: StoreTable
    operator: OperatorTable
