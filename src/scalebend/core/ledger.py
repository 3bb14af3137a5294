"""Exact account of one replica's KV cache memory, in tokens.

Memory is reserved from the grant until the engine is known to have freed it. The memory
of an abandoned attempt counts as used until the engine confirms the cancellation or
restarts under a new incarnation.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import AttemptId

CANCEL_RESEND_INTERVAL_S = 0.5
"""Time between two sends of the same unconfirmed cancellation."""


class _Cancellation(msgspec.Struct):
    tokens: int
    send_at: float


class MemoryLedger:
    """Reservations and unconfirmed cancellations of one replica."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._reserved: dict[AttemptId, int] = {}
        self._cancellations: dict[AttemptId, _Cancellation] = {}
        self._used = 0

    @property
    def used(self) -> int:
        """Tokens reserved, or in use by attempts with an unconfirmed cancellation."""
        return self._used

    @property
    def free(self) -> int:
        """Tokens that may still be granted; renewals can make it negative."""
        return self.capacity - self._used

    def has_reservation(self, attempt: AttemptId) -> bool:
        """Whether the attempt has a reservation and is not being cancelled."""
        return attempt in self._reserved

    def is_tracked(self, attempt: AttemptId) -> bool:
        """Whether the attempt has a reservation or an unconfirmed cancellation."""
        return attempt in self._reserved or attempt in self._cancellations

    def reserve(self, attempt: AttemptId, tokens: int) -> None:
        """Reserve ``tokens`` for the attempt; a second call changes nothing."""
        if self.is_tracked(attempt):
            return
        self._reserved[attempt] = tokens
        self._used += tokens

    def free_attempt(self, attempt: AttemptId) -> bool:
        """Free the attempt's memory; return whether it used any."""
        tokens = self._reserved.pop(attempt, None)
        if tokens is None:
            cancellation = self._cancellations.pop(attempt, None)
            if cancellation is None:
                return False
            tokens = cancellation.tokens
        self._used -= tokens
        return True

    def cancel(self, attempt: AttemptId, now: float, tokens: int = 0) -> None:
        """Replace the reservation by a cancellation, due at once.

        ``tokens`` count as used if the ledger has no reservation of the attempt.
        """
        if attempt in self._cancellations:
            return
        reserved = self._reserved.pop(attempt, None)
        if reserved is None:
            reserved = tokens
            self._used += tokens
        self._cancellations[attempt] = _Cancellation(reserved, now)

    def reschedule_due_cancellations(self, now: float) -> list[AttemptId]:
        """Return the attempts whose cancellation is due; schedule its next send."""
        due = [
            attempt
            for attempt, cancellation in self._cancellations.items()
            if cancellation.send_at <= now
        ]
        for attempt in due:
            self._cancellations[attempt].send_at = now + CANCEL_RESEND_INTERVAL_S
        return due

    def clear(self) -> list[AttemptId]:
        """Clear the ledger after an engine restart; return the reserved attempts."""
        lost = list(self._reserved)
        self._reserved.clear()
        self._cancellations.clear()
        self._used = 0
        return lost

    def list_reserved(self) -> list[AttemptId]:
        """List the attempts that have a reservation."""
        return list(self._reserved)
