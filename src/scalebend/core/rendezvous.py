"""Rendezvous hashing: maps a name to the instance responsible for it.

All instances compute the same result from the same list. When an instance joins or
leaves, only the names that it gains or loses are reassigned.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from scalebend.models.ids import InstanceId

Weight = tuple[int, InstanceId]


def find_responsible(name: str, instances: Iterable[InstanceId]) -> InstanceId | None:
    """Return the responsible instance, or ``None`` for an empty list."""
    highest = _find_highest(name, instances)
    return highest[1] if highest is not None else None


def _find_highest(name: str, instances: Iterable[InstanceId]) -> Weight | None:
    return max((weigh_instance(name, instance) for instance in instances), default=None)


def weigh_instance(name: str, instance: InstanceId) -> Weight:
    """Return the weight of an instance for ``name``; the highest is responsible."""
    digest = xxhash.xxh3_64_intdigest(f"{name}\0{instance}".encode())
    return (digest, instance)


class ResponsibleTable:
    """Caches the responsible instances; updates them as the list changes."""

    def __init__(self, instances: Iterable[InstanceId]) -> None:
        self._instances = frozenset(instances)
        self._highest: dict[str, Weight | None] = {}

    def find(self, name: str) -> InstanceId | None:
        """Return the instance responsible for ``name``; ``None`` if there are none."""
        if name not in self._highest:
            self._highest[name] = _find_highest(name, self._instances)
        highest = self._highest[name]
        return highest[1] if highest is not None else None

    def set_instances(self, instances: Iterable[InstanceId]) -> None:
        """Replace the list of instances."""
        old = self._instances
        self._instances = frozenset(instances)
        added = self._instances - old
        for name, highest in self._highest.items():
            if highest is None or highest[1] not in self._instances:
                self._highest[name] = _find_highest(name, self._instances)
                continue
            candidates = [weigh_instance(name, instance) for instance in added]
            self._highest[name] = max([highest, *candidates])

    def forget(self, name: str) -> None:
        """Remove a name that is no longer used from the cache."""
        self._highest.pop(name, None)
