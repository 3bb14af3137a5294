"""Rendezvous hashing: which instance is responsible for a name.

Every instance computes the same answer from the same list. When an instance joins
or leaves, only the names that it gains or loses change hands.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from scalebend.models.ids import InstanceId

Weight = tuple[int, InstanceId]


def find_responsible(name: str, instances: Iterable[InstanceId]) -> InstanceId | None:
    """Return the responsible instance, or ``None`` of an empty list."""
    heaviest = _find_heaviest(name, instances)
    return heaviest[1] if heaviest is not None else None


def _find_heaviest(name: str, instances: Iterable[InstanceId]) -> Weight | None:
    return max((_weigh(name, instance) for instance in instances), default=None)


def _weigh(name: str, instance: InstanceId) -> Weight:
    digest = xxhash.xxh3_64_intdigest(f"{name}\0{instance}".encode())
    return (digest, instance)


class ResponsibleTable:
    """Remembers who is responsible; a new list costs only what it changes."""

    def __init__(self, instances: Iterable[InstanceId]) -> None:
        self._instances = frozenset(instances)
        self._heaviest: dict[str, Weight | None] = {}

    def find(self, name: str) -> InstanceId | None:
        """The instance responsible for ``name``."""
        if name not in self._heaviest:
            self._heaviest[name] = _find_heaviest(name, self._instances)
        heaviest = self._heaviest[name]
        return heaviest[1] if heaviest is not None else None

    def set_instances(self, instances: Iterable[InstanceId]) -> None:
        """Follow a newer list."""
        old = self._instances
        self._instances = frozenset(instances)
        added = self._instances - old
        for name, heaviest in self._heaviest.items():
            if heaviest is None or heaviest[1] not in self._instances:
                self._heaviest[name] = _find_heaviest(name, self._instances)
                continue
            rivals = [_weigh(name, instance) for instance in added]
            self._heaviest[name] = max([heaviest, *rivals])

    def forget(self, name: str) -> None:
        """The name is not used any more."""
        self._heaviest.pop(name, None)
