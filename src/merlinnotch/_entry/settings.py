"""Settings of an instance on the platform, in TOML, validated by msgspec."""

import pathlib
import tomllib
from typing import Annotated

import msgspec

from .._errors import InvalidSettings
from .._limits.memory_budget import STALLED_SHARE, USABLE_SHARE
from .._placement import Feature, Mode
from ..platform import is_under_pressure

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Milliseconds = Annotated[float, msgspec.Meta(ge=1000, le=60000)]
Count = Annotated[float, msgspec.Meta(ge=0)]


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name, availability zone and addresses of the instance."""

    name: str
    zone: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store. *watch_s* limits the duration of a watch.

    After the store accepts a change, a configuration has to be in force within
    *configuration_ms*, a draining upstream gets no new work after *draining_ms*, and
    the upstreams of an evacuated zone get none after *evacuating_ms*.
    """

    address: Address
    timeout_s: Seconds = 1.0
    watch_s: Seconds = 2.0
    configuration_ms: Milliseconds = 2000
    draining_ms: Milliseconds = 2000
    evacuating_ms: Milliseconds = 60000

    @property
    def in_force_s(self):
        """Time limit for applying any change, in seconds."""
        bounds_ms = (self.configuration_ms, self.draining_ms, self.evacuating_ms)
        return min(bounds_ms) / 1000.0


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retry budget of the fleet.

    In any *window_s* it is *ratio* times the number of first attempts, plus *slack*.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=10)]
    slack: Count
    window_s: Seconds


class RolloutSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit on the requests that a bad version may receive.

    In a rollout period it is *exposure_share* of the service's requests, plus *slack*.
    """

    exposure_share: Share
    slack: Count = 0.0


class WarmUpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit on the requests that a cold upstream receives from all instances.

    In any second it is *overshoot* times the rate configured for the service, plus
    *slack*.
    """

    overshoot: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1.0
    slack: Count = 0.0


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Grace period, from the request to stop until the process is killed."""

    grace_s: Seconds


class LinkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Network link of the instance.

    It carries *mbps* million bits per second in each direction; 0 means unknown.
    """

    mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0

    @property
    def bytes_per_s(self):
        """Bytes per second that the link carries in each direction, 0 if unknown."""
        return self.mbps * 1e6 / 8


class MemorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory of the process, *mb* million bytes; 0 means unknown."""

    mb: Count = 0.0

    @property
    def usable_bytes(self):
        """Limit on what is held of requests and responses, 0 without one."""
        return USABLE_SHARE * self.mb * 1e6

    @property
    def stalled_bytes(self):
        """Limit on what connections of callers that don't read hold, 0 without one."""
        return STALLED_SHARE * self.mb * 1e6


class DescriptorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Descriptors of the process, 0 for the limit that the kernel has for it."""

    max: Annotated[int, msgspec.Meta(ge=0)] = 0


class CascadeTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Value of 1,000 answer tokens, in the unit of the models' costs."""

    value: Count = 0.3


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which decisions under load are made, see :class:`LoadPolicy`.

    The mode "auto" of ramp-up is "off". That of the others follows from *contracts*,
    the parts of the platform's rules that are in force: "on" if callers compete for
    room, otherwise "reported", and "off" without contracts.
    """

    contracts: tuple[str, ...] = ()
    admission: Mode = Mode.AUTO
    models: Mode = Mode.AUTO
    work_times: Mode = Mode.AUTO
    ramp_up: Mode = Mode.AUTO

    @property
    def modes(self):
        """The :class:`Mode` of each :class:`Feature`."""
        default = Mode.REPORTED if self.contracts else Mode.OFF
        if is_under_pressure(self.contracts):
            default = Mode.ON
        defaults = dict.fromkeys(Feature, default) | {Feature.RAMP_UP: Mode.OFF}
        modes = {feature: getattr(self, feature) for feature in Feature}
        return {
            feature: defaults[feature] if mode is Mode.AUTO else mode
            for feature, mode in modes.items()
        }


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limit of log lines; lines above it are dropped and counted."""

    lines_per_s: Count = 200.0


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Root of the settings file."""

    instance: InstanceSettings
    store: StoreSettings
    retries: RetrySettings
    rollouts: RolloutSettings
    shutdown: ShutdownSettings
    cascade: CascadeTable = CascadeTable()
    warm_up: WarmUpSettings = WarmUpSettings()
    logs: LogSettings = LogSettings()
    link: LinkSettings = LinkSettings()
    memory: MemorySettings = MemorySettings()
    descriptors: DescriptorSettings = DescriptorSettings()
    load: LoadSettings = LoadSettings()


def load_entry_settings(path):
    """Return the :class:`EntrySettings` at *path*; raises :class:`InvalidSettings`."""
    try:
        table = tomllib.loads(pathlib.Path(path).read_text())
        return msgspec.convert(table, EntrySettings, strict=False)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettings([f"{path}: {error}"]) from error
    except msgspec.ValidationError as error:
        raise InvalidSettings([f"{path}: {error}"]) from error
