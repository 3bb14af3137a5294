"""Scheduling order of the work queued at a replica's owner.

A policy is a data class; ``match`` selects its behaviour. The sort key of a queued
attempt never changes, so each queue is a set of heaps: one per size class (except
under first-come) and, for fair queueing, per customer.
"""

from __future__ import annotations

import bisect
import heapq
import math
from typing import NamedTuple

import msgspec

from scalebend.core.shares import ShareLedger
from scalebend.models.ids import AttemptId, CustomerId
from scalebend.models.work import Work

SHORT_TOKENS = 4_000
"""Prompts below this size are short and may use the replica's memory reserve."""

LONG_TOKENS = 100_000
"""Prompts of at least this size are long."""

CLASS_BOUNDS_TOKENS = (SHORT_TOKENS, 12_000, 32_000, LONG_TOKENS)
"""Lower bounds of the size classes above the first; lower classes prefill first."""

SIZE_CLASSES = len(CLASS_BOUNDS_TOKENS) + 1

SIZE_HALVING_S = 5.0
"""Queueing time after which a request's effective size halves (smallest-first)."""

PRIORITY_FACTOR = 2.0
"""Each priority step divides the effective size by this, so that none starves."""

PRIORITY_STEP_S = 20.0
"""Queueing time that outweighs one priority step in order of arrival."""


class FirstCome(msgspec.Struct, frozen=True, tag="first-come"):
    """One shared queue in order of arrival, as a baseline."""


class SizeLanes(msgspec.Struct, frozen=True, tag="lanes"):
    """Smaller size intervals first; in order of arrival within an interval.

    ``borders`` are the lower bounds in prefill tokens of the intervals above the first.
    """

    borders: tuple[int, ...] = (SHORT_TOKENS, 32_000, LONG_TOKENS)


class FairQueue(msgspec.Struct, frozen=True, tag="fair"):
    """Lowest normalized usage first; within a customer, smallest first with aging."""


class SmallestFirst(msgspec.Struct, frozen=True, tag="smallest"):
    """Smallest work first with aging, regardless of the customer."""


Policy = FirstCome | SizeLanes | FairQueue | SmallestFirst


class Strategy(msgspec.Struct, frozen=True):
    """Queueing policy, and whether prefill and decode run on different engines.

    ``is_split``: the prefill engine exports the KV cache to the decode engine.
    """

    queue: Policy
    is_split: bool = False


STRATEGIES: dict[str, Strategy] = {
    "first-come": Strategy(FirstCome()),
    "lanes": Strategy(SizeLanes()),
    "fair": Strategy(FairQueue()),
    "smallest": Strategy(SmallestFirst()),
    "split-fair": Strategy(FairQueue(), is_split=True),
}

DEFAULT_STRATEGY = "split-fair"

SHARED_CUSTOMER = CustomerId("")


class SubqueueKey(NamedTuple):
    """Identifies work that starts in the order of its sort keys.

    ``is_unallocated`` is false for work that holds memory on another replica: it goes
    first, so that this memory is released early. Size classes have separate
    subqueues, so that large work that cannot start yet does not block smaller work.
    """

    is_unallocated: bool
    customer: CustomerId
    size_class: int


class QueuedWork(msgspec.Struct):
    """Queued work; ``arrived`` and ``blocked_since`` are in the owner's clock."""

    work: Work
    arrived: float
    blocked_since: float | None = None

    def is_expired(self, now: float) -> bool:
        """Whether the work has been queued for its whole timeout."""
        return now - self.arrived >= self.work.timeout_s


SortKey = tuple[float, ...]


def compute_size_class(prefill_tokens: int) -> int:
    """Return the size class of a prefill; class 0 has the smallest."""
    return bisect.bisect_right(CLASS_BOUNDS_TOKENS, prefill_tokens)


def compute_key(policy: Policy, work: Work, arrived: float) -> SortKey:
    """Return the sort key of ``work`` under ``policy``; the lowest starts first."""
    match policy:
        case FirstCome():
            return (arrived,)
        case SizeLanes(borders):
            lane = sum(work.prefill_tokens >= border for border in borders)
            return (lane, _compute_arrival_key(work, arrived))
        case FairQueue() | SmallestFirst():
            return (_compute_size_key(work, arrived),)


