"""Rendezvous hashing: which instance is responsible for a name.

Every instance computes the same answer from the same list. When an instance joins
or leaves, only the names that it gains or loses change hands.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from scalebend.models.ids import InstanceId


def rank_instances(name: str, instances: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the instances, the responsible one first."""
    return sorted(instances, key=lambda i: (-_weigh(name, i), i))


def find_responsible(name: str, instances: Iterable[InstanceId]) -> InstanceId | None:
    """Return the responsible instance, or ``None`` of an empty list."""
    return max(instances, key=lambda i: (_weigh(name, i), i), default=None)


def _weigh(name: str, instance: InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{instance}".encode())
