"""One control instance: group formation, membership, proposals, replicated state.

A group is formed only once every configured control instance reports an empty disk.
An instance with a new disk joins an existing group as a learner; it takes the vote of
its old disk, or of another member that leaves or is silent, once it has nearly the
whole log.
"""

from __future__ import annotations

import msgspec
import structlog

from scalebend.core.consensus.messages import (
    ConsensusMessage,
    HardState,
    LeaveReply,
    LogEntry,
    Member,
    Members,
    Place,
    Ready,
    Recovered,
    Snapshot,
)
from scalebend.core.consensus.replica import Replica
from scalebend.core.consensus.voter_changes import (
    VoterChange,
    choose_voter_change,
    decide_leave_reply,
    drop_silent_learners,
)
from scalebend.core.consensus.voter_spread import Tolerance, compute_tolerance
from scalebend.core.control_state import (
    ControlState,
    ListedInstance,
    Result,
    SetInstances,
    encode_command,
)
from scalebend.core.list_history import ListHistory
from scalebend.core.messages import (
    Fetch,
    FoundGroup,
    Hello,
    HelloReply,
    Join,
    PeerMessage,
    ProposalReply,
    Propose,
    RelayReply,
)
from scalebend.core.publication import build_published
from scalebend.models.ids import InstanceId, LogIndex, Term

logger = structlog.get_logger(__name__)

HELLO_INTERVAL_S = 0.5
"""Time between two attempts to form or join a group."""

SNAPSHOT_INTERVAL_ENTRIES = 2_000
"""Applied entries after which a snapshot is taken."""

SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024
"""Applied commands after which a snapshot is taken; bounds the replay time at start
and the size of the journal."""

LEADERLESS_TIMEOUT_S = 2.0
"""Time without a leader after which a member contacts its peers again: it may have
been replaced while it was down."""

LEARNER_TIMEOUT_S = 15.0
"""Time without a reply after which a learner is removed."""

LIST_CHECK_INTERVAL_S = 0.2
"""Time between two comparisons of the live instances with the committed list."""


class ToInstance(msgspec.Struct, frozen=True):
    """Action: send a message to an instance."""

    instance: InstanceId
    message: PeerMessage


class _PendingProposal(msgspec.Struct, frozen=True):
    """Proposal whose entry is not committed yet, with the term it was appended in."""

    term: Term
    instance: InstanceId
    proposal: str


