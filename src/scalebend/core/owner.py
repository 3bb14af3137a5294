"""Admission to one replica: its queue, memory reservations and cancellations.

One instance owns a replica at a time. Entries send reservations, which the owner grants
or refuses; entries renew granted reservations and release them. The owner resends
cancellations until the engine confirms them.
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

GRANT_LIFETIME_S = 2.0
"""Time within which a granted attempt must be renewed, started or released, or be
reported by its engine."""

RESERVATION_LEASE_S = 8.0
"""Time a started attempt keeps its memory without a renewal by its entry: an entry may
pause for a few seconds and go on."""

UNCLAIMED_GRACE_S = 5.0
"""Time after which an attempt that an engine runs and no entry claims is cancelled."""

SMALL_WORK_TOKENS = 2 * SHORT_TOKENS
"""Attempts that need less memory than this may use the reserve."""

SMALL_WORK_RESERVE_SHARE = 1 / 16
"""Share of a replica's memory that is reserved for small attempts."""

LONG_PROMPT_RESERVE_SHARE = 1 / 4
"""Share of a replica's memory that long prompts may not use."""

PREFILL_WINDOW_S = 0.2
"""Unfinished prefill work, in engine time, from which on no more is granted."""

OVERDUE_FACTOR = 1.5
"""Multiple of its duration on an idle engine after which a prefill is overdue."""

PACE_FACTOR = 1.5
"""Multiple of its own prefill time for which a size class pauses after a grant that
overlaps an overdue larger prefill."""

OVER_SHARE_FACTOR = 1.2
"""Multiple of the mean usage of the waiting customers above which a customer is over
its share."""

MAX_HEAD_BLOCKED_S = 5.0
"""Time that a head of the queue may lack memory before larger attempts wait for it."""

REBUILD_TIME_S = 1.5
"""Time a new owner collects renewals before its first grant."""


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


class _Reservation(msgspec.Struct):
    work: Work
    cost: float
    lease_until: float
    granted: float
    is_prefilling: bool = True


