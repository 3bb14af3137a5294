"""Replication progress of each member, as tracked by the leader."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from scalebend.core.consensus.messages import Member, Members
from scalebend.models.ids import LogIndex

MAX_PENDING_ROUNDS = 64
"""Appends without a reply whose send times are kept for each member."""

MAX_PROMOTION_LAG_ENTRIES = 16
"""Entries by which a learner may lag and still become a voter."""

T = TypeVar("T", bound=float)


class _PendingRound(msgspec.Struct, frozen=True):
    """An append that a member has not replied to, and when it was sent."""

    round: int
    sent_at: float


class Progress(msgspec.Struct):
    """How far one member's log is known to match the leader's; times in seconds.

    ``confirmed_at`` is the *send* time of the newest append replied to in this term,
    and ``round_trip`` the time its reply took.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    last_reply_at: float = 0.0
    last_sent_at: float = 0.0
    pending_rounds: deque[_PendingRound] = msgspec.field(default_factory=deque)
    confirmed_at: float = -1e9
    round_trip: float = 0.0
    is_awaiting_reply: bool = False
    snapshot_offset: int | None = None
    """Bytes of the snapshot that the member has; ``None`` when none is being sent."""

    def record_sent(self, number: int, now: float) -> None:
        """Record that the append with this round number was sent."""
        self.pending_rounds.append(_PendingRound(number, now))
        if len(self.pending_rounds) > MAX_PENDING_ROUNDS:
            self.pending_rounds.popleft()

    def record_reply(self, now: float) -> None:
        """Record that the member replied to any message."""
        self.last_reply_at = now
        self.is_awaiting_reply = False

    def record_round_reply(self, number: int, now: float) -> None:
        """Record a reply to this append, which also counts for those before it."""
        while self.pending_rounds and self.pending_rounds[0].round <= number:
            self.confirmed_at = self.pending_rounds.popleft().sent_at
            self.round_trip = now - self.confirmed_at

    def record_match(self, index: LogIndex) -> None:
        """Record that the member's log matches and is durable up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(self.match_index + 1)

    def record_mismatch(self, index: LogIndex) -> None:
        """Record a rejected append; the member's log may match up to ``index``."""
        retry_from = min(index + 1, self.next_index - 1)
        self.next_index = LogIndex(max(self.match_index + 1, retry_from))

    def is_caught_up(self, last_index: LogIndex) -> bool:
        """Whether the member has nearly the whole log."""
        if self.snapshot_offset is not None:
            return False
        return self.match_index + MAX_PROMOTION_LAG_ENTRIES >= last_index


def find_quorum_value(values: Mapping[Member, T], members: Members) -> T | None:
    """Largest value that a quorum has reached; ``None`` if no quorum reported one."""
    for candidate in sorted(set(values.values()), reverse=True):
        if members.is_quorum({m for m, value in values.items() if value >= candidate}):
            return candidate
    return None
