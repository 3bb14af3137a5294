"""Replication progress of each member, as tracked by the leader."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from scalebend.core.consensus.messages import Member, Members, Place
from scalebend.models.ids import LogIndex

MAX_PENDING_ROUNDS = 64
"""Appends without a reply whose send times are kept for each member."""

MAX_PROMOTION_LAG_ENTRIES = 16
"""Entries by which a learner may lag and still become a voter."""

CHUNK_TIMEOUT_S = 2.0
"""Time without a reply after which a chunk of a snapshot is sent again."""

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
    """The first entry that the member may lack."""

    sent_index: LogIndex = LogIndex(0)
    """The last entry sent since the last rejection.

    Messages to a member stay in order, so entries in flight are not sent again; the
    next heartbeat is rejected if they were lost."""

    match_index: LogIndex = LogIndex(0)
    last_reply_at: float = 0.0
    last_sent_at: float = 0.0
    pending_rounds: deque[_PendingRound] = msgspec.field(default_factory=deque)
    confirmed_at: float = -1e9
    round_trip: float = 0.0
    resent_round: int = 0
    """The last round before entries were sent again. Rejections of it and of earlier
    rounds are outdated."""

    snapshot_offset: int | None = None
    """Bytes of the snapshot that the member has; ``None`` when none is being sent."""

    chunk_end: int = 0
    """End in bytes of the last chunk that was sent."""

    chunk_sent_at: float = -1e9

    is_leaving: bool = False
    """Whether the member said in its last reply that it is about to stop."""

    knows_joint_lists: bool | None = None
    """Whether the member reads joint lists; ``None`` before its first reply."""

    place: Place | None = None
    """Where the member says that it stands."""

    def record_sent(self, number: int, now: float) -> None:
        """Record that the append with this round number was sent."""
        self.pending_rounds.append(_PendingRound(number, now))
        if len(self.pending_rounds) > MAX_PENDING_ROUNDS:
            self.pending_rounds.popleft()

    def record_reply(self, now: float) -> None:
        """Record that the member replied to any message."""
        self.last_reply_at = now

    def record_round_reply(self, number: int, now: float) -> None:
        """Record a reply to this append, which also counts for those before it."""
        while self.pending_rounds and self.pending_rounds[0].round <= number:
            self.confirmed_at = self.pending_rounds.popleft().sent_at
            self.round_trip = now - self.confirmed_at

    def record_match(self, index: LogIndex) -> None:
        """Record that the member's log matches and is durable up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(self.match_index + 1)

    def record_mismatch(self, index: LogIndex, number: int, last_round: int) -> None:
        """Record a rejected append; the member's log may match up to ``index``.

        ``number`` is the round of that append, ``last_round`` the last one sent. What
        was sent since is sent again, once.
        """
        if number <= self.resent_round:
            return
        self.resent_round = last_round
        retry_from = min(index + 1, max(self.next_index, self.sent_index + 1) - 1)
        self.next_index = LogIndex(max(self.match_index + 1, retry_from))
        self.sent_index = LogIndex(self.next_index - 1)

    @property
    def first_unsent(self) -> LogIndex:
        """The first entry to send next."""
        return LogIndex(max(self.next_index, self.sent_index + 1))

    def is_awaiting_reply(self, now: float) -> bool:
        """Whether entries or a chunk were sent that the member has not replied to."""
        return self.sent_index > self.match_index or self.is_chunk_in_flight(now)

    def record_chunk_sent(self, end: int, now: float) -> None:
        """Record that the chunk of the snapshot up to ``end`` was sent."""
        self.chunk_end = end
        self.chunk_sent_at = now

    def is_chunk_in_flight(self, now: float) -> bool:
        """Whether the member may still reply to the last chunk."""
        return (
            self.snapshot_offset is not None
            and self.chunk_end > self.snapshot_offset
            and now - self.chunk_sent_at < CHUNK_TIMEOUT_S
        )

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
