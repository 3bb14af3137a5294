"""How many processes and stand-ins a soak run has, and what they are called."""

from __future__ import annotations

from typing import NewType

import msgspec

ProcessName = NewType("ProcessName", str)
"""Name of one process of the system, the same over its restarts."""


class Layout(msgspec.Struct, frozen=True):
    """Processes of the system, and the number of stand-in replicas."""

    controls: tuple[ProcessName, ...]
    fronts: tuple[ProcessName, ...]
    replicas: int

    @property
    def processes(self) -> tuple[ProcessName, ...]:
        """All processes of the system."""
        return self.controls + self.fronts

    @property
    def plain_replicas(self) -> list[int]:
        """Numbers of the replicas of the plain service: a third; others are engines."""
        return [number for number in range(self.replicas) if number % 3 == 2]

    @property
    def engine_replicas(self) -> list[int]:
        """Numbers of the engines."""
        return sorted(set(range(self.replicas)) - set(self.plain_replicas))

    @property
    def tolerated_losses(self) -> int:
        """Control instances that may be lost at once."""
        return (len(self.controls) - 1) // 2


def build_layout(controls: int, fronts: int, replicas: int) -> Layout:
    """Name the processes of a run."""
    return Layout(
        tuple(ProcessName(f"control-{number}") for number in range(controls)),
        tuple(ProcessName(f"front-{number}") for number in range(fronts)),
        replicas,
    )
