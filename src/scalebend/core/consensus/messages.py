"""Messages and stored records of the replicated log."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

from scalebend.models.ids import (
    AvailabilityZone,
    InstanceId,
    LogIndex,
    Region,
    Term,
)

DiskId = NewType("DiskId", str)
"""Random identifier of a data folder; a replacement disk gets a new one."""


class Member(msgspec.Struct, frozen=True, order=True):
    """A group member: an instance and the disk that stores its vote."""

    instance: InstanceId
    disk: DiskId


class Place(msgspec.Struct, frozen=True, order=True):
    """Where a member stands; the region may be empty if there is only one."""

    zone: AvailabilityZone
    region: Region


class MemberPlace(msgspec.Struct, frozen=True):
    """The place that a member reported."""

    member: Member
    place: Place


class Members(msgspec.Struct, frozen=True):
    """Voters, and learners that receive the log but cannot vote.

    While a voter is being replaced the list is joint: ``former_voters`` holds the
    voters before the change, and every decision needs a majority of both sets.
    ``places`` are kept where they matter for the choice of voters.
    """

    voters: frozenset[Member]
    learners: frozenset[Member] = frozenset()
    former_voters: frozenset[Member] = frozenset()
    places: frozenset[MemberPlace] = frozenset()

    @property
    def all_members(self) -> frozenset[Member]:
        """Everyone who receives the log."""
        return self.electors | self.learners

    @property
    def electors(self) -> frozenset[Member]:
        """Everyone whose vote counts, before or after the change."""
        return self.voters | self.former_voters

    @property
    def is_joint(self) -> bool:
        """Whether a voter is being replaced."""
        return bool(self.former_voters)

    def is_quorum(self, members: set[Member]) -> bool:
        """Whether ``members`` include a majority, of both sets in a joint list."""
        if not _is_majority(members, self.voters):
            return False
        return not self.is_joint or _is_majority(members, self.former_voters)


def _is_majority(members: set[Member], voters: frozenset[Member]) -> bool:
    return len(voters & members) * 2 > len(voters)


class LogEntry(msgspec.Struct, frozen=True):
    """One entry; ``at`` is the leader's wall clock in seconds at the proposal.

    Either ``command`` or ``members`` is set; neither is in the empty entry that a new
    leader appends at the start of its term.
    """

    index: LogIndex
    term: Term
    at: float
    command: bytes = b""
    members: Members | None = None


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Candidate to voter; a pre-vote changes neither term nor vote on either side.

    ``sent_at`` is on the sender's clock, in seconds; the reply returns it.
    """

    sender: Member
    term: Term
    last_index: LogIndex
    last_term: Term
    is_pre_vote: bool
    is_transfer: bool = False
    sent_at: float = 0.0


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Voter to candidate."""

    sender: Member
    term: Term
    is_granted: bool
    is_pre_vote: bool
    request_sent_at: float = 0.0


class LeaveReply(Enum):
    """What the leader tells a member that is about to stop."""

    WAIT = "wait"
    """Another member takes over its vote; the change is not committed yet."""

    KEEP_VOTE = "keep-vote"
    """No other member can take over its vote: the member stops with it."""


class Silence(msgspec.Struct, frozen=True):
    """A member that the leader has not heard from for ``seconds``."""

    member: Member
    seconds: float


class Append(msgspec.Struct, frozen=True, tag=True):
    """Leader to member: entries after ``previous_index``; none in a heartbeat.

    ``leave_reply`` answers a member whose last reply said that it is about to stop.
    ``silences`` are those of voters, as seen by this leader and those before it.
    """

    sender: Member
    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: list[LogEntry]
    commit: LogIndex
    round: int
    leave_reply: LeaveReply | None = None
    silences: list[Silence] = msgspec.field(default_factory=list)


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Member to leader.

    ``index`` is the last matching entry, or on rejection the last that may match.
    ``knows_joint_lists`` is false from versions that would take a joint list for a
    plain one.
    """

    sender: Member
    term: Term
    is_accepted: bool
    index: LogIndex
    round: int
    is_leaving: bool = False
    knows_joint_lists: bool = False
    place: Place | None = None


class InstallSnapshot(msgspec.Struct, frozen=True, tag=True):
    """Leader to member whose missing entries are compacted: one chunk of state.

    ``offset`` and ``size`` (of the whole state) are in bytes.
    """

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
    """Leader to its chosen successor: start an election without waiting."""

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
    """Encoded state machine after the entry at ``index``."""

    index: LogIndex
    term: Term
    members: Members
    state: bytes


class HardState(msgspec.Struct, frozen=True):
    """Term and vote, which must be durable before a member replies."""

    term: Term
    voted_for: Member | None


class Persist(msgspec.Struct, frozen=True):
    """One atomic write.

    Entries from ``truncate_from`` on are removed before ``entries`` are appended.
    """

    hard_state: HardState | None = None
    truncate_from: LogIndex | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)


class Recovered(msgspec.Struct):
    """Contents of a data folder at start."""

    disk: DiskId
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[LogEntry]


class Outgoing(msgspec.Struct, frozen=True):
    """A message addressed to one member."""

    to: Member
    message: ConsensusMessage


class Ready(msgspec.Struct):
    """Work for the caller, in this order: persist, install, send, apply.

    ``snapshot`` comes from a leader and replaces the stored and the applied state.
    """

    persist: Persist | None
    snapshot: Snapshot | None
    messages: list[Outgoing]
    committed: list[LogEntry]

    @property
    def is_empty(self) -> bool:
        """Whether there is no work."""
        return (
            self.persist is None
            and self.snapshot is None
            and not self.messages
            and not self.committed
        )
