"""Prefix hashes of prompts and an index of replicas that probably cache them.

Cache events are hints: they may be late or lost, and nothing waits for them. After a
gap in their sequence the replica's entries are dropped and learned again from the
hits that it reports.
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from scalebend.models.ids import UpstreamId
from scalebend.models.upstream import CacheEvent

KIB = 1024
MAX_ENTRIES = 20_000
"""Hashes indexed by one instance; the least recently learned are dropped first."""


def list_boundaries(size: int) -> list[int]:
    """Return the byte offsets at which a prompt of ``size`` bytes is hashed.

    Steps are 1 KiB up to 16 KiB, 16 KiB up to 256 KiB and 256 KiB beyond: at most
    47 hashes for a million tokens.
    """
    boundaries = list(range(KIB, min(size, 16 * KIB) + 1, KIB))
    boundaries += range(32 * KIB, min(size, 256 * KIB) + 1, 16 * KIB)
    boundaries += range(512 * KIB, size + 1, 256 * KIB)
    return boundaries


def compute_prefixes(prompt: bytes) -> tuple[int, ...]:
    """Return the 64-bit hashes of the prompt's prefixes, shortest first."""
    state = xxhash.xxh3_64()
    hashes = []
    start = 0
    for boundary in list_boundaries(len(prompt)):
        state.update(prompt[start:boundary])
        hashes.append(state.intdigest())
        start = boundary
    return tuple(hashes)


class PrefixIndex:
    """Maps prefix hashes to the replicas that probably cache them."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._replicas: OrderedDict[int, set[UpstreamId]] = OrderedDict()
        self._sequences: dict[UpstreamId, int] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def apply_event(self, upstream: UpstreamId, event: CacheEvent) -> None:
        """Apply a cache event; ignores old ones, drops known entries on a gap."""
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
        """Record that the replica has computed these prefixes."""
        for prefix in prefixes:
            self._replicas.setdefault(prefix, set()).add(upstream)
            self._replicas.move_to_end(prefix)
        while len(self._replicas) > self._max_entries:
            self._replicas.popitem(last=False)

    def forget_replica(self, upstream: UpstreamId) -> None:
        """Drop all entries and the sequence number of the replica."""
        self._sequences.pop(upstream, None)
        for prefix in [p for p, names in self._replicas.items() if upstream in names]:
            self._remove(prefix, upstream)

    def count_cached(
        self, prefixes: tuple[int, ...], bytes_per_token: float
    ) -> dict[UpstreamId, int]:
        """Return how many tokens of the prompt each replica probably caches."""
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
