"""One member of the control group: elections, replication and membership changes.

Implements Raft with pre-vote, check-quorum, learners and joint consensus for replaced
voters. The class does no I/O: the caller passes in messages and the current time,
then takes a :class:`Ready` and carries it out in the order that it defines.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import structlog

from scalebend.core.consensus.election import ELECTION_TIMEOUT_S, Election
from scalebend.core.consensus.log import EntryLog
from scalebend.core.consensus.messages import (
    Append,
    AppendReply,
    ConsensusMessage,
    HardState,
    InstallSnapshot,
    LeaveReply,
    LogEntry,
    Member,
    Members,
    Outgoing,
    Persist,
    Place,
    Ready,
    Recovered,
    Silence,
    Snapshot,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from scalebend.core.consensus.progress import Progress
from scalebend.core.consensus.progress_table import HEARTBEAT_INTERVAL_S, ProgressTable
from scalebend.core.consensus.voter_changes import MemberReport, decide_leave_reply
from scalebend.models.ids import InstanceId, LogIndex, Term

logger = structlog.get_logger(__name__)

MIN_ROUND_INTERVAL_S = 0.01
"""Minimum time between two messages to a member while a leadership confirmation is
pending, so that one round serves several callers."""

LINK_LOSS_TIMEOUT_S = 0.25
"""Time after the link to the leader breaks before a member starts an election,
randomized up to twice: a live leader reconnects and sends a heartbeat within it."""

MAX_ENTRIES_PER_APPEND = 256
"""Entries in one append message."""

SNAPSHOT_CHUNK_BYTES = 256 * 1024
"""State in one snapshot message."""


class ReplicaRole(Enum):
    """Role of a member in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """Raft state of one member."""

    def __init__(
        self, me: Member, recovered: Recovered, *, now: float, seed: int = 0
    ) -> None:
        self.me = me
        self.role = ReplicaRole.FOLLOWER
        self.leader: Member | None = None
        self.place: Place | None = None
        """Where this member stands, if that matters for the choice of voters."""
        self.is_leaving = False
        """Whether this process is about to stop."""
        self.leave_reply: LeaveReply | None = None
        """What the leader's last message said about that."""
        self.term = recovered.hard_state.term
        self.log = EntryLog(recovered.snapshot, recovered.entries)
        self.commit_index = self.log.base_index
        self._voted_for = recovered.hard_state.voted_for
        self._snapshot = recovered.snapshot
        self._applied_index = self.log.base_index
        self._durable_index = self.log.last_index
        self._random = random.Random(f"{seed}/{me.instance}/{me.disk}")
        self._members = self.log.find_members()
        self._progress = ProgressTable(me)
        self._election = Election(me, self.term)
        self._round = 0
        self._leader_contact_at = -1e9
        self._has_known_leader = False
        self._election_deadline = 0.0
        self._incoming_state = bytearray()
        self._incoming_index = LogIndex(0)
        self._outbox: list[Outgoing] = []
        self._is_hard_state_dirty = False
        self._truncate_from: LogIndex | None = None
        self._received_snapshot: Snapshot | None = None
        self._last_now = now
        self._reset_election_deadline(now)

    @property
    def members(self) -> Members | None:
        """Member list in effect; ``None`` before the group is formed."""
        return self._members

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.role is ReplicaRole.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member, with this disk, has a vote."""
        return self._members is not None and self.me in self._members.electors

    def form_group(self, members: Members) -> None:
        """Append the first member list to an empty log; otherwise do nothing."""
        if self._members is not None or self.log.last_index:
            return
        # Every founder writes the same entry, so that any of them can be elected.
        entry = LogEntry(LogIndex(1), Term(0), 0.0, members=members)
        self.log.append(entry)
        self._members = members
        self._reset_election_deadline(self._last_now)

    # Proposals

    def propose(self, command: bytes, at: float, now: float) -> LogIndex | None:
        """Append a command; return its index, or ``None`` if not leader."""
        if not self.is_leader:
            return None
        return self._append_to_log(LogEntry(self._next_index(), self.term, at, command))

    def propose_members(
        self, members: Members, at: float, now: float
    ) -> LogIndex | None:
        """Append a member list; ``None`` if not leader or a change is pending."""
        if not self.is_leader or not self.can_change_members():
            return None
        entry = LogEntry(self._next_index(), self.term, at, members=members)
        index = self._append_to_log(entry)
        self._set_members(members, now)
        return index

    def can_change_members(self) -> bool:
        """Whether the newest member list and an entry of this term are committed."""
        is_settled = self.log.find_last_members_index() <= self.commit_index
        return is_settled and self.log.get_term(self.commit_index) == self.term

    def compute_confirmed_at(self, now: float) -> float | None:
        """Latest time at which this member was certainly the only leader.

        A quorum replied to an append that was sent at that time in this term, so
        every entry committed earlier by another leader is in this log. ``None`` if
        this member is not leader or has applied no entry of its term.
        """
        if not self.is_leader or self._members is None:
            return None
        if self.log.get_term(self._applied_index) != self.term:
            return None
        return self._progress.find_confirmed_at(self._members, now)

    def request_confirmation(self, since: float, now: float) -> None:
        """As leader, send at once to members with no message since ``since``."""
        if not self.is_leader:
            return
        for member, progress in self._progress.items():
            if (
                progress.last_sent_at < since
                and now - progress.last_sent_at >= MIN_ROUND_INTERVAL_S
            ):
                self._replicate(member, progress, now)

    def record_link_loss(self, instance: InstanceId, now: float) -> None:
        """Shorten the election timeout if the instance behind the broken link leads."""
        if self.leader is None or self.is_leader or self.leader.instance != instance:
            return
        # Allows votes for other candidates until the leader sends a message.
        self._leader_contact_at = -math.inf
        suspected = now + LINK_LOSS_TIMEOUT_S * self._random.uniform(1.0, 2.0)
        self._election_deadline = min(self._election_deadline, suspected)

    def report_members(self, now: float) -> dict[Member, MemberReport]:
        """As leader, what is known about each member, this one included."""
        assert self._members is not None
        reports = self._progress.report(self._members, self.log.last_index, now)
        reports[self.me] = MemberReport(
            True, False, 0.0, self.is_leaving, True, self.place
        )
        return reports

    def transfer_leadership(self, now: float) -> Member | None:
        """Ask the voter with the most complete log to take over; return it."""
        if not self.is_leader or self._members is None:
            return None
        successor = self._progress.choose_successor(self._members)
        if successor is not None:
            self._send(successor, TimeoutNow(self.me, self.term))
        return successor

    # Time

    def advance(self, now: float) -> None:
        """Run what is due: heartbeats, step-down without a quorum, elections."""
        self._last_now = now
        if self._members is None:
            return
        if self.is_leader:
            self._advance_leader(now)
        elif now >= self._election_deadline and self.is_voter:
            self._start_election(now, is_pre_vote=True)
        elif self.role is ReplicaRole.PRE_CANDIDATE:
            self._count_votes(now)

    def send_due(self, now: float) -> None:
        """As leader, send new entries and heartbeats that are due.

        Concludes nothing from missing messages: unlike :meth:`advance`, it may run
        before the messages that wait in the sockets are read.
        """
        if self.is_leader:
            self._broadcast(now)

    # Messages

    def handle(self, message: ConsensusMessage, now: float) -> None:
        """Process a message from another member."""
        self._last_now = now
        if self._members is None and not isinstance(message, Append | InstallSnapshot):
            return
        match message:
            case VoteRequest():
                self._handle_vote_request(message, now)
            case VoteReply():
                self._handle_vote_reply(message, now)
            case Append():
                self._handle_append(message, now)
            case AppendReply():
                self._handle_append_reply(message, now)
            case InstallSnapshot():
                self._handle_install_snapshot(message, now)
            case SnapshotReply():
                self._handle_snapshot_reply(message, now)
            case TimeoutNow():
                if message.term == self.term and self.is_voter:
                    self._start_election(now, is_pre_vote=False, is_transfer=True)

    # Output

    def collect_ready(self) -> Ready:
        """Return the pending work; call :meth:`confirm` once it is carried out."""
        entries = self.log.read(LogIndex(self._durable_index + 1), len(self.log))
        persist = None
        if self._is_hard_state_dirty or entries or self._truncate_from is not None:
            persist = Persist(self.read_hard_state(), self._truncate_from, entries)
        committed = []
        if self.commit_index > self._applied_index:
            first = LogIndex(self._applied_index + 1)
            committed = self.log.read(first, self.commit_index - self._applied_index)
        ready = Ready(persist, self._received_snapshot, self._outbox, committed)
        self._outbox = []
        self._received_snapshot = None
        self._is_hard_state_dirty = False
        self._truncate_from = None
        return ready

    def confirm(self, ready: Ready) -> None:
        """Record that ``ready`` was carried out, its entries durable and applied."""
        if ready.persist is not None and ready.persist.entries:
            self._durable_index = ready.persist.entries[-1].index
            if self.is_leader:
                self._advance_commit()
        if ready.committed:
            self._applied_index = max(self._applied_index, ready.committed[-1].index)

    def compact(self, snapshot: Snapshot) -> None:
        """Remove the entries that a stored snapshot covers."""
        self._snapshot = snapshot
        self.log.compact(snapshot)

    def build_snapshot(self, state: bytes) -> Snapshot:
        """Build a snapshot from the encoded applied state."""
        members = self.log.find_members(self._applied_index)
        term = self.log.get_term(self._applied_index)
        assert members is not None and term is not None
        return Snapshot(self._applied_index, term, members, state)

    def read_hard_state(self) -> HardState:
        """Return the term and vote to store."""
        return HardState(self.term, self._voted_for)

    @property
    def entries_since_snapshot(self) -> int:
        """Number of applied entries that no snapshot covers yet."""
        return self._applied_index - self.log.base_index

    # Election

    def _start_election(
        self, now: float, *, is_pre_vote: bool, is_transfer: bool = False
    ) -> None:
        assert self._members is not None
        self.leader = None
        term = Term(self.term + 1)
        if is_pre_vote:
            self._log_unsuccessful_election()
            self.role = ReplicaRole.PRE_CANDIDATE
        else:
            self.role = ReplicaRole.CANDIDATE
            self._set_term(term, voted_for=self.me)
            self._election.start_candidacy(now)
            logger.info(
                "election started",
                term=term,
                failed_terms=self._election.count_failed_terms(term) - 1,
            )
        self._reset_election_deadline(now)
        request = VoteRequest(
            self.me,
            term,
            self.log.last_index,
            self.log.last_term,
            is_pre_vote,
            is_transfer,
            now,
        )
        for member in self._members.electors - {self.me}:
            self._send(member, request)
        self._count_votes(now)

    def _log_unsuccessful_election(self) -> None:
        if self.role in (ReplicaRole.PRE_CANDIDATE, ReplicaRole.CANDIDATE):
            logger.info(
                "election without result",
                role=self.role.value,
                term=self.term,
                votes=self._election.list_votes(),
                pre_votes=self._election.list_pre_votes(),
                refused_by=self._election.list_refusals(),
            )

    def _count_votes(self, now: float) -> None:
        assert self._members is not None
        if self._election.is_won(self._members):
            self._become_leader(now)
        elif self.role is ReplicaRole.PRE_CANDIDATE:
            timeout = self._compute_election_timeout()
            if self._election.may_start(self._members, timeout, now):
                self._start_election(now, is_pre_vote=False)

    def _handle_vote_request(self, request: VoteRequest, now: float) -> None:
        # Ignores elections while a leader is known, so that a member which returns
        # from a partition cannot raise the term and depose the leader.
        has_leader = (
            self.is_leader or now - self._leader_contact_at < ELECTION_TIMEOUT_S
        )
        if has_leader and not request.is_transfer and request.term > self.term:
            self._reply_vote(request, is_granted=False)
            return
        if request.term > self.term and not request.is_pre_vote:
            self._become_follower(request.term, None, now)
        is_current = request.term > self.term or (
            request.term == self.term and not request.is_pre_vote
        )
        is_vote_free = request.is_pre_vote or self._voted_for in (None, request.sender)
        is_granted = is_current and is_vote_free and self._is_up_to_date(request)
        if is_granted and not request.is_pre_vote:
            self._voted_for = request.sender
            self._is_hard_state_dirty = True
            self._reset_election_deadline(now)
        if is_granted and request.is_pre_vote:
            if self.role is ReplicaRole.PRE_CANDIDATE:
                self._election.record_rival(
                    request, self.log.last_term, self.log.last_index
                )
        self._reply_vote(request, is_granted=is_granted)

    def _reply_vote(self, request: VoteRequest, *, is_granted: bool) -> None:
        term = request.term if is_granted else self.term
        reply = VoteReply(
            self.me, term, is_granted, request.is_pre_vote, request.sent_at
        )
        self._send(request.sender, reply)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        candidate_log = (request.last_term, request.last_index)
        return candidate_log >= (self.log.last_term, self.log.last_index)

    def _handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        if reply.term > self.term and not reply.is_granted:
            self._become_follower(reply.term, None, now)
            return
        self._progress.contacts.record(reply.sender, now)
        if self.role not in (ReplicaRole.PRE_CANDIDATE, ReplicaRole.CANDIDATE):
            return
        if reply.is_pre_vote:
            if not reply.is_granted or reply.term == self.term + 1:
                self._election.record_pre_vote(reply, now)
        elif reply.term == self.term:
            self._election.record_vote(reply)
        self._count_votes(now)

    def _become_leader(self, now: float) -> None:
        assert self._members is not None
        self.role = ReplicaRole.LEADER
        self._has_known_leader = True
        seconds = now - self._election.candidate_since
        logger.info(
            "elected",
            term=self.term,
            seconds=round(seconds, 3),
            votes=self._election.list_votes(),
        )
        self._election.record_leader(self.term)
        self.leader = self.me
        self._progress.start_term(self._members, self._next_index(), seconds, now)
        # An entry of its own term lets the leader commit entries of earlier terms.
        self._append_to_log(LogEntry(self._next_index(), self.term, 0.0))
        self._broadcast(now)

    def _become_follower(self, term: Term, leader: Member | None, now: float) -> None:
        self.role = ReplicaRole.FOLLOWER
        self.leader = leader
        if term > self.term:
            self._set_term(term, voted_for=None)
        if leader is not None:
            self._election.record_leader(term)
        self._reset_election_deadline(now)

    def _set_term(self, term: Term, voted_for: Member | None) -> None:
        self.term = term
        self._election.start_term()
        self._voted_for = voted_for
        self._is_hard_state_dirty = True

    def _reset_election_deadline(self, now: float) -> None:
        if self._members is not None and self._members.voters == {self.me}:
            # The only voter has no other leader to wait for.
            self._election_deadline = now
            return
        timeout = self._compute_election_timeout()
        self._election_deadline = now + timeout * self._random.uniform(1.0, 2.0)

    def _compute_election_timeout(self) -> float:
        return self._election.compute_timeout(
            self.term, has_known_leader=self._has_known_leader
        )

    # Leading

    def _advance_leader(self, now: float) -> None:
        assert self._members is not None
        if not self._progress.has_quorum(self._members, now):
            timeout = self._progress.compute_quorum_timeout(self._members)
            logger.warning(
                "leadership lost without a quorum",
                term=self.term,
                timeout=round(timeout, 3),
                seconds_since_reply=self._progress.describe_silences(now),
            )
            self._become_follower(self.term, None, now)
            return
        is_removed = self.me not in self._members.electors
        if is_removed and self.log.find_last_members_index() <= self.commit_index:
            self.transfer_leadership(now)
            self._become_follower(self.term, None, now)
            return
        self._broadcast(now)

    def _broadcast(self, now: float) -> None:
        for member, progress in self._progress.items():
            is_due = now - progress.last_sent_at >= HEARTBEAT_INTERVAL_S
            has_entries = progress.first_unsent <= self.log.last_index
            if is_due or (has_entries and not progress.is_awaiting_reply(now)):
                self._replicate(member, progress, now)

    def _replicate(self, member: Member, progress: Progress, now: float) -> None:
        progress.last_sent_at = now
        first = progress.first_unsent
        previous = LogIndex(first - 1)
        previous_term = self.log.get_term(previous)
        if previous_term is None:
            self._send_snapshot(member, progress, now)
            return
        progress.snapshot_offset = None
        self._round += 1
        progress.record_sent(self._round, now)
        entries = self.log.read(first, MAX_ENTRIES_PER_APPEND)
        if entries:
            progress.sent_index = entries[-1].index
        message = Append(
            self.me,
            self.term,
            previous,
            previous_term,
            entries,
            self.commit_index,
            self._round,
            self._decide_leave_reply(member, progress, now),
            self._list_silences(now),
        )
        self._send(member, message)

    def _decide_leave_reply(
        self, member: Member, progress: Progress, now: float
    ) -> LeaveReply | None:
        if not progress.is_leaving:
            return None
        assert self._members is not None
        reports = self.report_members(now)
        return decide_leave_reply(member, self._members, reports)

    def _list_silences(self, now: float) -> list[Silence]:
        assert self._members is not None
        others = self._members.electors - {self.me}
        return self._progress.contacts.list_silences(others, now)

    def _send_snapshot(self, member: Member, progress: Progress, now: float) -> None:
        """Send the next chunk, or an empty one as a heartbeat while one is in flight.

        A chunk that is sent twice gets two replies, each of which sends the next chunk.
        """
        snapshot = self._snapshot
        assert snapshot is not None
        if progress.is_chunk_in_flight(now):
            offset = progress.chunk_end
            data = b""
        else:
            offset = progress.snapshot_offset or 0
            if offset > len(snapshot.state):
                offset = 0
            progress.snapshot_offset = offset
            data = snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES]
            progress.record_chunk_sent(offset + len(data), now)
        message = InstallSnapshot(
            self.me,
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            offset,
            len(snapshot.state),
            data,
        )
        self._send(member, message)

    def _handle_append_reply(self, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None, now)
            return
        progress = self._progress.get(reply.sender)
        if not self.is_leader or progress is None or reply.term < self.term:
            return
        progress.record_reply(now)
        progress.record_round_reply(reply.round, now)
        self._progress.contacts.record(reply.sender, now)
        progress.is_leaving = reply.is_leaving
        progress.knows_joint_lists = reply.knows_joint_lists
        progress.place = reply.place
        if reply.is_accepted:
            progress.record_match(reply.index)
            self._advance_commit()
        else:
            progress.record_mismatch(reply.index, reply.round, self._round)
        if progress.first_unsent <= self.log.last_index:
            self._replicate(reply.sender, progress, now)

    def _handle_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None, now)
            return
        progress = self._progress.get(reply.sender)
        if not self.is_leader or progress is None or reply.term < self.term:
            return
        progress.record_reply(now)
        self._progress.contacts.record(reply.sender, now)
        if self._snapshot is None or reply.index != self._snapshot.index:
            progress.snapshot_offset = 0
            progress.chunk_end = 0
        elif reply.offset >= len(self._snapshot.state):
            progress.snapshot_offset = None
            progress.record_match(reply.index)
        else:
            progress.snapshot_offset = reply.offset
        has_entries = progress.first_unsent <= self.log.last_index
        if has_entries and not progress.is_chunk_in_flight(now):
            self._replicate(reply.sender, progress, now)

    def _advance_commit(self) -> None:
        assert self._members is not None
        quorum_index = self._progress.find_quorum_index(
            self._members, self._durable_index
        )
        # Entries of earlier terms are committed only together with one of this term.
        # Terms in a log never decrease, so checking the newest replicated entry is
        # enough.
        if quorum_index is not None and quorum_index > self.commit_index:
            if self.log.get_term(quorum_index) == self.term:
                self.commit_index = quorum_index

    def _append_to_log(self, entry: LogEntry) -> LogIndex:
        self.log.append(entry)
        return entry.index

    def _next_index(self) -> LogIndex:
        return LogIndex(self.log.last_index + 1)

    def _set_members(self, members: Members | None, now: float) -> None:
        self._members = members
        if self.is_leader and members is not None:
            self._progress.set_members(members, self._next_index(), now)

    # Following

    def _handle_append(self, message: Append, now: float) -> None:
        if message.term < self.term:
            self._reply_append(message, is_accepted=False, index=self.log.last_index)
            return
        self._follow_leader(message.sender, message.term, now)
        self.leave_reply = message.leave_reply
        self._record_contacts(message, now)
        previous_term = self.log.get_term(message.previous_index)
        is_covered = message.previous_index < self.log.base_index
        if not is_covered and previous_term != message.previous_term:
            hint = min(self.log.last_index, LogIndex(message.previous_index - 1))
            self._reply_append(message, is_accepted=False, index=LogIndex(max(0, hint)))
            return
        last = self._store_entries(message.entries, now)
        matched = LogIndex(message.previous_index + len(message.entries))
        if last is not None:
            matched = last
        self.commit_index = max(self.commit_index, min(message.commit, matched))
        self._reply_append(message, is_accepted=True, index=matched)

    def _record_contacts(self, message: Append, now: float) -> None:
        if self._members is not None:
            self._progress.contacts.record_report(
                self._members.all_members, message.silences, now
            )

    def _store_entries(self, entries: list[LogEntry], now: float) -> LogIndex | None:
        has_members = False
        for entry in entries:
            if entry.index <= self.log.base_index:
                continue
            known = self.log.get_term(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self._truncate(entry.index)
                has_members = True
            self.log.append(entry)
            has_members |= entry.members is not None
        if has_members:
            self._set_members(self.log.find_members(), now)
        return entries[-1].index if entries else None

    def _truncate(self, start: LogIndex) -> None:
        self.log.truncate(start)
        if start <= self._durable_index:
            self._durable_index = LogIndex(start - 1)
            earlier = self._truncate_from
            self._truncate_from = start if earlier is None else min(earlier, start)

    def _follow_leader(self, leader: Member, term: Term, now: float) -> None:
        self._has_known_leader = True
        self._become_follower(term, leader, now)
        self._leader_contact_at = now

    def _reply_append(
        self, message: Append, *, is_accepted: bool, index: LogIndex
    ) -> None:
        reply = AppendReply(
            self.me,
            self.term,
            is_accepted,
            index,
            message.round,
            self.is_leaving,
            knows_joint_lists=True,
            place=self.place,
        )
        self._send(message.sender, reply)

    def _handle_install_snapshot(self, message: InstallSnapshot, now: float) -> None:
        if message.term < self.term:
            self._reply_snapshot(message, 0)
            return
        self._follow_leader(message.sender, message.term, now)
        if message.index <= self.commit_index:
            self._reply_snapshot(message, message.size)
            return
        if message.offset == 0 or message.index != self._incoming_index:
            self._incoming_state = bytearray()
            self._incoming_index = message.index
        if len(self._incoming_state) != message.offset:
            self._reply_snapshot(message, len(self._incoming_state))
            return
        self._incoming_state += message.data
        if len(self._incoming_state) >= message.size:
            self._install_snapshot(message, now)
        self._reply_snapshot(message, message.offset + len(message.data))

    def _install_snapshot(self, message: InstallSnapshot, now: float) -> None:
        snapshot = Snapshot(
            message.index,
            message.snapshot_term,
            message.members,
            bytes(self._incoming_state),
        )
        self._incoming_state = bytearray()
        self._snapshot = snapshot
        self._received_snapshot = snapshot
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self._applied_index = snapshot.index
        self._durable_index = max(
            snapshot.index, min(self._durable_index, self.log.last_index)
        )
        self._set_members(self.log.find_members(), now)

    def _reply_snapshot(self, message: InstallSnapshot, offset: int) -> None:
        reply = SnapshotReply(self.me, self.term, message.index, offset)
        self._send(message.sender, reply)

    def _send(self, to: Member, message: ConsensusMessage) -> None:
        self._outbox.append(Outgoing(to, message))
