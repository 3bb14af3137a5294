"""What a leader knows of each other member, and what a quorum of them holds."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from scalebend.core.consensus.messages import Member, Members
from scalebend.models.ids import LogIndex

MOST_ROUNDS = 64
"""Unanswered appends whose times are kept for each member."""

CATCH_UP_GAP = 16
"""A learner this few entries behind may become a voter."""

T = TypeVar("T", bound=float)


class _SentRound(msgspec.Struct, frozen=True):
    """One append that a member has not answered, and when it was sent."""

    round: int
    sent_at: float


class Progress(msgspec.Struct):
    """How far one member's log is known to agree; times in seconds.

    ``confirmed_at`` is when the newest append that it answered in this term was *sent*.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    heard: float = 0.0
    sent: float = 0.0
    rounds: deque[_SentRound] = msgspec.field(default_factory=deque)
    confirmed_at: float = -1e9
    in_flight: bool = False
    snapshot_offset: int | None = None
    """Bytes of a snapshot that the member has, while it is sent one."""

    def note_sent(self, number: int, now: float) -> None:
        """An append with this round's number was sent."""
        self.rounds.append(_SentRound(number, now))
        if len(self.rounds) > MOST_ROUNDS:
            self.rounds.popleft()

    def note_heard(self, now: float) -> None:
        """The member answered something."""
        self.heard = now
        self.in_flight = False

    def note_answered(self, number: int) -> None:
        """The member answered an append, and so had those before it."""
        while self.rounds and self.rounds[0].round <= number:
            self.confirmed_at = self.rounds.popleft().sent_at

    def note_match(self, index: LogIndex) -> None:
        """The member's log agrees up to ``index``, and is synced so far."""
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(self.match_index + 1)

    def step_back(self, index: LogIndex) -> None:
        """The member refused an append; its log may agree up to ``index``."""
        retry_from = min(index + 1, self.next_index - 1)
        self.next_index = LogIndex(max(self.match_index + 1, retry_from))

    def is_caught_up(self, last_index: LogIndex) -> bool:
        """Whether the member has nearly the whole log."""
        if self.snapshot_offset is not None:
            return False
        return self.match_index + CATCH_UP_GAP >= last_index


def find_held_by_quorum(values: Mapping[Member, T], members: Members) -> T | None:
    """The largest value that a quorum has reached; ``None`` when there is none."""
    for candidate in sorted(set(values.values()), reverse=True):
        if members.is_quorum({m for m, value in values.items() if value >= candidate}):
            return candidate
    return None
