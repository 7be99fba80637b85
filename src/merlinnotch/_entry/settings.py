"""Settings of an instance on the platform, in TOML, checked by msgspec."""

import pathlib
import tomllib
from typing import Annotated

import msgspec

from .._errors import BadSettings

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Milliseconds = Annotated[float, msgspec.Meta(ge=1000, le=60000)]
Count = Annotated[float, msgspec.Meta(ge=0)]


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this instance is and listens."""

    name: str
    zone: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store. *watch_s* bounds how long a watch is silent.

    A configuration has to be in force *configuration_ms* after it was accepted,
    a leaving upstream is to get no more work *draining_ms* after it said so, the
    upstreams of a zone *evacuating_ms* after operators evacuated it.
    """

    address: Address
    timeout_s: Seconds = 1.0
    watch_s: Seconds = 2.0
    configuration_ms: Milliseconds = 2000
    draining_ms: Milliseconds = 2000
    evacuating_ms: Milliseconds = 60000

    @property
    def in_force_s(self):
        """How soon any change has to be in force, in seconds."""
        bounds_ms = (self.configuration_ms, self.draining_ms, self.evacuating_ms)
        return min(bounds_ms) / 1000.0


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the whole fleet may send again: *ratio* of its first sends and
    *slack* more in any *window_s*."""

    ratio: Annotated[float, msgspec.Meta(ge=0, le=10)]
    slack: Count
    window_s: Seconds


class RolloutSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """*exposure_share* of a service's requests and *slack* more in the period of
    a roll-out may reach a bad version."""

    exposure_share: Share
    slack: Count = 0.0


class WarmUpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """In any second a cold upstream gets at most *overshoot* times the rate that its
    service names, and *slack* requests more, from all instances together."""

    overshoot: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1.0
    slack: Count = 0.0


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """*grace_s* after it is asked to stop, the process is killed."""

    grace_s: Seconds


class CascadeTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """*value* of 1,000 tokens of answer, in the unit of the models' costs."""

    value: Count = 0.3


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """At most *lines_per_s* are written; the rest is counted."""

    lines_per_s: Count = 200.0


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole settings file."""

    instance: InstanceSettings
    store: StoreSettings
    retries: RetrySettings
    rollouts: RolloutSettings
    shutdown: ShutdownSettings
    cascade: CascadeTable = CascadeTable()
    warm_up: WarmUpSettings = WarmUpSettings()
    logs: LogSettings = LogSettings()


def load_entry_settings(path):
    """Return the :class:`EntrySettings`; raises :class:`BadSettings`."""
    try:
        table = tomllib.loads(pathlib.Path(path).read_text())
        return msgspec.convert(table, EntrySettings, strict=False)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise BadSettings([f"{path}: {error}"]) from error
    except msgspec.ValidationError as error:
        raise BadSettings([f"{path}: {error}"]) from error
