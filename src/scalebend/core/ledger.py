"""Exact account of one replica's KV memory, in tokens.

Memory is held from the grant until the engine is known to have given it back. An
attempt that was abandoned is *owed*: its memory counts as held until the engine
confirms the cancellation or comes back under a new incarnation.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import AttemptId

RESEND_CANCEL = 0.5
"""Seconds between two cancellations of the same owed attempt."""


class _Owed(msgspec.Struct):
    tokens: int
    send_at: float


class MemoryLedger:
    """Holds and owed cancellations of one replica."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._held: dict[AttemptId, int] = {}
        self._owed: dict[AttemptId, _Owed] = {}
        self._used = 0

    @property
    def used(self) -> int:
        """Tokens held or owed."""
        return self._used

    @property
    def free(self) -> int:
        """Tokens that may still be granted; negative after a rebuild."""
        return self.capacity - self._used

    def holds(self, attempt: AttemptId) -> bool:
        """Whether the attempt holds memory and is not owed."""
        return attempt in self._held

    def knows(self, attempt: AttemptId) -> bool:
        """Whether the attempt is held or owed."""
        return attempt in self._held or attempt in self._owed

    def hold(self, attempt: AttemptId, tokens: int) -> None:
        """Hold ``tokens`` for the attempt; holding twice changes nothing."""
        if self.knows(attempt):
            return
        self._held[attempt] = tokens
        self._used += tokens

    def free_attempt(self, attempt: AttemptId) -> bool:
        """Give back what the attempt held or owed; return whether it did."""
        tokens = self._held.pop(attempt, None)
        if tokens is None:
            owed = self._owed.pop(attempt, None)
            if owed is None:
                return False
            tokens = owed.tokens
        self._used -= tokens
        return True

    def owe(self, attempt: AttemptId, now: float, tokens: int = 0) -> None:
        """Turn a hold into an owed cancellation, due at once.

        An attempt the ledger never saw (an engine reported it) is owed ``tokens``.
        """
        if attempt in self._owed:
            return
        held = self._held.pop(attempt, None)
        if held is None:
            held = tokens
            self._used += tokens
        self._owed[attempt] = _Owed(held, now)

    def take_due_cancellations(self, now: float) -> list[AttemptId]:
        """Return owed attempts whose cancellation must be sent (again) now."""
        due = [attempt for attempt, owed in self._owed.items() if owed.send_at <= now]
        for attempt in due:
            self._owed[attempt].send_at = now + RESEND_CANCEL
        return due

    def clear(self) -> list[AttemptId]:
        """Drop everything: the engine restarted with empty memory."""
        lost = list(self._held)
        self._held.clear()
        self._owed.clear()
        self._used = 0
        return lost

    def list_held(self) -> list[AttemptId]:
        """Attempts that hold memory and are not owed."""
        return list(self._held)