class ReplicaOwner:
    """Queue, memory ledger and granted reservations of one replica."""

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
        self.is_draining = False
        self.ledger = MemoryLedger(view.memory_tokens)
        self.queue = WorkQueue(policy, shares)
        self._shares = shares
        self._incarnation = incarnation
        self._grants_from = grants_from
        self._reservations: dict[AttemptId, _Reservation] = {}
        self._unclaimed: dict[AttemptId, float] = {}
        self._paced_until = [0.0] * SIZE_CLASSES
        self._is_first_come = isinstance(policy, FirstCome)
        self._prefill_tokens = [0] * SIZE_CLASSES

    def handle(self, message: OwnerMessage, now: float) -> list[OwnerAction]:
        """Handle one message of an entry."""
        match message:
            case Reserve(work):
                return self._reserve(work, now)
            case Started(attempt):
                return self._mark_started(attempt, now)
            case Release():
                return self._release(message, now)
            case Renew(_, works):
                return self._renew(works, now)

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> list[OwnerAction]:
        """Apply an announcement of the replica; older incarnations are ignored."""
        actions: list[OwnerAction] = []
        if announcement.incarnation > self._incarnation:
            self._incarnation = announcement.incarnation
            self._clear_reservations()
        elif announcement.incarnation < self._incarnation:
            return []
        if announcement.state is UpstreamState.DRAINING and not self.is_draining:
            self.is_draining = True
            actions += self._refuse_all(RefusalReason.DRAINING)
        elif announcement.state is UpstreamState.SERVING:
            self.is_draining = False
        self._extend_used_grants(announcement.running)
        self._record_unclaimed(announcement.running, now)
        return actions + self.advance(now)

    def confirm_cancelled(self, attempt: AttemptId, now: float) -> list[OwnerAction]:
        """Free the attempt's memory: the engine confirmed its cancellation."""
        self._remove_reservation(attempt)
        self.ledger.free_attempt(attempt)
        return self._start_waiting(now)

    def advance(self, now: float) -> list[OwnerAction]:
        """Expire waits and leases, send due cancellations and grant waiting work."""
        actions = self._refuse_expired(now)
        self._expire_leases(now)
        self._cancel_unclaimed(now)
        for attempt in self.ledger.reschedule_due_cancellations(now):
            actions.append(CancelOnEngine(self.view.upstream, attempt))
        return actions + self._start_waiting(now)

    def apply_handover(self, works: list[Work], now: float) -> list[OwnerAction]:
        """Apply the previous owner's reservations; grants may begin at once."""
        self._renew(works, now)
        self._grants_from = now
        return self._start_waiting(now)

    def close(self) -> list[OwnerAction]:
        """Refuse all waiting work, so that entries route it to the new owner."""
        return self._refuse_all(RefusalReason.NOT_OWNER)

    def build_digest(self) -> LoadDigest:
        """Build the load digest for the other instances."""
        decoding = sum(
            not reservation.is_prefilling for reservation in self._reservations.values()
        )
        return LoadDigest(
            upstream=self.view.upstream,
            prefill_tokens=tuple(self._prefill_tokens),
            decoding=decoding,
            free_tokens=self.ledger.free,
            queued=len(self.queue),
            queued_tokens=self.queue.count_tokens_by_class(),
        )

    def list_reservations(self) -> list[Work]:
        """List granted work, for the hand-over to a new owner."""
        return [reservation.work for reservation in self._reservations.values()]

    def _reserve(self, work: Work, now: float) -> list[OwnerAction]:
        if work.attempt in self.queue:
            return []
        if work.attempt in self._reservations:
            # The entry did not receive the first grant.
            return [self._build_grant(work)]
        reason = self._find_refusal(work)
        if reason is not None:
            return [self._refuse(work, reason)]
        self.queue.push(work, now)
        return self._start_waiting(now)

    def _build_grant(self, work: Work) -> ToEntry:
        grant = Grant(work.attempt, self.view.upstream, GRANT_LIFETIME_S)
        return ToEntry(work.entry, grant)

    def _find_refusal(self, work: Work) -> RefusalReason | None:
        if self.ledger.is_tracked(work.attempt):
            # Its cancellation is unconfirmed: the engine would refuse to start it.
            return RefusalReason.NOT_OWNER
        if self.is_draining:
            return RefusalReason.DRAINING
        if work.memory_tokens > self.ledger.capacity:
            return RefusalReason.TOO_LARGE
        if self._estimate_wait(work) > work.timeout_s:
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
        if self.is_draining or now < self._grants_from:
            return []
        actions: list[OwnerAction] = []
        while (waiting := self._find_next(now)) is not None:
            self.queue.remove(waiting.work.attempt)
            actions.append(self._grant(waiting.work, now))
        return actions

    def _find_next(self, now: float) -> QueuedWork | None:
        if not len(self.queue) or len(self._reservations) >= self.view.concurrency:
            return None
        is_memory_reserved = False
        # Size classes up to these are blocked, since they would delay an earlier head:
        # the first for all work, the second for customers over their share.
        blocked_class = -1
        blocked_class_over_share = -1
        heads = self.queue.list_heads(now)
        share = self._compute_mean_usage(heads, now) * OVER_SHARE_FACTOR
        for head in heads:
            if head.is_expired(now):
                continue
            if is_memory_reserved and not _may_use_reserve(head.work):
                continue
            size_class = compute_size_class(head.work.prefill_tokens)
            is_over_share = self._compute_usage(head, now) > share
            blocked = (
                max(blocked_class, blocked_class_over_share)
                if is_over_share
                else blocked_class
            )
            if size_class <= blocked and not head.work.is_reserved_elsewhere:
                continue
            if not self._fits_window(head.work, now):
                blocked_class_over_share = max(blocked_class_over_share, size_class)
                if self._has_waited_too_long(head, now):
                    blocked_class = max(blocked_class, size_class)
                continue
            if self._fits_memory(head.work):
                return head
            if head.blocked_since is None:
                head.blocked_since = now
            elif now - head.blocked_since >= MAX_HEAD_BLOCKED_S:
                is_memory_reserved = True
        return None

    def _compute_usage(self, head: QueuedWork, now: float) -> float:
        return self._shares.compute_normalized(head.work.customer, now)

    def _compute_mean_usage(self, heads: list[QueuedWork], now: float) -> float:
        usages = {head.work.customer: self._compute_usage(head, now) for head in heads}
        return sum(usages.values()) / len(usages)

    def _has_waited_too_long(self, head: QueuedWork, now: float) -> bool:
        own = head.work.prefill_tokens / self.view.prefill_rate
        return now - head.arrived >= PREFILL_WINDOW_S + own

    def _fits_memory(self, work: Work) -> bool:
        free = self.ledger.free
        if not _may_use_reserve(work) and self._reservations:
            is_long = work.memory_tokens >= LONG_TOKENS
            reserve_share = (
                LONG_PROMPT_RESERVE_SHARE if is_long else SMALL_WORK_RESERVE_SHARE
            )
            reserve = int(self.ledger.capacity * reserve_share)
            free -= min(reserve, self.ledger.capacity - work.memory_tokens)
        return work.memory_tokens <= free

    def _fits_window(self, work: Work, now: float) -> bool:
        if work.is_reserved_elsewhere:
            return True
        size_class = compute_size_class(work.prefill_tokens)
        if now < max(self._paced_until[: size_class + 1]):
            return False
        window = PREFILL_WINDOW_S * self.view.prefill_rate
        if self._is_first_come:
            return sum(self._prefill_tokens) < window
        # The engine runs smaller prompts first, so only prompts of this size class
        # and smaller ones count.
        return sum(self._prefill_tokens[: size_class + 1]) < window

    def _grant(self, work: Work, now: float) -> ToEntry:
        self.ledger.reserve(work.attempt, work.memory_tokens)
        cost = estimate_cost(work, self.view)
        self._shares.charge(work.customer, cost, now)
        self._pace(work, now)
        self._add_reservation(work, cost, now + GRANT_LIFETIME_S, now)
        return self._build_grant(work)

    def _pace(self, work: Work, now: float) -> None:
        """Pause the size class of ``work`` if a larger prefill is overdue."""
        size_class = compute_size_class(work.prefill_tokens)
        for reservation in self._reservations.values():
            if reservation.is_prefilling and self._is_overdue(
                reservation, size_class, now
            ):
                seconds = work.prefill_tokens / self.view.prefill_rate
                self._paced_until[size_class] = now + PACE_FACTOR * seconds
                return

    def _is_overdue(
        self, reservation: _Reservation, size_class: int, now: float
    ) -> bool:
        if compute_size_class(reservation.work.prefill_tokens) <= size_class:
            return False
        nominal = reservation.work.prefill_tokens / self.view.prefill_rate
        return now - reservation.granted > OVERDUE_FACTOR * nominal

    def _add_reservation(
        self, work: Work, cost: float, lease_until: float, now: float
    ) -> None:
        self._reservations[work.attempt] = _Reservation(work, cost, lease_until, now)
        self._count_prefill(work, work.prefill_tokens)

    def _remove_reservation(self, attempt: AttemptId) -> _Reservation | None:
        reservation = self._reservations.pop(attempt, None)
        if reservation is not None and reservation.is_prefilling:
            self._count_prefill(reservation.work, -reservation.work.prefill_tokens)
        return reservation

    def _count_prefill(self, work: Work, tokens: int) -> None:
        self._prefill_tokens[compute_size_class(work.prefill_tokens)] += tokens

    def _mark_started(self, attempt: AttemptId, now: float) -> list[OwnerAction]:
        reservation = self._reservations.get(attempt)
        if reservation is None or not reservation.is_prefilling:
            return []
        reservation.is_prefilling = False
        reservation.lease_until = now + RESERVATION_LEASE_S
        self._count_prefill(reservation.work, -reservation.work.prefill_tokens)
        return self._start_waiting(now)

    def _release(self, release: Release, now: float) -> list[OwnerAction]:
        attempt = release.attempt
        self.queue.remove(attempt)
        reservation = self._remove_reservation(attempt)
        if reservation is not None:
            self._correct_charge(reservation, release, now)
        match release.outcome:
            case Outcome.UNUSED | Outcome.FINISHED:
                if self.ledger.has_reservation(attempt):
                    self.ledger.free_attempt(attempt)
            case Outcome.ABANDONED:
                # Cancelled even if the ledger has no entry: the attempt may have
                # reached the engine before this instance became the owner.
                self._cancel(attempt, now)
        return self.advance(now)

    def _correct_charge(
        self, reservation: _Reservation, release: Release, now: float
    ) -> None:
        if release.outcome is Outcome.UNUSED:
            self._shares.charge(reservation.work.customer, -reservation.cost, now)
            return
        unused = max(0, reservation.work.output_tokens - release.output_tokens)
        refund = unused * compute_token_cost(self.view)
        self._shares.charge(reservation.work.customer, -refund, now)

    def _renew(self, works: list[Work], now: float) -> list[OwnerAction]:
        for work in works:
            self._unclaimed.pop(work.attempt, None)
            reservation = self._reservations.get(work.attempt)
            if reservation is not None:
                reservation.lease_until = now + RESERVATION_LEASE_S
            elif not self.ledger.is_tracked(work.attempt):
                # Granted by an earlier owner: its memory is in use, also above capacity
                self.queue.remove(work.attempt)
                self.ledger.reserve(work.attempt, work.memory_tokens)
                self._add_reservation(work, 0.0, now + RESERVATION_LEASE_S, now)
        return []

    def _extend_used_grants(self, running: list[str]) -> None:
        """Give the full lease to grants that, as the engine shows, were used.

        It counts from the grant, so that an entry that crashed is noticed as soon.
        """
        for name in running:
            reservation = self._reservations.get(AttemptId(name))
            if reservation is not None:
                used_until = reservation.granted + RESERVATION_LEASE_S
                reservation.lease_until = max(reservation.lease_until, used_until)

    def _expire_leases(self, now: float) -> None:
        expired = [
            attempt
            for attempt, reservation in self._reservations.items()
            if reservation.lease_until <= now
        ]
        for attempt in expired:
            self._remove_reservation(attempt)
            self._cancel(attempt, now)

    def _cancel(self, attempt: AttemptId, now: float) -> None:
        if self.view.memory_tokens:
            self.ledger.cancel(attempt, now)
        else:
            # A service without KV cache needs no cancellation.
            self.ledger.free_attempt(attempt)

    def _record_unclaimed(self, running: list[str], now: float) -> None:
        reported = {AttemptId(name) for name in running}
        unknown = {name for name in reported if not self.ledger.is_tracked(name)}
        self._unclaimed = {
            name: self._unclaimed.get(name, now) for name in sorted(unknown)
        }

    def _cancel_unclaimed(self, now: float) -> None:
        for attempt, since in list(self._unclaimed.items()):
            if now - since >= UNCLAIMED_GRACE_S:
                del self._unclaimed[attempt]
                self._cancel(attempt, now)

    def _clear_reservations(self) -> None:
        self.ledger.clear()
        self._reservations.clear()
        self._unclaimed.clear()
        self._prefill_tokens = [0] * SIZE_CLASSES


def _may_use_reserve(work: Work) -> bool:
    return work.memory_tokens < SMALL_WORK_TOKENS


def compute_token_cost(view: ReplicaView) -> float:
    """Compute the engine-seconds of one generated token in a batch of typical size."""
    typical_batch = max(1.0, view.concurrency / 4)
    return view.step_time / typical_batch


def estimate_cost(work: Work, view: ReplicaView) -> float:
    """Estimate the engine-seconds that ``work`` will use."""
    prefill = work.prefill_tokens / view.prefill_rate
    return prefill + work.output_tokens * compute_token_cost(view)
