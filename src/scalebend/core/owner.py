"""The owner of one replica decides what starts there, and when.

One instance owns a replica at a time. It keeps the exact memory ledger, the queue
and the cancellations that the engine still has to confirm. Entries reserve, are
granted or refused, renew what they hold and release it.
"""

from __future__ import annotations

import msgspec

from scalebend.core.ledger import MemoryLedger
from scalebend.core.queueing import (
    LONG_TOKENS,
    SHORT_TOKENS,
    SIZE_CLASSES,
    FirstCome,
    Policy,
    QueuedWork,
    WorkQueue,
    compute_size_class,
)
from scalebend.core.shares import ShareLedger
from scalebend.models.ids import AttemptId, Incarnation, InstanceId, UpstreamId
from scalebend.models.upstream import Announcement, UpstreamState
from scalebend.models.work import (
    Grant,
    LoadDigest,
    Outcome,
    Refusal,
    RefusalReason,
    Release,
    Renew,
    ReplicaView,
    Reserve,
    Started,
    Work,
)

GRANT_VALID = 2.0
"""Seconds in which a granted attempt must be renewed, started or released."""

HOLD_LEASE = 8.0
"""Seconds a started attempt keeps its memory without a renewal by its entry."""

UNKNOWN_GRACE = 5.0
"""Seconds an engine may run an attempt that no entry claims before it is cancelled."""

RESERVE_MEMORY = 2 * SHORT_TOKENS
"""Tokens of memory under which an attempt may use the reserve."""

SMALL_RESERVE = 1 / 16
"""Share of a replica's memory that only small attempts may take."""

LONG_RESERVE = 1 / 4
"""Share of a replica's memory that long prompts leave to others."""

PREFILL_WINDOW = 0.2
"""Seconds of prefill work that may be granted ahead of the engine's progress."""

OVERDUE_FACTOR = 1.5
"""A prefill is overdue after this many times its duration on an idle engine."""

PACE_FACTOR = 1.5
"""Times its own prefill after which a class goes on beside an overdue larger one."""

OVER_SHARE_FACTOR = 1.2
"""Use over the mean of the waiting customers from which one is over its share."""

BLOCKED_PATIENCE = 5.0
"""Seconds a large head may be passed over before others must wait for it."""

REBUILD_TIME = 1.5
"""Seconds a new owner listens for renewals before its first grant."""


class ToEntry(msgspec.Struct, frozen=True):
    """Action: send a grant or refusal to an entry."""

    entry: InstanceId
    message: Grant | Refusal


class CancelOnEngine(msgspec.Struct, frozen=True):
    """Action: ask the engine to stop an attempt and to confirm it."""

    upstream: UpstreamId
    attempt: AttemptId


OwnerAction = ToEntry | CancelOnEngine
OwnerMessage = Reserve | Started | Release | Renew


class _Hold(msgspec.Struct):
    work: Work
    cost: float
    lease_until: float
    granted: float
    is_prefilling: bool = True


