"""Order in which a replica's owner starts waiting work.

A policy is a data class; its behaviour is chosen by ``match``. Each waiting attempt
has a key that does not change while it waits, so a queue is a heap per group: by
customer for fair queueing, and by size class for all policies but first-come.
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
"""Prompts under this are short: they may use the replica's memory reserve."""

LONG_TOKENS = 100_000
"""Prompts from this size are long."""

CLASS_BORDERS = (SHORT_TOKENS, 12_000, 32_000, LONG_TOKENS)
"""Prefill sizes that divide the classes; an engine prefills a lower class first."""

SIZE_CLASSES = len(CLASS_BORDERS) + 1

AGEING = 5.0
"""Seconds of waiting that halve a request's size in the smallest-first order."""

PRIORITY_FACTOR = 2.0
"""Each step of priority multiplies a share by this; no step starves another."""

PRIORITY_AGEING = 20.0
"""Seconds of waiting that outweigh one step of a request's priority."""


class FirstCome(msgspec.Struct, frozen=True, tag="first-come"):
    """One shared queue in order of arrival: the baseline."""


class Lanes(msgspec.Struct, frozen=True, tag="lanes"):
    """Size intervals: shorter intervals first, by arrival within an interval."""

    borders: tuple[int, ...] = (SHORT_TOKENS, 32_000, LONG_TOKENS)


class FairQueue(msgspec.Struct, frozen=True, tag="fair"):
    """Least normalized use first; within a customer smallest first with ageing."""


class SmallestFirst(msgspec.Struct, frozen=True, tag="smallest"):
    """Smallest remaining work first with ageing, whoever the customer is."""


Policy = FirstCome | Lanes | FairQueue | SmallestFirst


class Strategy(msgspec.Struct, frozen=True):
    """How requests are served: order in the queues, and whether they are split.

    ``is_split``: prefill and decode run on different engines, with KV export.
    """

    queue: Policy
    is_split: bool = False


STRATEGIES: dict[str, Strategy] = {
    "first-come": Strategy(FirstCome()),
    "lanes": Strategy(Lanes()),
    "fair": Strategy(FairQueue()),
    "smallest": Strategy(SmallestFirst()),
    "split-fair": Strategy(FairQueue(), is_split=True),
}

DEFAULT_STRATEGY = "split-fair"

SHARED_CUSTOMER = CustomerId("")


class Group(NamedTuple):
    """Work that is started in the order of its keys.

    ``is_free`` is false for work that holds memory elsewhere: it goes first, to set
    that free. Size classes are apart, so that a large head that cannot start yet
    does not stop the smaller ones behind it.
    """

    is_free: bool
    customer: CustomerId
    size_class: int


class Waiting(msgspec.Struct):
    """Work in an owner's queue; ``arrived`` and ``blocked_since`` in its clock."""

    work: Work
    arrived: float
    blocked_since: float | None = None

    def is_expired(self, now: float) -> bool:
        """Whether the work can no longer start in time."""
        return now - self.arrived >= self.work.timeout_s


Key = tuple[float, ...]


def compute_size_class(prefill_tokens: int) -> int:
    """Return the class of a prefill; the lowest has the shortest ones."""
    return bisect.bisect_right(CLASS_BORDERS, prefill_tokens)


def compute_key(policy: Policy, work: Work, arrived: float) -> Key:
    """Return the sort key of work under ``policy``; the lowest starts first."""
    match policy:
        case FirstCome():
            return (arrived,)
        case Lanes(borders):
            lane = sum(work.prefill_tokens >= border for border in borders)
            return (lane, _age_priority(work, arrived))
        case FairQueue() | SmallestFirst():
            return (_age_size(work, arrived),)


def _age_size(work: Work, arrived: float) -> float:
    # size * 0.5 ** (waited / AGEING) orders like its logarithm, in which the
    # present time is the same for all and drops out.
    size = math.log2(1 + work.prefill_tokens + work.output_tokens)
    return size + arrived / AGEING - work.priority * math.log2(PRIORITY_FACTOR)


def _age_priority(work: Work, arrived: float) -> float:
    return arrived - work.priority * PRIORITY_AGEING


class WorkQueue:
    """Waiting work of one replica under one policy."""

    def __init__(self, policy: Policy, shares: ShareLedger) -> None:
        self._policy = policy
        self._shares = shares
        self._groups: dict[Group, list[tuple[Key, AttemptId]]] = {}
        self._waiting: dict[AttemptId, Waiting] = {}
        self._group_tokens: dict[Group, int] = {}
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, attempt: object) -> bool:
        return attempt in self._waiting

    def push(self, work: Work, now: float) -> None:
        """Queue ``work``; queueing the same attempt twice changes nothing."""
        if work.attempt in self._waiting:
            return
        group = self._find_group(work)
        self._waiting[work.attempt] = Waiting(work, now)
        key = compute_key(self._policy, work, now)
        heapq.heappush(self._groups.setdefault(group, []), (key, work.attempt))
        self._count(group, work.prefill_tokens)

    def remove(self, attempt: AttemptId) -> Waiting | None:
        """Take the attempt out, wherever it stands."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return None
        group = self._find_group(waiting.work)
        self._count(group, -waiting.work.prefill_tokens)
        self._drop_removed(group)
        return waiting

    def list_waiting(self) -> list[Waiting]:
        """All waiting work, in no order."""
        return list(self._waiting.values())

    def list_heads(self, now: float) -> list[Waiting]:
        """The first of each group, the group to be served next first."""
        if len(self._groups) > 1:
            groups = sorted(
                self._groups,
                key=lambda group: self._rank_group(group, now),
            )
        else:
            groups = list(self._groups)
        return [self._waiting[self._groups[group][0][1]] for group in groups]

    def _rank_group(self, group: Group, now: float) -> tuple[bool, float, Key]:
        use = self._shares.compute_normalized(group.customer, now)
        return (group.is_free, use, self._groups[group][0][0])

    def count_tokens_by_class(self) -> tuple[int, ...]:
        """Waiting prefill tokens of each size class."""
        counts = [0] * SIZE_CLASSES
        for group, tokens in self._group_tokens.items():
            counts[group.size_class] += tokens
        return tuple(counts)

    def estimate_tokens_ahead(self, work: Work) -> int:
        """Prefill tokens likely to start before ``work`` if it were queued now."""
        own_group = self._find_group(work)
        own = 0
        customers = {own_group.customer}
        for group, tokens in self._group_tokens.items():
            if group.size_class > own_group.size_class:
                continue
            customers.add(group.customer)
            if group.customer == own_group.customer:
                own += tokens
        return min(self.tokens, own * len(customers))

    def _find_group(self, work: Work) -> Group:
        is_free = not work.is_reserved_elsewhere
        size_class = compute_size_class(work.prefill_tokens)
        match self._policy:
            case FirstCome():
                return Group(True, SHARED_CUSTOMER, 0)
            case FairQueue():
                return Group(is_free, work.customer, size_class)
            case _:
                return Group(is_free, SHARED_CUSTOMER, size_class)

    def _count(self, group: Group, tokens: int) -> None:
        self.tokens += tokens
        self._group_tokens[group] = self._group_tokens.get(group, 0) + tokens

    def _drop_removed(self, group: Group) -> None:
        heap = self._groups[group]
        while heap and heap[0][1] not in self._waiting:
            heapq.heappop(heap)
        if not heap:
            del self._groups[group]
            del self._group_tokens[group]
