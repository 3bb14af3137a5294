"""Messages and records of the replicated log."""

from __future__ import annotations

from typing import NewType

import msgspec

from scalebend.models.ids import InstanceId, LogIndex, Term

DiskId = NewType("DiskId", str)
"""Random name of a data folder; a replaced disk has a new one."""


class Member(msgspec.Struct, frozen=True, order=True):
    """One vote: an instance together with the disk that its vote is kept on."""

    instance: InstanceId
    disk: DiskId


class Members(msgspec.Struct, frozen=True):
    """Voters, and learners that receive the log but have no vote yet."""

    voters: frozenset[Member]
    learners: frozenset[Member] = frozenset()

    @property
    def everyone(self) -> frozenset[Member]:
        """Voters and learners."""
        return self.voters | self.learners

    def is_quorum(self, members: set[Member]) -> bool:
        """Whether ``members`` hold a majority of the votes."""
        return len(self.voters & members) * 2 > len(self.voters)


class LogEntry(msgspec.Struct, frozen=True):
    """One entry; ``at`` is the leader's wall clock in seconds when it was proposed.

    Exactly one of ``command`` and ``members`` is set, or neither for the empty entry
    that a new leader starts its term with.
    """

    index: LogIndex
    term: Term
    at: float
    command: bytes = b""
    members: Members | None = None


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Candidate to voter; a pre-vote changes no state at either side."""

    sender: Member
    term: Term
    last_index: LogIndex
    last_term: Term
    is_pre_vote: bool
    is_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Voter to candidate."""

    sender: Member
    term: Term
    is_granted: bool
    is_pre_vote: bool


class Append(msgspec.Struct, frozen=True, tag=True):
    """Leader to member: entries after ``previous``; empty as a heartbeat."""

    sender: Member
    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: list[LogEntry]
    commit: LogIndex
    round: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Member to leader; ``index`` is the last matching entry, or a hint to retry."""

    sender: Member
    term: Term
    is_accepted: bool
    index: LogIndex
    round: int


class InstallSnapshot(msgspec.Struct, frozen=True, tag=True):
    """Leader to member whose missing entries were compacted; one chunk of state."""

    sender: Member
    term: Term
    index: LogIndex
    snapshot_term: Term
    members: Members
    offset: int
    size: int
    data: bytes


class SnapshotReply(msgspec.Struct, frozen=True, tag=True):
    """Member to leader: bytes received so far of the snapshot at ``index``."""

    sender: Member
    term: Term
    index: LogIndex
    offset: int


class TimeoutNow(msgspec.Struct, frozen=True, tag=True):
    """Leader to its chosen successor: start an election at once (planned stop)."""

    sender: Member
    term: Term


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
)


class Snapshot(msgspec.Struct, frozen=True):
    """State of the whole machine after ``index``."""

    index: LogIndex
    term: Term
    members: Members
    state: bytes


class HardState(msgspec.Struct, frozen=True):
    """What a member must remember before it answers."""

    term: Term
    voted_for: Member | None


class Persist(msgspec.Struct, frozen=True):
    """One write, durable as a whole or not at all.

    Entries from ``truncate_from`` on are dropped before ``entries`` are appended.
    """

    hard_state: HardState | None = None
    truncate_from: LogIndex | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)


class Recovered(msgspec.Struct):
    """What a data folder held at start."""

    disk: DiskId
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[LogEntry]


class Outgoing(msgspec.Struct, frozen=True):
    """A message for one member."""

    to: Member
    message: ConsensusMessage


class Ready(msgspec.Struct):
    """What the caller must do, in this order: persist, install, send, apply.

    ``snapshot`` was received from a leader: it replaces stored and applied state.
    """

    persist: Persist | None
    snapshot: Snapshot | None
    messages: list[Outgoing]
    committed: list[LogEntry]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return (
            self.persist is None
            and self.snapshot is None
            and not self.messages
            and not self.committed
        )