class ReplicaOwner:
    """Queue, memory and holds of one replica."""

    def __init__(
        self,
        view: ReplicaView,
        policy: Policy,
        shares: ShareLedger,
        *,
        incarnation: Incarnation,
        grants_from: float = 0.0,
    ) -> None:
        self.view = view
        self.is_leaving = False
        self.ledger = MemoryLedger(view.memory_tokens)
        self.queue = WorkQueue(policy, shares)
        self._shares = shares
        self._incarnation = incarnation
        self._grants_from = grants_from
        self._holds: dict[AttemptId, _Hold] = {}
        self._unclaimed: dict[AttemptId, float] = {}
        self._paced_until = [0.0] * SIZE_CLASSES
        self._is_first_come = isinstance(policy, FirstCome)
        self._prefill_tokens = [0] * SIZE_CLASSES

    def handle(self, message: OwnerMessage, now: float) -> list[OwnerAction]:
        """Take one message of an entry."""
        match message:
            case Reserve(work):
                return self._reserve(work, now)
            case Started(attempt):
                return self._mark_started(attempt, now)
            case Release():
                return self._release(message, now)
            case Renew(_, works):
                return self._renew(works, now)

    def take_announcement(
        self, announcement: Announcement, now: float
    ) -> list[OwnerAction]:
        """Take what the replica says of itself."""
        actions: list[OwnerAction] = []
        if announcement.incarnation > self._incarnation:
            self._incarnation = announcement.incarnation
            self._forget_holds()
        elif announcement.incarnation < self._incarnation:
            return []
        if announcement.state is UpstreamState.LEAVING and not self.is_leaving:
            self.is_leaving = True
            actions += self._refuse_all(RefusalReason.LEAVING)
        elif announcement.state is UpstreamState.SERVING:
            self.is_leaving = False
        self._note_unclaimed(announcement.running, now)
        return actions + self.advance(now)

    def confirm_cancelled(self, attempt: AttemptId, now: float) -> list[OwnerAction]:
        """The engine confirmed that it holds nothing for the attempt."""
        self._drop_hold(attempt)
        self.ledger.free_attempt(attempt)
        return self._start_waiting(now)

    def advance(self, now: float) -> list[OwnerAction]:
        """Act on time: expired waits and leases, owed cancellations, starts."""
        actions = self._refuse_expired(now)
        self._expire_leases(now)
        self._cancel_unclaimed(now)
        for attempt in self.ledger.take_due_cancellations(now):
            actions.append(CancelOnEngine(self.view.upstream, attempt))
        return actions + self._start_waiting(now)

    def take_handover(self, works: list[Work], now: float) -> list[OwnerAction]:
        """Take the holds of the old owner; grants may begin at once."""
        self._renew(works, now)
        self._grants_from = now
        return self._start_waiting(now)

    def close(self) -> list[OwnerAction]:
        """Ownership moves elsewhere: refuse what waits, so that it is routed anew."""
        return self._refuse_all(RefusalReason.NOT_OWNER)

    def read_digest(self) -> LoadDigest:
        """Load for the other instances."""
        decoding = sum(not hold.is_prefilling for hold in self._holds.values())
        return LoadDigest(
            upstream=self.view.upstream,
            prefill_tokens=tuple(self._prefill_tokens),
            decoding=decoding,
            free_tokens=self.ledger.free,
            queued=len(self.queue),
            queued_tokens=self.queue.count_tokens_by_class(),
        )

    def list_holds(self) -> list[Work]:
        """Work that holds memory, for a hand-over."""
        return [hold.work for hold in self._holds.values()]

    def _reserve(self, work: Work, now: float) -> list[OwnerAction]:
        if work.attempt in self.queue:
            return []
        if work.attempt in self._holds:
            # The first grant was lost on its way.
            return [self._build_grant(work)]
        reason = self._find_refusal(work)
        if reason is not None:
            return [self._refuse(work, reason)]
        self.queue.push(work, now)
        return self._start_waiting(now)

    def _build_grant(self, work: Work) -> ToEntry:
        grant = Grant(work.attempt, self.view.upstream, GRANT_VALID)
        return ToEntry(work.entry, grant)

    def _find_refusal(self, work: Work) -> RefusalReason | None:
        if self.ledger.knows(work.attempt):
            # Its cancellation is owed: the engine would refuse to start it.
            return RefusalReason.NOT_OWNER
        if self.is_leaving:
            return RefusalReason.LEAVING
        if work.memory_tokens > self.ledger.capacity:
            return RefusalReason.TOO_LARGE
        if self._estimate_wait(work) > work.patience:
            return RefusalReason.TOO_LATE
        return None

    def _estimate_wait(self, work: Work) -> float:
        return self.queue.estimate_tokens_ahead(work) / self.view.prefill_rate

    def _refuse(self, work: Work, reason: RefusalReason) -> ToEntry:
        retry_after = self.queue.tokens / self.view.prefill_rate
        refusal = Refusal(work.attempt, self.view.upstream, reason, retry_after)
        return ToEntry(work.entry, refusal)

    def _refuse_all(self, reason: RefusalReason) -> list[OwnerAction]:
        refused = self.queue.list_queued()
        return [self._refuse_waiting(waiting, reason) for waiting in refused]

    def _refuse_expired(self, now: float) -> list[OwnerAction]:
        expired = [item for item in self.queue.list_queued() if item.is_expired(now)]
        return [self._refuse_waiting(item, RefusalReason.TOO_LATE) for item in expired]

    def _refuse_waiting(self, waiting: QueuedWork, reason: RefusalReason) -> ToEntry:
        self.queue.remove(waiting.work.attempt)
        return self._refuse(waiting.work, reason)

    def _start_waiting(self, now: float) -> list[OwnerAction]:
        if self.is_leaving or now < self._grants_from:
            return []
        actions: list[OwnerAction] = []
        while (waiting := self._find_next(now)) is not None:
            self.queue.remove(waiting.work.attempt)
            actions.append(self._grant(waiting.work, now))
        return actions

    def _find_next(self, now: float) -> QueuedWork | None:
        if not len(self.queue) or len(self._holds) >= self.view.concurrency:
            return None
        is_memory_kept = False
        # Classes up to these would delay a head that comes before them: any work,
        # and the work of customers that used more than their share.
        kept_class = -1
        kept_class_over = -1
        heads = self.queue.list_heads(now)
        share = self._compute_mean_use(heads, now) * OVER_SHARE_FACTOR
        for head in heads:
            if head.is_expired(now):
                continue
            if is_memory_kept and not _may_use_reserve(head.work):
                continue
            size_class = compute_size_class(head.work.prefill_tokens)
            is_over = self._read_use(head, now) > share
            kept = max(kept_class, kept_class_over) if is_over else kept_class
            if size_class <= kept and not head.work.held_elsewhere:
                continue
            if not self._fits_window(head.work, now):
                kept_class_over = max(kept_class_over, size_class)
                if self._was_overtaken_enough(head, now):
                    kept_class = max(kept_class, size_class)
                continue
            if self._fits_memory(head.work):
                return head
            if head.blocked_since is None:
                head.blocked_since = now
            elif now - head.blocked_since >= BLOCKED_PATIENCE:
                is_memory_kept = True
        return None

    def _read_use(self, head: QueuedWork, now: float) -> float:
        return self._shares.compute_normalized(head.work.customer, now)

    def _compute_mean_use(self, heads: list[QueuedWork], now: float) -> float:
        uses = {head.work.customer: self._read_use(head, now) for head in heads}
        return sum(uses.values()) / len(uses)

    def _was_overtaken_enough(self, head: QueuedWork, now: float) -> bool:
        own = head.work.prefill_tokens / self.view.prefill_rate
        return now - head.arrived >= PREFILL_WINDOW + own

    def _fits_memory(self, work: Work) -> bool:
        free = self.ledger.free
        if not _may_use_reserve(work) and self._holds:
            is_long = work.memory_tokens >= LONG_TOKENS
            part = LONG_RESERVE if is_long else SMALL_RESERVE
            reserve = int(self.ledger.capacity * part)
            free -= min(reserve, self.ledger.capacity - work.memory_tokens)
        return work.memory_tokens <= free

    def _fits_window(self, work: Work, now: float) -> bool:
        if work.held_elsewhere:
            return True
        size_class = compute_size_class(work.prefill_tokens)
        if now < max(self._paced_until[: size_class + 1]):
            return False
        window = PREFILL_WINDOW * self.view.prefill_rate
        if self._is_first_come:
            return sum(self._prefill_tokens) < window
        # The engine lets a smaller prompt overtake larger ones, so only what it
        # would run before this one counts.
        return sum(self._prefill_tokens[: size_class + 1]) < window

    def _grant(self, work: Work, now: float) -> ToEntry:
        self.ledger.hold(work.attempt, work.memory_tokens)
        cost = estimate_cost(work, self.view)
        self._shares.charge(work.customer, cost, now)
        self._pace(work, now)
        self._add_hold(work, cost, now + GRANT_VALID, now)
        return self._build_grant(work)

    def _pace(self, work: Work, now: float) -> None:
        """Leave engine time to a larger prompt that was overtaken for too long."""
        size_class = compute_size_class(work.prefill_tokens)
        for hold in self._holds.values():
            if hold.is_prefilling and self._is_overdue(hold, size_class, now):
                seconds = work.prefill_tokens / self.view.prefill_rate
                self._paced_until[size_class] = now + PACE_FACTOR * seconds
                return

    def _is_overdue(self, hold: _Hold, size_class: int, now: float) -> bool:
        if compute_size_class(hold.work.prefill_tokens) <= size_class:
            return False
        nominal = hold.work.prefill_tokens / self.view.prefill_rate
        return now - hold.granted > OVERDUE_FACTOR * nominal

    def _add_hold(
        self, work: Work, cost: float, lease_until: float, now: float
    ) -> None:
        self._holds[work.attempt] = _Hold(work, cost, lease_until, now)
        self._count_prefill(work, work.prefill_tokens)

    def _drop_hold(self, attempt: AttemptId) -> _Hold | None:
        hold = self._holds.pop(attempt, None)
        if hold is not None and hold.is_prefilling:
            self._count_prefill(hold.work, -hold.work.prefill_tokens)
        return hold

    def _count_prefill(self, work: Work, tokens: int) -> None:
        self._prefill_tokens[compute_size_class(work.prefill_tokens)] += tokens

    def _mark_started(self, attempt: AttemptId, now: float) -> list[OwnerAction]:
        hold = self._holds.get(attempt)
        if hold is None or not hold.is_prefilling:
            return []
        hold.is_prefilling = False
        hold.lease_until = now + HOLD_LEASE
        self._count_prefill(hold.work, -hold.work.prefill_tokens)
        return self._start_waiting(now)

    def _release(self, release: Release, now: float) -> list[OwnerAction]:
        attempt = release.attempt
        self.queue.remove(attempt)
        hold = self._drop_hold(attempt)
        if hold is not None:
            self._correct_charge(hold, release, now)
        match release.outcome:
            case Outcome.UNUSED | Outcome.FINISHED:
                if self.ledger.holds(attempt):
                    self.ledger.free_attempt(attempt)
            case Outcome.ABANDONED:
                # Owed even when the ledger does not know it: the attempt may have
                # reached the engine before this instance became the owner.
                self._owe(attempt, now)
        return self.advance(now)

    def _correct_charge(self, hold: _Hold, release: Release, now: float) -> None:
        if release.outcome is Outcome.UNUSED:
            self._shares.charge(hold.work.customer, -hold.cost, now)
            return
        unused = max(0, hold.work.output_tokens - release.output_tokens)
        refund = unused * compute_token_cost(self.view)
        self._shares.charge(hold.work.customer, -refund, now)

    def _renew(self, works: list[Work], now: float) -> list[OwnerAction]:
        for work in works:
            self._unclaimed.pop(work.attempt, None)
            hold = self._holds.get(work.attempt)
            if hold is not None:
                hold.lease_until = now + HOLD_LEASE
            elif not self.ledger.knows(work.attempt):
                # Granted by an earlier owner: it holds memory, whatever fits here.
                self.queue.remove(work.attempt)
                self.ledger.hold(work.attempt, work.memory_tokens)
                self._add_hold(work, 0.0, now + HOLD_LEASE, now)
        return []

    def _expire_leases(self, now: float) -> None:
        expired = [
            attempt for attempt, hold in self._holds.items() if hold.lease_until <= now
        ]
        for attempt in expired:
            self._drop_hold(attempt)
            self._owe(attempt, now)

    def _owe(self, attempt: AttemptId, now: float) -> None:
        if self.view.memory_tokens:
            self.ledger.owe(attempt, now)
        else:
            # A plain service holds no memory and has no cancellation.
            self.ledger.free_attempt(attempt)

    def _note_unclaimed(self, running: list[str], now: float) -> None:
        reported = {AttemptId(name) for name in running}
        unknown = {name for name in reported if not self.ledger.knows(name)}
        self._unclaimed = {
            name: self._unclaimed.get(name, now) for name in sorted(unknown)
        }

    def _cancel_unclaimed(self, now: float) -> None:
        for attempt, since in list(self._unclaimed.items()):
            if now - since >= UNKNOWN_GRACE:
                del self._unclaimed[attempt]
                self._owe(attempt, now)

    def _forget_holds(self) -> None:
        self.ledger.clear()
        self._holds.clear()
        self._unclaimed.clear()
        self._prefill_tokens = [0] * SIZE_CLASSES


def _may_use_reserve(work: Work) -> bool:
    return work.memory_tokens < RESERVE_MEMORY


def compute_token_cost(view: ReplicaView) -> float:
    """Engine-seconds of one generated token: a step is shared by a typical batch."""
    typical_batch = max(1.0, view.concurrency / 4)
    return view.step_time / typical_batch


def estimate_cost(work: Work, view: ReplicaView) -> float:
    """Engine-seconds that ``work`` will use."""
    prefill = work.prefill_tokens / view.prefill_rate
    return prefill + work.output_tokens * compute_token_cost(view)
