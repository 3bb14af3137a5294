"""Numbers and names of the processes and stand-in replicas of a soak run."""

from __future__ import annotations

from typing import NewType

import msgspec

ProcessName = NewType("ProcessName", str)
"""Name of one gateway process; it stays the same over restarts."""


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
    def tolerated_losses(self) -> int:
        """Number of control instances that may be lost at the same time."""
        return (len(self.controls) - 1) // 2


def build_layout(controls: int, fronts: int, replicas: int) -> Layout:
    """Build the layout of a run with the given numbers of processes and replicas."""
    return Layout(
        tuple(ProcessName(f"control-{number}") for number in range(controls)),
        tuple(ProcessName(f"front-{number}") for number in range(fronts)),
        replicas,
    )