def _compute_size_key(work: Work, arrived: float) -> float:
    # The order of size * 0.5 ** (waited / SIZE_HALVING_S) is that of its logarithm,
    # where the current time is a common term and drops out.
    size = math.log2(1 + work.prefill_tokens + work.output_tokens)
    return size + arrived / SIZE_HALVING_S - work.priority * math.log2(PRIORITY_FACTOR)


def _compute_arrival_key(work: Work, arrived: float) -> float:
    return arrived - work.priority * PRIORITY_STEP_S


class WorkQueue:
    """Queued work of one replica under one policy."""

    def __init__(self, policy: Policy, shares: ShareLedger) -> None:
        self._policy = policy
        self._shares = shares
        self._subqueues: dict[SubqueueKey, list[tuple[SortKey, AttemptId]]] = {}
        self._queued: dict[AttemptId, QueuedWork] = {}
        self._subqueue_tokens: dict[SubqueueKey, int] = {}
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, attempt: object) -> bool:
        return attempt in self._queued

    def push(self, work: Work, now: float) -> None:
        """Queue ``work``; does nothing if the attempt is queued already."""
        if work.attempt in self._queued:
            return
        subqueue = self._get_subqueue(work)
        self._queued[work.attempt] = QueuedWork(work, now)
        key = compute_key(self._policy, work, now)
        heapq.heappush(self._subqueues.setdefault(subqueue, []), (key, work.attempt))
        self._add_tokens(subqueue, work.prefill_tokens)

    def remove(self, attempt: AttemptId) -> QueuedWork | None:
        """Remove and return the attempt; ``None`` if it is not queued."""
        queued = self._queued.pop(attempt, None)
        if queued is None:
            return None
        subqueue = self._get_subqueue(queued.work)
        self._add_tokens(subqueue, -queued.work.prefill_tokens)
        self._discard_removed(subqueue)
        return queued

    def list_queued(self) -> list[QueuedWork]:
        """Return all queued work, in no particular order."""
        return list(self._queued.values())

    def list_heads(self, now: float) -> list[QueuedWork]:
        """Return the first work of each subqueue, in the order of service."""
        if len(self._subqueues) > 1:
            subqueues = sorted(
                self._subqueues,
                key=lambda subqueue: self._rank_subqueue(subqueue, now),
            )
        else:
            subqueues = list(self._subqueues)
        return [self._queued[self._subqueues[subqueue][0][1]] for subqueue in subqueues]

    def _rank_subqueue(
        self, subqueue: SubqueueKey, now: float
    ) -> tuple[bool, float, SortKey]:
        usage = self._shares.compute_normalized(subqueue.customer, now)
        return (subqueue.is_unallocated, usage, self._subqueues[subqueue][0][0])

    def count_tokens_by_class(self) -> tuple[int, ...]:
        """Return the queued prefill tokens of each size class."""
        counts = [0] * SIZE_CLASSES
        for subqueue, tokens in self._subqueue_tokens.items():
            counts[subqueue.size_class] += tokens
        return tuple(counts)

    def estimate_tokens_ahead(self, work: Work) -> int:
        """Estimate the prefill tokens that start before ``work`` if queued now."""
        own_subqueue = self._get_subqueue(work)
        own_tokens = 0
        customers = {own_subqueue.customer}
        for subqueue, tokens in self._subqueue_tokens.items():
            if subqueue.size_class > own_subqueue.size_class:
                continue
            customers.add(subqueue.customer)
            if subqueue.customer == own_subqueue.customer:
                own_tokens += tokens
        return min(self.tokens, own_tokens * len(customers))

    def _get_subqueue(self, work: Work) -> SubqueueKey:
        is_unallocated = not work.is_reserved_elsewhere
        size_class = compute_size_class(work.prefill_tokens)
        match self._policy:
            case FirstCome():
                return SubqueueKey(True, SHARED_CUSTOMER, 0)
            case FairQueue():
                return SubqueueKey(is_unallocated, work.customer, size_class)
            case _:
                return SubqueueKey(is_unallocated, SHARED_CUSTOMER, size_class)

    def _add_tokens(self, subqueue: SubqueueKey, tokens: int) -> None:
        self.tokens += tokens
        self._subqueue_tokens[subqueue] = (
            self._subqueue_tokens.get(subqueue, 0) + tokens
        )

    def _discard_removed(self, subqueue: SubqueueKey) -> None:
        heap = self._subqueues[subqueue]
        while heap and heap[0][1] not in self._queued:
            heapq.heappop(heap)
        if not heap:
            del self._subqueues[subqueue]
            del self._subqueue_tokens[subqueue]