class ControlMember:
    """Replicated log and state of one control instance."""

    def __init__(
        self,
        instance: InstanceId,
        peers: list[InstanceId],
        recovered: Recovered,
        *,
        now: float,
        seed: int = 0,
        may_found: bool = True,
        needs_all_founders: bool = False,
        may_be_sole_founder: bool = False,
        demand: Tolerance | None = None,
        place: Place | None = None,
    ) -> None:
        """Recover the member from ``recovered``.

        ``demand``: what a group that chooses its voters by itself must be able to lose;
        without it, the configured peers stay the voters.
        ``place``: where this instance stands.
        ``may_found``: whether this instance may form a group.
        ``needs_all_founders``: whether it may do so only if all founders may.
        ``may_be_sole_founder``: whether a relay may name this instance as founder
        where no configured peer has a disk.
        """
        self.me = Member(instance, recovered.disk)
        self.state = ControlState()
        if recovered.snapshot is not None:
            self.state.restore(recovered.snapshot.state)
        self.replica = Replica(self.me, recovered, now=now, seed=seed)
        self.replica.place = place
        self._peers = list(peers)
        self._founders = set(peers)
        self._may_found = may_found
        self._needs_all_founders = needs_all_founders
        self._may_be_sole_founder = may_be_sole_founder
        self._relays: set[InstanceId] = set()
        self._demand = demand
        self._reported_members: Members | None = None
        self._leader_seen_at = now
        self._applied_bytes = 0
        self._hellos: dict[InstanceId, HelloReply] = {}
        self._next_hello_at = now
        self._next_list_check_at = now
        self._pending: dict[LogIndex, _PendingProposal] = {}
        self._list_history = ListHistory()
        self._list_history.put(self.state.instances)
        self._outbox: list[ToInstance] = []

    @property
    def has_settled_vote(self) -> bool:
        """Whether this member votes, and no replacement of a voter is under way."""
        members = self.replica.members
        return members is not None and not members.is_joint and self.replica.is_voter

    @property
    def leader(self) -> InstanceId | None:
        """Leader as far as known."""
        leader = self.replica.leader
        return leader.instance if leader is not None else None

    def list_voters(self) -> list[InstanceId]:
        """Voters as far as known, sorted."""
        members = self.replica.members
        voters = members.voters if members is not None else frozenset()
        return sorted(member.instance for member in voters)

    # Messages

    def handle(
        self, sender: InstanceId, message: PeerMessage, now: float, at: float
    ) -> None:
        """Process a message; ``at`` is the wall clock in seconds for new entries."""
        match message:
            case Hello():
                self._reply_to_hello(sender, message)
            case HelloReply():
                self._hellos[sender] = message
                self.record_control_instances(message.instances)
                self._try_to_form_group()
            case RelayReply(instances, founder):
                self._handle_relay_reply(sender, instances, founder)
            case FoundGroup(members):
                self.replica.form_group(members)
            case Join(member):
                self._add_learner(member, now)
            case Propose():
                self._propose(sender, message, now, at)
            case Fetch():
                self._publish(sender, message)
            case _ if isinstance(message, ConsensusMessage):
                # With an empty disk, this instance may know no other member.
                self.record_control_instances([sender])
                self.replica.handle(message, now)

    def advance(self, now: float) -> None:
        """Run what is due: elections, joining a group, promoting learners."""
        self.replica.advance(now)
        if self.replica.leader is not None:
            self._leader_seen_at = now
        is_leaderless = now - self._leader_seen_at > LEADERLESS_TIMEOUT_S
        if now >= self._next_hello_at and (is_leaderless or not self.replica.is_voter):
            self._next_hello_at = now + HELLO_INTERVAL_S
            self._seek_group()
        if self.replica.is_leader:
            self._change_voters(now)

    def is_list_due(self, now: float) -> bool:
        """Whether this member leads and the instance list is due for a comparison."""
        return self.replica.is_leader and now >= self._next_list_check_at

    def set_live_instances(
        self, live: list[ListedInstance], now: float, at: float
    ) -> None:
        """As leader, propose the live instances if the committed list differs."""
        if not self.is_list_due(now):
            return
        self._next_list_check_at = now + LIST_CHECK_INTERVAL_S
        current = self.state.instances
        if sorted(live) == sorted(current.instances):
            return
        command = SetInstances(current.epoch, sorted(live))
        self.replica.propose(encode_command(command), at, now)

    def stop_leading(self, now: float) -> None:
        """Transfer leadership to another voter before a planned stop."""
        self.replica.transfer_leadership(now)

    def leave(self) -> None:
        """Ask for another member to take over this member's vote before a stop."""
        self.replica.is_leaving = True

    def may_stop(self, now: float) -> bool:
        """Whether nobody takes over this member's vote any more, or someone has.

        A leader without a successor still has to transfer its leadership.
        """
        members = self.replica.members
        if members is None or not self.replica.is_voter:
            return not self.replica.is_leader
        if not members.learners and not members.is_joint:
            return True
        if self.replica.is_leader:
            reports = self.replica.report_members(now)
            reply = decide_leave_reply(self.me, members, reports)
            return reply is LeaveReply.KEEP_VOTE
        if self.replica.leader is None:
            return now - self._leader_seen_at > LEADERLESS_TIMEOUT_S
        return self.replica.leave_reply is LeaveReply.KEEP_VOTE

    # Output

    def collect_ready(self, now: float) -> Ready:
        """Return the work that must be durable before :meth:`finish`."""
        self.replica.send_due(now)
        return self.replica.collect_ready()

    @property
    def has_outgoing(self) -> bool:
        """Whether messages are queued that do not depend on a write."""
        return bool(self._outbox)

    def finish(self, ready: Ready, now: float) -> list[ToInstance]:
        """Apply ``ready``, whose writes are durable; return the messages to send."""
        if ready.snapshot is not None:
            self.state.restore(ready.snapshot.state)
        for entry in ready.committed:
            self._apply(entry)
        self._list_history.put(self.state.instances)
        self.replica.confirm(ready)
        if not self.replica.is_leader:
            self._fail_pending()
        outgoing = [ToInstance(o.to.instance, o.message) for o in ready.messages]
        outgoing += self._outbox
        self._outbox = []
        return outgoing

    def build_due_snapshot(self) -> Snapshot | None:
        """Return a snapshot if enough was applied since the last one, else ``None``."""
        has_many = self.replica.entries_since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES
        if not has_many and self._applied_bytes < SNAPSHOT_INTERVAL_BYTES:
            return None
        self._applied_bytes = 0
        return self.replica.build_snapshot(self.state.export())

    def read_tail(self, snapshot: Snapshot) -> tuple[HardState, list[LogEntry]]:
        """Return the term, vote and entries that follow ``snapshot`` in the journal."""
        log = self.replica.log
        entries = log.read(LogIndex(snapshot.index + 1), len(log))
        return self.replica.read_hard_state(), entries

    # Formation and members

    @property
    def _has_group(self) -> bool:
        return self.replica.members is not None

    def _reply_to_hello(self, sender: InstanceId, message: Hello) -> None:
        instances = self._list_control_instances()
        reply = HelloReply(self.me, self._has_group, self._may_found, instances)
        self._send(sender, reply)
        members = self.replica.members
        if members is None or message.has_group or message.member not in members.voters:
            return
        # The sender is a founder that missed the formation. Its disk is the one in
        # the first member list, so its log may start with the same first entry.
        if self.replica.log.find_last_members_index() == 1:
            self._send(sender, FoundGroup(members))

    def _list_control_instances(self) -> list[InstanceId]:
        members = self.replica.members
        all_members = members.all_members if members is not None else frozenset()
        return sorted({member.instance for member in all_members})

    def record_control_instances(self, instances: list[InstanceId]) -> None:
        """Add known, possibly former, control instances to the peers to contact."""
        for instance in instances:
            if instance != self.me.instance and instance not in self._peers:
                self._peers.append(instance)

    def _seek_group(self) -> None:
        self.record_control_instances(self._list_control_instances())
        for peer in self._peers:
            self._send(peer, Hello(self.me, self._has_group))
        if not self._peers:
            self._try_to_form_group()
        if any(reply.has_group for reply in self._hellos.values()):
            for peer in self._peers:
                self._send(peer, Join(self.me))

    def _try_to_form_group(self) -> None:
        if self._has_group or not self._may_found:
            return
        if not self._founders <= set(self._hellos) | self._relays:
            return
        founders = self._founders - self._relays
        if any(reply.has_group for reply in self._hellos.values()):
            return
        willing = {peer for peer in founders if self._hellos[peer].may_found}
        if self._needs_all_founders and willing != founders:
            return
        if any(peer < self.me.instance for peer in willing):
            return
        self._form_group({self._hellos[peer].member for peer in founders} | {self.me})

    def _form_group(self, voters: set[Member]) -> None:
        members = Members(frozenset(voters))
        self.replica.form_group(members)
        logger.info("control group founded", voters=sorted(m.instance for m in voters))
        for member in sorted(voters - {self.me}):
            self._send(member.instance, FoundGroup(members))

    def _handle_relay_reply(
        self, relay: InstanceId, instances: list[InstanceId], founder: InstanceId | None
    ) -> None:
        self._relays.add(relay)
        self.record_control_instances(instances)
        is_named = founder == self.me.instance and self._may_be_sole_founder
        is_unformed = not any(reply.has_group for reply in self._hellos.values())
        if is_named and is_unformed and not self._has_group:
            # A relay names only one founder; the other instances join its group.
            self._form_group({self.me})
            return
        self._try_to_form_group()

    def _add_learner(self, member: Member, now: float) -> None:
        members = self.replica.members
        if members is None or not self.replica.is_leader:
            return
        if member in members.all_members:
            return
        learners = {m for m in members.learners if m.instance != member.instance}
        # Keeps the voters before a change that is not complete.
        changed = msgspec.structs.replace(
            members, learners=frozenset(learners | {member})
        )
        if self.replica.propose_members(changed, 0.0, now) is not None:
            logger.info("control learner added", instance=member.instance)

    def _change_voters(self, now: float) -> None:
        members = self.replica.members
        if members is None or self._is_settled(members):
            return
        if not self.replica.can_change_members():
            return
        reports = self.replica.report_members(now)
        change = choose_voter_change(members, reports, self._demand)
        if change is None:
            change = drop_silent_learners(members, reports, LEARNER_TIMEOUT_S)
        if change is not None:
            self.replica.propose_members(change.members, 0.0, now)
            _log_voter_change(change)
        else:
            self._report_tolerance(members)

    def _is_settled(self, members: Members) -> bool:
        """Whether nothing that members report could change this list."""
        if members.learners or members.is_joint or members != self._reported_members:
            return False
        return self._demand is None or not self._demand.needs_spread

    def _report_tolerance(self, members: Members) -> None:
        """Log what may be lost if it is less than asked, once for each list."""
        if members == self._reported_members:
            return
        self._reported_members = members
        if self._demand is None:
            return
        places = {one.member: one.place for one in members.places}
        possible = compute_tolerance(members.voters, places)
        if not possible.covers(self._demand):
            logger.warning(
                "control group may lose less than asked",
                asked=msgspec.structs.asdict(self._demand),
                possible=msgspec.structs.asdict(possible),
                voters=sorted(member.instance for member in members.voters),
            )

    # Proposals

    def _propose(
        self, sender: InstanceId, message: Propose, now: float, at: float
    ) -> None:
        index = self.replica.propose(message.command, at, now)
        if index is None:
            reply = ProposalReply(message.proposal, None, self.leader)
            self._send(sender, reply)
            return
        self._pending[index] = _PendingProposal(
            self.replica.term, sender, message.proposal
        )

    def _apply(self, entry: LogEntry) -> None:
        result: Result | None = None
        self._applied_bytes += len(entry.command)
        if entry.command:
            result = self.state.apply(entry.command, entry.at)
        pending = self._pending.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            result = None
        self._reply_to_proposer(pending, result)

    def _fail_pending(self) -> None:
        # Their entries may still be committed; the proposers retry at the next leader.
        for pending in self._pending.values():
            self._reply_to_proposer(pending, None)
        self._pending.clear()

    def _reply_to_proposer(
        self, pending: _PendingProposal, result: Result | None
    ) -> None:
        reply = ProposalReply(pending.proposal, result, self.leader)
        self._send(pending.instance, reply)

    def _publish(self, sender: InstanceId, message: Fetch) -> None:
        state = self.state
        published = build_published(
            message, state.configuration, state.instances, self._list_history
        )
        if published is not None:
            self._send(sender, published)

    def _send(self, instance: InstanceId, message: PeerMessage) -> None:
        self._outbox.append(ToInstance(instance, message))


def _log_voter_change(change: VoterChange) -> None:
    logger.info(
        "control members changed",
        reason=change.reason.value,
        added=change.added.instance if change.added is not None else None,
        removed=change.removed.instance if change.removed is not None else None,
        voters=sorted(member.instance for member in change.members.voters),
        learners=sorted(member.instance for member in change.members.learners),
    )
