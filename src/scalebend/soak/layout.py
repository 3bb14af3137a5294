"""Numbers and names of the processes and stand-in replicas of a soak run."""

from __future__ import annotations

from typing import NewType

import msgspec

from scalebend.models.ids import AvailabilityZone

ProcessName = NewType("ProcessName", str)
"""Name of one gateway process; it stays the same over restarts."""


AVAILABILITY_ZONES = tuple(
    AvailabilityZone(name) for name in ("zone-a", "zone-b", "zone-c")
)


class Layout(msgspec.Struct, frozen=True):
    """Gateway processes by role, and the number of stand-in replicas."""

    controls: tuple[ProcessName, ...]
    fronts: tuple[ProcessName, ...]
    replicas: int

    @property
    def processes(self) -> tuple[ProcessName, ...]:
        """All gateway processes, control instances first."""
        return self.controls + self.fronts

    @property
    def plain_replicas(self) -> list[int]:
        """Numbers of the replicas of the plain service: every third one."""
        return [number for number in range(self.replicas) if number % 3 == 2]

    @property
    def engine_replicas(self) -> list[int]:
        """Numbers of the engines: all replicas but the plain ones."""
        return sorted(set(range(self.replicas)) - set(self.plain_replicas))

    @property
    def replica_zones(self) -> list[AvailabilityZone]:
        """Availability zones that have replicas."""
        return [zone for zone in REPLICA_ZONES if self.list_replicas_in(zone)]

    def list_replicas_in(self, zone: AvailabilityZone) -> list[int]:
        """Return the numbers of the replicas in an availability zone."""
        replicas = range(self.replicas)
        return [number for number in replicas if get_replica_zone(number) == zone]

    @property
    def tolerated_losses(self) -> int:
        """Number of control instances that may be lost at the same time."""
        return (len(self.controls) - 1) // 2


REPLICA_ZONES = AVAILABILITY_ZONES[:2]
"""Zones with replicas; of each service, each zone has half."""


def get_replica_zone(number: int) -> AvailabilityZone:
    """Return the availability zone of a replica: every three ones are together."""
    return REPLICA_ZONES[number // 3 % len(REPLICA_ZONES)]


def build_layout(controls: int, fronts: int, replicas: int) -> Layout:
    """Build the layout of a run with the given numbers of processes and replicas."""
    return Layout(
        tuple(ProcessName(f"control-{number}") for number in range(controls)),
        tuple(ProcessName(f"front-{number}") for number in range(fronts)),
        replicas,
    )
