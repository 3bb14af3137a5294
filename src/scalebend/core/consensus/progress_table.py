"""What a leader knows about all members: their logs, replies and silences.

Times are in seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import ItemsView

from scalebend.core.consensus.contacts import Contacts
from scalebend.core.consensus.messages import Member, Members
from scalebend.core.consensus.progress import Progress, find_quorum_value
from scalebend.core.consensus.voter_changes import MemberReport
from scalebend.models.ids import LogIndex

HEARTBEAT_INTERVAL_S = 0.1
"""Maximum time between two messages from a leader to each member."""

QUORUM_TIMEOUT_S = 0.6
"""Minimum time without replies from a quorum before a leader steps down."""

MAX_QUORUM_TIMEOUT_S = 3.0
"""Maximum of the same time, which grows with the round trips to the members."""

QUORUM_TIMEOUT_ROUND_TRIPS = 2.0
"""Round trips to a quorum that the same time covers."""


class ProgressTable:
    """Progress of all members but ``me``; contacts outlive the terms."""

    def __init__(self, me: Member) -> None:
        self.contacts = Contacts()
        self._me = me
        self._led_since = math.inf
        self._progress: dict[Member, Progress] = {}

    def get(self, member: Member) -> Progress | None:
        """Return the progress of a member; ``None`` if it is not in the list."""
        return self._progress.get(member)

    def items(self) -> ItemsView[Member, Progress]:
        """Return all members with their progress."""
        return self._progress.items()

    def start_term(
        self, members: Members, next_index: LogIndex, round_trip: float, now: float
    ) -> None:
        """Begin to lead; ``round_trip`` is the time the votes took, used at first."""
        self._led_since = now
        self._progress = {}
        self.set_members(members, next_index, now)
        for progress in self._progress.values():
            progress.round_trip = round_trip

    def set_members(self, members: Members, next_index: LogIndex, now: float) -> None:
        """Track ``members``; new ones may lack the entries from ``next_index`` on."""
        others = members.all_members - {self._me}
        self.contacts.keep(others, now)
        for member in [m for m in self._progress if m not in others]:
            del self._progress[member]
        for member in sorted(others):
            if member not in self._progress:
                self._progress[member] = Progress(next_index, last_reply_at=now)

    # Quorums

    def find_quorum_index(self, members: Members, durable: LogIndex) -> LogIndex | None:
        """Return the last entry that a quorum stores; ``durable``: the last own one."""
        indexes = {m: progress.match_index for m, progress in self._progress.items()}
        indexes[self._me] = durable
        return find_quorum_value(indexes, members)

    def find_confirmed_at(self, members: Members, now: float) -> float | None:
        """Return when the newest messages were sent that a quorum replied to."""
        times = {m: progress.confirmed_at for m, progress in self._progress.items()}
        times[self._me] = now
        return find_quorum_value(times, members)

    def has_quorum(self, members: Members, now: float) -> bool:
        """Whether a quorum has replied within the time for it."""
        timeout = self.compute_quorum_timeout(members)
        responsive = {
            member
            for member, progress in self._progress.items()
            if now - progress.last_reply_at < timeout
        }
        return members.is_quorum(responsive | {self._me})

    def compute_quorum_timeout(self, members: Members) -> float:
        """Time without replies from a quorum before the leader steps down."""
        timeout = max(QUORUM_TIMEOUT_S, self._compute_reply_time(members))
        return min(timeout, MAX_QUORUM_TIMEOUT_S)

    def _compute_reply_time(self, members: Members) -> float:
        """Time in which members reply, from the round trips to a quorum."""
        # Negative, since the quorum with the largest values is found.
        negated = {m: -progress.round_trip for m, progress in self._progress.items()}
        negated[self._me] = 0.0
        round_trip = -(find_quorum_value(negated, members) or 0.0)
        return max(HEARTBEAT_INTERVAL_S, QUORUM_TIMEOUT_ROUND_TRIPS * round_trip)

    # Members

    def report(
        self, members: Members, last_index: LogIndex, now: float
    ) -> dict[Member, MemberReport]:
        """Return what is known about each other member.

        A member is silent after the time in which silence would end a leadership, if
        it could also have replied to this leader.
        """
        could_reply = now - self._led_since >= self._compute_reply_time(members)
        timeout = self.compute_quorum_timeout(members)
        reports = {}
        for member, progress in self._progress.items():
            silence = self.contacts.compute_silence(member, now)
            reports[member] = MemberReport(
                progress.is_caught_up(last_index),
                could_reply and silence > timeout,
                silence,
                progress.is_leaving,
                progress.knows_joint_lists,
                progress.place,
            )
        return reports

    def choose_successor(self, members: Members) -> Member | None:
        """Return the voter with the most complete log, if possible one that stays."""
        others = sorted(members.voters - {self._me})
        return max(others, key=self._rank_successor, default=None)

    def _rank_successor(self, member: Member) -> tuple[bool, LogIndex]:
        progress = self._progress[member]
        return not progress.is_leaving, progress.match_index

    def describe_silences(self, now: float) -> dict[str, float]:
        """Return the seconds since the last reply of each member, for the log."""
        return {
            member.instance: round(now - progress.last_reply_at, 3)
            for member, progress in self._progress.items()
        }
