"""Prefix hashes of prompts, and which replica is likely to have them cached.

Cache events are hints: late, with gaps, and never a reason to wait. On a gap the
replica's entries are dropped and learned again from its own reported hits.
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from scalebend.models.ids import UpstreamId
from scalebend.models.upstream import CacheEvent

KIB = 1024
MOST_ENTRIES = 20_000
"""Hashes remembered by one instance, least recently used dropped first."""


def list_boundaries(size: int) -> list[int]:
    """Return the byte offsets at which a prompt of ``size`` bytes is hashed.

    Steps of 1 KiB up to 16 KiB, of 16 KiB up to 256 KiB, of 256 KiB beyond: at most
    47 hashes for a million tokens.
    """
    boundaries = list(range(KIB, min(size, 16 * KIB) + 1, KIB))
    boundaries += range(32 * KIB, min(size, 256 * KIB) + 1, 16 * KIB)
    boundaries += range(512 * KIB, size + 1, 256 * KIB)
    return boundaries


def compute_prefixes(prompt: bytes) -> tuple[int, ...]:
    """Return the 64-bit hash of each prefix, the shortest first."""
    state = xxhash.xxh3_64()
    hashes = []
    start = 0
    for boundary in list_boundaries(len(prompt)):
        state.update(prompt[start:boundary])
        hashes.append(state.intdigest())
        start = boundary
    return tuple(hashes)


class PrefixIndex:
    """Replicas that probably cache each prefix."""

    def __init__(self, most_entries: int = MOST_ENTRIES) -> None:
        self._most_entries = most_entries
        self._replicas: OrderedDict[int, set[UpstreamId]] = OrderedDict()
        self._sequences: dict[UpstreamId, int] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def take_event(self, upstream: UpstreamId, event: CacheEvent) -> None:
        """Apply one cache event; an old one is ignored, a gap drops the replica."""
        last = self._sequences.get(upstream)
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self.forget_replica(upstream)
        self._sequences[upstream] = event.sequence
        self.learn(upstream, tuple(event.stored))
        for prefix in event.evicted:
            self._remove(prefix, upstream)

    def learn(self, upstream: UpstreamId, prefixes: tuple[int, ...]) -> None:
        """Note that the replica has computed these prefixes."""
        for prefix in prefixes:
            self._replicas.setdefault(prefix, set()).add(upstream)
            self._replicas.move_to_end(prefix)
        while len(self._replicas) > self._most_entries:
            self._replicas.popitem(last=False)

    def forget_replica(self, upstream: UpstreamId) -> None:
        """Drop all that is known of the replica's cache."""
        self._sequences.pop(upstream, None)
        for prefix in [p for p, names in self._replicas.items() if upstream in names]:
            self._remove(prefix, upstream)

    def count_cached(
        self, prefixes: tuple[int, ...], bytes_per_token: float
    ) -> dict[UpstreamId, int]:
        """Return the tokens of the prompt that each replica probably caches."""
        if not prefixes or not self._replicas:
            return {}
        cached: dict[UpstreamId, int] = {}
        boundaries = _BOUNDARIES[: len(prefixes)]
        for boundary, prefix in zip(
            reversed(boundaries), reversed(prefixes), strict=True
        ):
            tokens = int(boundary / bytes_per_token)
            for upstream in self._replicas.get(prefix, ()):
                cached.setdefault(upstream, tokens)
        return cached

    def _remove(self, prefix: int, upstream: UpstreamId) -> None:
        names = self._replicas.get(prefix)
        if names is None:
            return
        names.discard(upstream)
        if not names:
            del self._replicas[prefix]


_BOUNDARIES = list_boundaries(64 * KIB * KIB)
