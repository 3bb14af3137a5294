"""Order of the requests that wait for room at the engines of one service.

Answers seconds in which callers ask for more room than there is: without an order, room
goes to whoever asks right after it becomes free. See docs/design/placement-queue.md.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count

import msgspec

from scalebend.core.gateway.customer_use import CustomerUse
from scalebend.core.gateway.placement_aging import age_work
from scalebend.core.gateway.placement_plan import TARGET_SHARE, compute_memory
from scalebend.models.ids import CustomerId
from scalebend.models.placement import EngineWork, JobId, Placement

MAX_WAITING = 2_000
"""Requests that may wait: fronts ask again for each of them twice a second."""

MAX_BYTES = 4 * 1024 * 1024
"""Bytes that their descriptions may take at the leader."""

WORK_BYTES = 1_024
EXCLUDED_BYTES = 64
"""Estimated bytes of one description, and of each excluded replica in it."""

WAIT_SHARE = 0.4
"""Share of a caller's time for which its request may wait. The rest is for the
response, or for one return after a refusal."""

LATE_SHARE = 0.5
"""Share of the rest of its wait for which a request that is late lets others be on
time. Memory may have to add up for it in what is left."""

LATE_TARGET_SHARE = 0.4
"""Share of its remaining time by which a request that came back is placed at least,
once its own target is shorter: it is served late rather than never."""

PRIORITY_STEP_S = 4.0
"""Seconds of slack that one priority level is worth: more than quick and long targets
differ by, and less than callers wait, so that no level starves."""

MAX_SKIPPED = 64
"""Requests of customers over their share that are passed over in one choice; then the
customer with the least use is next."""

RANK_INTERVAL_S = 0.25
"""Accuracy of ranks in sums of memory, so that a sum has few terms."""

MIN_COMPACTED = 256
"""Heap entries up to which outdated ones are kept."""


def compute_wait_limit(work: EngineWork) -> float:
    """Compute for how many more seconds the request may wait.

    It is the same at each leader, whenever the request is announced.
    """
    total = work.waited + work.remaining
    return max(0.0, WAIT_SHARE * total - work.waited)


def compute_rank(work: EngineWork, now: float) -> float:
    """Compute the rank of a waiting request; the lowest is next.

    The rank is a clock time: the latest start that is on time, or else half of what is
    left of the wait, and later for each priority level.
    """
    slack = (1.0 - TARGET_SHARE) * work.target
    if slack <= 0.0:
        slack = LATE_SHARE * compute_wait_limit(work)
    return now + slack + PRIORITY_STEP_S * work.priority


class Position(msgspec.Struct, frozen=True):
    """Place in the order of a request that was refused before; clock times in seconds.

    It is the same as if the request had waited since its first arrival.
    """

    rank: float
    on_time_until: float
    """When its target has passed."""

    late_rank: float
    """Its rank from then on."""

    target: float
    """Target by which it is placed at least: with what is left of it, a prompt with a
    long prefill would be declined for being late, though there is room."""

    is_served_late: bool
    """Whether the choice of replicas accepts it without any target left, with as few
    replicas as can end it."""

    def compute_rank(self, now: float) -> float:
        """Compute its rank, that of a request that waited on."""
        return self.rank if now <= self.on_time_until else self.late_rank


class Waiting(msgspec.Struct, eq=False):
    """One request that waits; clock times in seconds."""

    work: EngineWork
    """The request as it was at ``announced_at``."""

    announced_at: float
    rank: float
    number: int
    """Identifies the entry in heaps; a new one outdates the former."""

    size: int
    limit: float
    """When the wait ends."""

    plan: Placement | None = None
    """Reserved replicas, from ``planned_at`` on."""

    planned_at: float = 0.0
    is_late: bool = False
    """Whether the rank is that of a request that cannot be on time any more."""

    is_kept: bool = False
    """Whether replicas are kept free for it, so that it keeps its rank."""

    position: Position | None = None
    """Its place in the order, if it was refused before."""

    @property
    def on_time_until(self) -> float:
        """When it cannot be on time any more."""
        if self.position is not None:
            return self.position.on_time_until
        return self.announced_at + self.work.target

    def build_work(self, now: float) -> EngineWork:
        """Return the request at ``now``, with less time left."""
        work = age_work(self.work, now - self.announced_at)
        if self.position is None:
            return work
        target = max(self.position.target, LATE_TARGET_SHARE * work.remaining)
        if now > self.position.on_time_until and self.position.is_served_late:
            target = 0.0
        return msgspec.structs.replace(work, target=target)

    def compute_late_rank(self, now: float) -> float:
        """Compute the rank with which it waits on once it cannot be on time."""
        if self.position is not None:
            return self.position.late_rank
        return compute_rank(self.build_work(now), now)


class _Heap:
    """Entries by a key; outdated ones are dropped when they are found."""

    def __init__(self, is_valid: Callable[[int, JobId], bool]) -> None:
        self._is_valid = is_valid
        self._heap: list[tuple[float, int, JobId]] = []
        self.live = 0

    def push(self, key: float, number: int, job: JobId) -> None:
        heapq.heappush(self._heap, (key, number, job))
        self.live += 1
        if len(self._heap) > max(MIN_COMPACTED, 2 * self.live):
            self._heap = [one for one in self._heap if self._is_valid(one[1], one[2])]
            heapq.heapify(self._heap)

    def find_first(self) -> JobId | None:
        """Return the valid entry with the lowest key."""
        while self._heap and not self._is_valid(*self._heap[0][1:]):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def iterate(self) -> Iterator[JobId]:
        """Yield valid entries in order; they stay."""
        passed = []
        try:
            while self.find_first() is not None:
                passed.append(heapq.heappop(self._heap))
                yield passed[-1][2]
        finally:
            for one in passed:
                heapq.heappush(self._heap, one)


class _Lane(msgspec.Struct):
    """Waiting requests of one customer."""

    heap: _Heap
    number: int
    """Tells it from earlier lanes of the customer."""


class _Level:
    """Waiting requests of one priority, altogether and by customer."""

    def __init__(self, is_valid: Callable[[int, JobId], bool]) -> None:
        self._is_valid = is_valid
        self.by_rank = _Heap(is_valid)
        self._lanes: dict[CustomerId | None, _Lane] = {}
        self._by_use: list[tuple[float, int, CustomerId | None]] = []
        self._revision = 0
        self._numbers = count()

    @property
    def is_empty(self) -> bool:
        return self.by_rank.live == 0

    def push(
        self,
        rank: float,
        number: int,
        job: JobId,
        customer: CustomerId | None,
        use: CustomerUse,
    ) -> None:
        self.by_rank.push(rank, number, job)
        lane = self._lanes.get(customer)
        if lane is None:
            lane = _Lane(_Heap(self._is_valid), next(self._numbers))
            self._lanes[customer] = lane
            entry = (use.get_grown(customer), lane.number, customer)
            heapq.heappush(self._by_use, entry)
        lane.heap.push(rank, number, job)

    def remove(self, customer: CustomerId | None) -> None:
        """Count one entry less."""
        self.by_rank.live -= 1
        lane = self._lanes[customer]
        lane.heap.live -= 1
        if lane.heap.live == 0:
            del self._lanes[customer]

    def find_least_served(self, use: CustomerUse) -> CustomerId | None:
        """Return the waiting customer that received least; the level is not empty."""
        if self._revision != use.revision or len(self._by_use) > max(
            MIN_COMPACTED, 2 * len(self._lanes)
        ):
            self._revision = use.revision
            self._by_use = [
                (use.get_grown(customer), lane.number, customer)
                for customer, lane in self._lanes.items()
            ]
            heapq.heapify(self._by_use)
        while True:
            recorded, number, customer = self._by_use[0]
            lane = self._lanes.get(customer)
            if lane is None or lane.number != number:
                heapq.heappop(self._by_use)
                continue
            actual = use.get_grown(customer)
            if actual == recorded:
                return customer
            heapq.heapreplace(self._by_use, (actual, number, customer))

    def find_first_of(self, customer: CustomerId | None) -> JobId:
        job = self._lanes[customer].heap.find_first()
        assert job is not None
        return job


class PlacementQueue:
    """Requests that wait for one service, in the order in which room goes to them."""

    def __init__(self, use: CustomerUse) -> None:
        self._use = use
        self._entries: dict[JobId, Waiting] = {}
        self._levels: dict[int, _Level] = {}
        self._by_tokens = _Heap(self._is_valid)
        self._by_limit = _Heap(self._is_valid)
        self._numbers = count()
        self._customers: Counter[CustomerId | None] = Counter()
        """Waiting requests of each customer."""

        self._memory: Counter[int] = Counter()
        """Memory that waiting requests need, in tokens by intervals of rank."""

        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, job: JobId) -> bool:
        return job in self._entries

    @property
    def bytes(self) -> int:
        """Estimated size of all that waits."""
        return self._bytes

    def get(self, job: JobId) -> Waiting | None:
        """Return a waiting request."""
        return self._entries.get(job)

    def list_jobs(self) -> list[JobId]:
        """List all that wait, in no particular order."""
        return list(self._entries)

    def add(
        self,
        work: EngineWork,
        now: float,
        max_wait: float = math.inf,
        position: Position | None = None,
    ) -> Waiting | None:
        """Let a request wait for up to ``max_wait`` seconds.

        With a ``position``, there is no other limit. Return ``None`` if there is no
        room in the queue.
        """
        size = WORK_BYTES + EXCLUDED_BYTES * len(work.excluded)
        # As many as there are free places: one customer never fills the queue.
        allowed = MAX_WAITING - len(self._entries)
        is_full = self._customers[work.customer] >= allowed
        if is_full or self._bytes + size > MAX_BYTES:
            return None
        if position is None:
            rank, is_late = compute_rank(work, now), work.target <= 0.0
            max_wait = min(compute_wait_limit(work), max_wait)
        else:
            rank, is_late = position.compute_rank(now), now > position.on_time_until
        entry = Waiting(
            work, now, rank, 0, size, now + max_wait, is_late=is_late, position=position
        )
        self._bytes += size
        self._push(entry)
        return entry

    def renew(self, work: EngineWork, now: float) -> None:
        """Store the present state of a request that waits; it keeps its rank."""
        entry = self._entries[work.job]
        kept = entry.work
        if (work.priority, work.customer) != (kept.priority, kept.customer):
            # The entry is indexed by both.
            work = msgspec.structs.replace(
                work, priority=kept.priority, customer=kept.customer
            )
        size = WORK_BYTES + EXCLUDED_BYTES * len(work.excluded)
        self._bytes += size - entry.size
        entry.size = size
        entry.work = work
        entry.announced_at = now

    def remove(self, job: JobId) -> Waiting | None:
        """Remove a request that waits no longer; ``None`` if it did not."""
        entry = self._entries.pop(job, None)
        if entry is not None:
            self._bytes -= entry.size
            self._count_memory(entry, -1)
            self._customers[entry.work.customer] -= 1
            if not self._customers[entry.work.customer]:
                del self._customers[entry.work.customer]
            self._levels[entry.work.priority].remove(entry.work.customer)
            self._by_tokens.live -= 1
            self._by_limit.live -= 1
        return entry

    def put_back(self, entry: Waiting) -> None:
        """Let a request wait on that was removed, with its rank."""
        self._bytes += entry.size
        self._push(entry)

    def find_first(self, now: float) -> Waiting | None:
        """Return the request that is next."""
        firsts = [
            self._find_first_of_level(level, now)
            for level in self._levels.values()
            if not level.is_empty
        ]
        best = min(firsts, key=lambda one: (not one[0], one[1].rank), default=None)
        return best[1] if best is not None else None

    def find_smallest(self) -> Waiting | None:
        """Return the request with the shortest prompt: the likeliest to find room."""
        job = self._by_tokens.find_first()
        return self._entries[job] if job is not None else None

    def sum_memory_before(self, rank: float) -> int:
        """Sum the tokens that requests of lower rank need, to an interval."""
        last = int(rank / RANK_INTERVAL_S)
        return sum(
            tokens for interval, tokens in self._memory.items() if interval <= last
        )

    def find_expired(self, now: float) -> Waiting | None:
        """Return a request whose wait has ended."""
        job = self._by_limit.find_first()
        if job is None or self._entries[job].limit > now:
            return None
        return self._entries[job]

    def _find_first_of_level(self, level: _Level, now: float) -> tuple[bool, Waiting]:
        """Return the next one of a priority, and whether its customer is starved."""
        self._mark_late(level, now)
        use = self._use
        customer = level.find_least_served(use)
        if use.is_starved(customer, now):
            return True, self._entries[level.find_first_of(customer)]
        least = use.get_grown(customer)
        for skipped, job in enumerate(level.by_rank.iterate()):
            entry = self._entries[job]
            if not use.is_ahead(entry.work.customer, least, now):
                return False, entry
            if skipped >= MAX_SKIPPED:
                break
        return False, self._entries[level.find_first_of(customer)]

    def _mark_late(self, level: _Level, now: float) -> None:
        """Rank requests that cannot be on time any more by the rest of their wait."""
        while True:
            job = level.by_rank.find_first()
            assert job is not None
            entry = self._entries[job]
            if entry.is_late or entry.is_kept or entry.on_time_until > now:
                return
            self.remove(job)
            entry.is_late = True
            entry.rank = entry.compute_late_rank(now)
            self.put_back(entry)

    def _push(self, entry: Waiting) -> None:
        work = entry.work
        entry.number = next(self._numbers)
        self._entries[work.job] = entry
        self._customers[work.customer] += 1
        self._count_memory(entry, 1)
        level = self._levels.get(work.priority)
        if level is None:
            level = self._levels[work.priority] = _Level(self._is_valid)
        level.push(entry.rank, entry.number, work.job, work.customer, self._use)
        self._by_tokens.push(work.prompt_tokens, entry.number, work.job)
        self._by_limit.push(entry.limit, entry.number, work.job)

    def _count_memory(self, entry: Waiting, sign: int) -> None:
        interval = int(entry.rank / RANK_INTERVAL_S)
        self._memory[interval] += sign * compute_memory(entry.work)
        if not self._memory[interval]:
            del self._memory[interval]

    def _is_valid(self, number: int, job: JobId) -> bool:
        entry = self._entries.get(job)
        return entry is not None and entry.number == number
