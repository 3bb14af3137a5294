"""Settings of one gateway process: a front, a control instance or a relay.

Times are in seconds, sizes in bytes unless a name says otherwise.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import AvailabilityZone, InstanceId, Region


class GatewayRole(Enum):
    """What a gateway process does."""

    FRONT = "front"
    CONTROL = "control"
    RELAY = "relay"
    """Forwards control calls; without a disk, it has no vote."""


class Bounds(msgspec.Struct, frozen=True):
    """Times and ratios that the deployment guarantees to its users."""

    key_revocation: float = 5.0
    """Seconds after which a revoked key must be rejected."""

    is_revocation_strict: bool = True
    """Whether that also holds for a front disconnected from all control instances."""

    drain_grace: float = 8.0
    """Seconds between the stop signal and SIGKILL."""

    retry_ratio: float = 0.2
    """Retries allowed for each first attempt at a service."""

    retry_window: float = 10.0
    """Seconds over which retries are counted."""

    retry_slack: float = 50.0
    """Retries of a window that are allowed in addition, over all fronts."""

    max_reservation_s: float = 20.0
    """Longest time for which a replica reserves memory, in seconds."""

    slow_start_excess: float = 1.5
    """Requests that may arrive at a cold replica in one second, as a multiple of the
    rate that its service states."""

    slow_start_slack: float = 5.0
    """Requests that may arrive there in one second in addition."""


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process; addresses are ``IP:port``."""

    name: str
    role: GatewayRole
    availability_zone: AvailabilityZone
    link_address: str
    """Address at which other control processes reach the one on this host."""

    seeds: list[str]
    """Link addresses of some control instances, possibly stale."""

    is_first_start: bool
    """Whether the deployment never ran before, so that a group may be formed."""

    tolerated_losses: int
    """Control instances that may be lost at once with their disks."""

    heartbeat_interval: float
    """Seconds between two registrations of an upstream."""

    bounds: Bounds
    link_listen: str | None = None
    """Address to accept links on, if different from the one that others dial."""

    tunnel_address: str | None = None
    """Address of a front for tunnels of other fronts; ``None`` if there is no port."""

    callers_address: str | None = None
    readiness_address: str | None = None
    control_address: str | None = None
    tolerated_zones: int = 0
    """Availability zones that may be lost at once, with all disks in them."""

    tolerated_regions: int = 0
    region: Region = Region("")
    metrics_port: int | None = None
    data_folder: str | None = None
    max_open_files: int = 1024
    memory_mib: int = 256

    @property
    def instance(self) -> InstanceId:
        """Name of this process, unique in the system.

        A control process is named by its link address. A front may share its host with
        a control process, so it has another name: with the same one, each new link of
        either would replace the other's.
        """
        if self.role is GatewayRole.FRONT:
            return InstanceId(f"front-{self.link_address}")
        return InstanceId(self.link_address)
