"""Claims on idempotency keys: a replicated table, changed only through the log.

A non-idempotent request claims its key before its first byte is sent. The claim is
settled with the response, or withdrawn if the request provably did not run. Later
requests with the same key get the state of the claim and the stored response.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId, IdempotencyKey, RequestId

CLAIM_LIFETIME_S = 24 * 3600.0
"""Time a claim is kept after its last change."""

MAX_STORED_BODY_BYTES = 16 * 1024
"""Size limit of a response body stored with its claim."""

MAX_CLAIMS = 200_000


class ClaimState(Enum):
    """State of the request that holds a claim."""

    OPEN = "open"
    SETTLED = "settled"
    WITHDRAWN = "withdrawn"


class StoredResponse(msgspec.Struct, frozen=True):
    """Response to the first request; ``body`` is ``None`` if it was too large."""

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
    """Command: store the response to the request that holds the claim."""

    customer: CustomerId
    key: IdempotencyKey
    request: RequestId
    response: StoredResponse = msgspec.field(name="answer")


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Command: give up the claim of a request that did not run."""

    customer: CustomerId
    key: IdempotencyKey
    request: RequestId


class ClaimTaken(msgspec.Struct, frozen=True, tag=True):
    """Result: the requesting request holds the claim."""


class ClaimKnown(msgspec.Struct, frozen=True, tag=True):
    """Result: another request holds the claim; with its response if it is settled."""

    state: ClaimState
    response: StoredResponse | None = msgspec.field(name="answer")


class ClaimConflict(msgspec.Struct, frozen=True, tag=True):
    """Result: the key was used by a request with different content."""


ClaimCommand = Claim | Settle | Withdraw
ClaimResult = ClaimTaken | ClaimKnown | ClaimConflict


class ClaimRecord(msgspec.Struct):
    """One claim, as stored in the table and in snapshots."""

    customer: CustomerId
    key: IdempotencyKey
    fingerprint: str
    request: RequestId
    state: ClaimState
    response: StoredResponse | None = msgspec.field(name="answer")
    changed: float


class ClaimTable:
    """All claims; deterministic, since every control instance applies the same log."""

    def __init__(self) -> None:
        self._records: dict[tuple[CustomerId, IdempotencyKey], ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, command: ClaimCommand, at: float) -> ClaimResult:
        """Apply one committed command; ``at`` is the time of its log entry."""
        self._remove_expired(at)
        record_key = (command.customer, command.key)
        record = self._records.get(record_key)
        match command:
            case Claim():
                return self._claim(command, record, at)
            case Settle():
                if record is not None and record.request == command.request:
                    record.state = ClaimState.SETTLED
                    record.response = command.response
                    self._mark_changed(record_key, record, at)
            case Withdraw():
                self._withdraw(command, record, at)
        return ClaimTaken()

    def export(self) -> list[ClaimRecord]:
        """Return all records, for a snapshot."""
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
            return ClaimKnown(record.state, record.response)
        self._put(command, command.fingerprint, ClaimState.OPEN, at)
        return ClaimTaken()

    def _withdraw(
        self, command: Withdraw, record: ClaimRecord | None, at: float
    ) -> None:
        # The record is kept, so that a claim committed after its withdrawal has no
        # effect: the two commands may be committed in either order.
        if record is None:
            self._put(command, "", ClaimState.WITHDRAWN, at)
        elif record.request == command.request and record.state is ClaimState.OPEN:
            self._put(command, record.fingerprint, ClaimState.WITHDRAWN, at)

    def _put(
        self, command: Claim | Withdraw, fingerprint: str, state: ClaimState, at: float
    ) -> None:
        record_key = (command.customer, command.key)
        self._records.pop(record_key, None)
        self._records[record_key] = ClaimRecord(
            command.customer, command.key, fingerprint, command.request, state, None, at
        )

    def _mark_changed(
        self,
        record_key: tuple[CustomerId, IdempotencyKey],
        record: ClaimRecord,
        at: float,
    ) -> None:
        # Ordered by last change, so that expiry only reads the first records.
        record.changed = at
        del self._records[record_key]
        self._records[record_key] = record

    def _remove_expired(self, at: float) -> None:
        while self._records:
            record_key, oldest = next(iter(self._records.items()))
            is_expired = at - oldest.changed >= CLAIM_LIFETIME_S
            if not is_expired and len(self._records) <= MAX_CLAIMS:
                return
            del self._records[record_key]
