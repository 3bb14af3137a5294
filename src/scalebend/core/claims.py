"""Claims on idempotency keys: a replicated table, changed only through the log.

A request that is not to be repeated claims its key before its first byte is sent.
The claim is settled with the answer, or withdrawn when the request provably did not
run. Whoever comes later with the same key is told what is known.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId, IdempotencyKey, RequestId

CLAIM_LIFETIME = 24 * 3600.0
"""Seconds a claim is kept after its last change."""

MOST_STORED_BODY = 16 * 1024
"""Bytes of an answer kept with its claim; a larger one is not stored."""

MOST_CLAIMS = 200_000


class ClaimState(Enum):
    """What is known of the request that holds a claim."""

    OPEN = "open"
    SETTLED = "settled"
    WITHDRAWN = "withdrawn"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The first request's answer; ``body`` is ``None`` when it was too large."""

    status: int
    content_type: str
    body: bytes | None


class Claim(msgspec.Struct, frozen=True, tag=True):
    """Command: claim a key; ``fingerprint`` identifies the request's content."""

    customer: CustomerId
    key: IdempotencyKey
    fingerprint: str
    request: RequestId


class Settle(msgspec.Struct, frozen=True, tag=True):
    """Command: the request that holds the claim was answered."""

    customer: CustomerId
    key: IdempotencyKey
    request: RequestId
    answer: StoredAnswer


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Command: the request that holds the claim ran nowhere."""

    customer: CustomerId
    key: IdempotencyKey
    request: RequestId


class ClaimTaken(msgspec.Struct, frozen=True, tag=True):
    """Result: the claim is held by the request that asked."""


class ClaimKnown(msgspec.Struct, frozen=True, tag=True):
    """Result: another request holds the claim; its answer if it is settled."""

    state: ClaimState
    answer: StoredAnswer | None


class ClaimConflict(msgspec.Struct, frozen=True, tag=True):
    """Result: the key belongs to a request with other content."""


ClaimCommand = Claim | Settle | Withdraw
ClaimResult = ClaimTaken | ClaimKnown | ClaimConflict


class ClaimRecord(msgspec.Struct):
    """One claim as it stands in the table and in snapshots."""

    customer: CustomerId
    key: IdempotencyKey
    fingerprint: str
    request: RequestId
    state: ClaimState
    answer: StoredAnswer | None
    changed: float


class ClaimTable:
    """All claims; deterministic, since every control instance applies the same."""

    def __init__(self) -> None:
        self._records: dict[tuple[CustomerId, IdempotencyKey], ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, command: ClaimCommand, at: float) -> ClaimResult:
        """Apply one committed command; ``at`` is the time in its log entry."""
        self._drop_expired(at)
        place = (command.customer, command.key)
        record = self._records.get(place)
        match command:
            case Claim():
                return self._claim(command, record, at)
            case Settle():
                if record is not None and record.request == command.request:
                    record.state = ClaimState.SETTLED
                    record.answer = command.answer
                    self._touch(place, record, at)
            case Withdraw():
                self._withdraw(command, record, at)
        return ClaimTaken()

    def export(self) -> list[ClaimRecord]:
        """All records, for a snapshot."""
        return list(self._records.values())

    def restore(self, records: list[ClaimRecord]) -> None:
        """Replace the table with a snapshot's records."""
        self._records = {(r.customer, r.key): r for r in records}

    def _claim(
        self, command: Claim, record: ClaimRecord | None, at: float
    ) -> ClaimResult:
        if record is not None and record.request == command.request:
            if record.state is ClaimState.WITHDRAWN:
                return ClaimKnown(record.state, None)
            return ClaimTaken()
        if record is not None and record.state is not ClaimState.WITHDRAWN:
            if record.fingerprint != command.fingerprint:
                return ClaimConflict()
            return ClaimKnown(record.state, record.answer)
        self._put(command, command.fingerprint, ClaimState.OPEN, at)
        return ClaimTaken()

    def _withdraw(
        self, command: Withdraw, record: ClaimRecord | None, at: float
    ) -> None:
        # A record stays behind, so that the claim cannot take effect after it: the
        # two commands may be committed in either order.
        if record is None:
            self._put(command, "", ClaimState.WITHDRAWN, at)
        elif record.request == command.request and record.state is ClaimState.OPEN:
            self._put(command, record.fingerprint, ClaimState.WITHDRAWN, at)

    def _put(
        self, command: Claim | Withdraw, fingerprint: str, state: ClaimState, at: float
    ) -> None:
        place = (command.customer, command.key)
        self._records.pop(place, None)
        self._records[place] = ClaimRecord(
            command.customer, command.key, fingerprint, command.request, state, None, at
        )

    def _touch(
        self,
        place: tuple[CustomerId, IdempotencyKey],
        record: ClaimRecord,
        at: float,
    ) -> None:
        # Kept in order of the last change, so that expiry looks at the front only.
        record.changed = at
        del self._records[place]
        self._records[place] = record

    def _drop_expired(self, at: float) -> None:
        while self._records:
            place, oldest = next(iter(self._records.items()))
            is_expired = at - oldest.changed >= CLAIM_LIFETIME
            if not is_expired and len(self._records) <= MOST_CLAIMS:
                return
            del self._records[place]
