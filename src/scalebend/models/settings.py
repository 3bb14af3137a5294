"""Settings of one instance: a JSON document, read once at start."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import AvailabilityZone, InstanceId, Region

MIB = 1024 * 1024
DEFAULT_BODY_BYTES = 8 * MIB
DEFAULT_BODY_BYTES_SUM = 256 * MIB


class Role(Enum):
    """Role of an instance."""

    ENTRY = "entry"
    CONTROL = "control"


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses as ``IP:port``: callers over HTTP, instances over TCP and UDP."""

    callers: str
    peers: str
    gossip: str


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another instance, for first contact with the fleet."""

    instance: InstanceId
    peers: str
    gossip: str
    region: Region
    availability_zone: AvailabilityZone
    control: bool = False


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files; with ``authority`` the peer needs a certificate, too."""

    certificate: str
    key: str
    authority: str | None = None


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one instance; sizes in bytes, times in seconds."""

    body_bytes: int = DEFAULT_BODY_BYTES
    body_bytes_sum: int = DEFAULT_BODY_BYTES_SUM
    default_time_limit: float = 120.0
    longest_time_limit: float = 3600.0
    drain_time: float = 120.0
    announcement_timeout: float = 2.5


class LogFormat(Enum):
    """Format of log lines."""

    JSON = "json"
    CONSOLE = "console"


class Logging(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log output; ``level`` is a level's name, such as ``info``."""

    format: LogFormat = LogFormat.JSON
    level: str = "info"


class Statsd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination of metrics, over UDP."""

    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "scalebend"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one instance."""

    instance: InstanceId
    region: Region
    availability_zone: AvailabilityZone
    listen: Listen
    roles: list[Role] = msgspec.field(default_factory=lambda: [Role.ENTRY])
    peers: list[Peer] = msgspec.field(default_factory=list)
    data_folder: str | None = None
    operator_key_hashes: list[str] = msgspec.field(default_factory=list)
    upstream_key_hashes: list[str] = msgspec.field(default_factory=list)
    gossip_key_file: str | None = None
    peer_tls: Tls | None = None
    caller_tls: Tls | None = None
    upstream_tls: Tls | None = None
    limits: Limits = Limits()
    log: Logging = Logging()
    statsd: Statsd | None = None
    policy: str = "split-fair"

    @property
    def is_control(self) -> bool:
        """Whether this instance votes in the control group."""
        return Role.CONTROL in self.roles
