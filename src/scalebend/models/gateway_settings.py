"""Settings of one gateway process: a front, or a control instance.

Times are in seconds, sizes in bytes unless a name says otherwise.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import AvailabilityZone, InstanceId


class GatewayRole(Enum):
    """What a gateway process does."""

    FRONT = "front"
    CONTROL = "control"
    RELAY = "relay"
    """Takes control calls without a disk, so it has no vote: it sends them on."""


class Bounds(msgspec.Struct, frozen=True):
    """Times and ratios that the deployment promises its users."""

    key_revocation: float = 5.0
    """Seconds after which a revoked key must not be admitted."""

    is_revocation_strict: bool = True
    """Whether that holds also for a front that is cut off from control."""

    drain_grace: float = 8.0
    """Seconds between the stop signal and the kill."""

    retry_ratio: float = 0.2
    """Retries allowed for each first attempt at a service."""

    retry_window: float = 10.0
    """Seconds over which retries are counted."""

    retry_slack: float = 50.0
    """Retries of a window that are allowed beside the ratio, over all fronts."""

    hold_most: float = 20.0
    """Longest time for which a replica sets memory aside."""


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of one gateway process; addresses are ``IP:port``."""

    name: str
    role: GatewayRole
    availability_zone: AvailabilityZone
    link_address: str
    """Where control processes of this machine take messages of the others."""

    seeds: list[str]
    """Link addresses of some control instances, perhaps outdated."""

    is_first_start: bool
    """Whether the deployment never ran before, so that a group may be founded."""

    tolerated_losses: int
    """Control instances that may be lost at once: twice as many, and one, vote."""

    heartbeat_interval: float
    """Seconds between two registrations of an upstream."""

    bounds: Bounds
    link_listen: str | None = None
    """Where links are accepted, if that is not the address that others dial."""

    callers_address: str | None = None
    readiness_address: str | None = None
    control_address: str | None = None
    metrics_port: int | None = None
    data_folder: str | None = None
    open_files_most: int = 1024
    memory_mib: int = 256

    @property
    def instance(self) -> InstanceId:
        """This process among all others of the system.

        A control process goes by the address at which others dial it. Nobody dials a
        front, and a control process may share its machine, so it has a name of its own:
        with one name for both, each new link of one would end the other's.
        """
        if self.role is GatewayRole.FRONT:
            return InstanceId(f"front-{self.link_address}")
        return InstanceId(self.link_address)
