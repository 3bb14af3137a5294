"""One control instance: its vote, the replicated state, and who may ask for what.

Formation: a group is founded only when every configured control instance answers
that its disk is empty. An instance whose disk is new while a group exists joins as
a learner, and votes once it has the whole log and its old vote is removed.
"""

from __future__ import annotations

import msgspec
import structlog

from scalebend.core.consensus.messages import (
    ConsensusMessage,
    HardState,
    LogEntry,
    Member,
    Members,
    Ready,
    Recovered,
    Snapshot,
)
from scalebend.core.consensus.replica import Replica
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

HELLO_PERIOD = 0.5
"""Seconds between two attempts to form or join a group."""

SNAPSHOT_ENTRIES = 2_000
"""Applied entries after which a snapshot replaces them."""

SNAPSHOT_BYTES = 4 * 1024 * 1024
"""Bytes of applied commands after which a snapshot replaces them: a replay stays
under a second and a small disk holds several such journals."""

LEADER_SILENCE = 2.0
"""Seconds without a leader after which a member asks around again: it may have been
replaced while it was away."""

DEAD_VOTER = 4.0
"""Seconds of silence after which a voter gives its place to a waiting learner."""

DEAD_LEARNER = 15.0
"""Seconds of silence after which a learner is dropped."""

LIST_PERIOD = 0.2
"""Seconds between two comparisons of the live instances with the committed list."""


class ToInstance(msgspec.Struct, frozen=True):
    """Action: send a message to an instance."""

    instance: InstanceId
    message: PeerMessage


class _Waiting(msgspec.Struct, frozen=True):
    """A proposer that waits for the entry at an index of a term."""

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
        may_be_named: bool = False,
        voters_wanted: int | None = None,
    ) -> None:
        """``voters_wanted``: size of the group when members come and go by themselves.

        Without it, the configured peers are the group and a voter keeps its place.
        ``may_be_named``: whether a relay may name this one as founder, where none of
        the configured peers has a disk.
        """
        self.me = Member(instance, recovered.disk)
        self.state = ControlState()
        if recovered.snapshot is not None:
            self.state.restore(recovered.snapshot.state)
        self.replica = Replica(self.me, recovered, now=now, seed=seed)
        self._peers = list(peers)
        self._founders = set(peers)
        self._may_found = may_found
        self._may_be_named = may_be_named
        self._relays: set[InstanceId] = set()
        self._voters_wanted = voters_wanted
        self._led_at = now
        self._applied_bytes = 0
        self._hellos: dict[InstanceId, HelloReply] = {}
        self._hello_at = now
        self._list_at = now
        self._waiting: dict[LogIndex, _Waiting] = {}
        self._lists = ListHistory()
        self._lists.put(self.state.instances)
        self._outbox: list[ToInstance] = []

    @property
    def leader(self) -> InstanceId | None:
        """The instance that leads, as far as known."""
        leader = self.replica.leader
        return leader.instance if leader is not None else None

    def list_voters(self) -> list[InstanceId]:
        """Instances that vote now, as far as this one knows."""
        members = self.replica.members
        voters = members.voters if members is not None else frozenset()
        return sorted(member.instance for member in voters)

    # Messages

    def handle(
        self, sender: InstanceId, message: PeerMessage, now: float, at: float
    ) -> None:
        """Take one message; ``at`` is the wall clock that new entries carry."""
        match message:
            case Hello():
                self._answer_hello(sender, message)
            case HelloReply():
                self._hellos[sender] = message
                self.note_instances(message.instances)
                self._try_to_found()
            case RelayReply(instances, founder):
                self._take_relay_reply(sender, instances, founder)
            case FoundGroup(members):
                self.replica.form_group(members)
            case Join(member):
                self._take_in(member, now)
            case Propose():
                self._propose(sender, message, now, at)
            case Fetch():
                self._publish(sender, message)
            case _ if isinstance(message, ConsensusMessage):
                self.replica.handle(message, now)

    def advance(self, now: float) -> None:
        """Act on time."""
        self.replica.advance(now)
        if self.replica.leader is not None:
            self._led_at = now
        is_lost = now - self._led_at > LEADER_SILENCE
        if now >= self._hello_at and (is_lost or not self.replica.is_voter):
            self._hello_at = now + HELLO_PERIOD
            self._seek_group()
        if self.replica.is_leader:
            self._promote_learners(now)

    def is_list_due(self, now: float) -> bool:
        """Whether this member leads and should compare the live instances now."""
        return self.replica.is_leader and now >= self._list_at

    def set_live_instances(
        self, live: list[ListedInstance], now: float, at: float
    ) -> None:
        """As leader, propose the instance list when it is not the live one."""
        if not self.is_list_due(now):
            return
        self._list_at = now + LIST_PERIOD
        current = self.state.instances
        if sorted(live) == sorted(current.instances):
            return
        command = SetInstances(current.epoch, sorted(live))
        self.replica.propose(encode_command(command), at, now)

    def stop_leading(self, now: float) -> None:
        """Hand leadership over before a planned stop."""
        self.replica.transfer_leadership(now)

    # Carrying out

    def take_ready(self, now: float) -> Ready:
        """What must be written and synced before :meth:`finish`."""
        self.replica.advance(now)
        return self.replica.take_ready()

    @property
    def has_outgoing(self) -> bool:
        """Whether messages wait that need nothing to be written first."""
        return bool(self._outbox)

    def finish(self, ready: Ready, now: float) -> list[ToInstance]:
        """The writes of ``ready`` are durable; return what to send."""
        if ready.snapshot is not None:
            self.state.restore(ready.snapshot.state)
        for entry in ready.committed:
            self._apply(entry)
        self._lists.put(self.state.instances)
        self.replica.confirm(ready)
        if not self.replica.is_leader:
            self._disappoint_waiting()
        sent = [ToInstance(o.to.instance, o.message) for o in ready.messages]
        sent += self._outbox
        self._outbox = []
        return sent

    def build_due_snapshot(self) -> Snapshot | None:
        """Return a snapshot when enough entries were applied since the last."""
        has_many = self.replica.applied_entries >= SNAPSHOT_ENTRIES
        if not has_many and self._applied_bytes < SNAPSHOT_BYTES:
            return None
        self._applied_bytes = 0
        return self.replica.build_snapshot(self.state.export())

    def read_tail(self, snapshot: Snapshot) -> tuple[HardState, list[LogEntry]]:
        """What must stand in the journal after ``snapshot``."""
        log = self.replica.log
        entries = log.read(LogIndex(snapshot.index + 1), len(log))
        return self.replica.read_hard_state(), entries

    # Formation and members

    @property
    def _has_group(self) -> bool:
        return self.replica.members is not None

    def _answer_hello(self, sender: InstanceId, message: Hello) -> None:
        instances = self._list_instances()
        reply = HelloReply(self.me, self._has_group, self._may_found, instances)
        self._send(sender, reply)
        members = self.replica.members
        if members is None or message.has_group or message.member not in members.voters:
            return
        # It is a founder that did not hear of the founding: its disk, and so its
        # log, is the one that was counted, and the first entry is the same for all.
        if self.replica.log.find_last_members_index() == 1:
            self._send(sender, FoundGroup(members))

    def _list_instances(self) -> list[InstanceId]:
        members = self.replica.members
        everyone = members.everyone if members is not None else frozenset()
        return sorted({member.instance for member in everyone})

    def note_instances(self, instances: list[InstanceId]) -> None:
        """These are, or were, control instances: ask them for the group, too."""
        for instance in instances:
            if instance != self.me.instance and instance not in self._peers:
                self._peers.append(instance)

    def _seek_group(self) -> None:
        self.note_instances(self._list_instances())
        for peer in self._peers:
            self._send(peer, Hello(self.me, self._has_group))
        if not self._peers:
            self._try_to_found()
        if any(reply.has_group for reply in self._hellos.values()):
            for peer in self._peers:
                self._send(peer, Join(self.me))

    def _try_to_found(self) -> None:
        if self._has_group or not self._may_found:
            return
        if not self._founders <= set(self._hellos) | self._relays:
            return
        founders = self._founders - self._relays
        if any(reply.has_group for reply in self._hellos.values()):
            return
        if any(
            self._hellos[peer].may_found and peer < self.me.instance
            for peer in founders
        ):
            return
        self._found({self._hellos[peer].member for peer in founders} | {self.me})

    def _found(self, voters: set[Member]) -> None:
        members = Members(frozenset(voters))
        self.replica.form_group(members)
        logger.info("control group founded", voters=sorted(m.instance for m in voters))
        for member in sorted(voters - {self.me}):
            self._send(member.instance, FoundGroup(members))

    def _take_relay_reply(
        self, relay: InstanceId, instances: list[InstanceId], founder: InstanceId | None
    ) -> None:
        self._relays.add(relay)
        self.note_instances(instances)
        is_named = founder == self.me.instance and self._may_be_named
        is_first = not any(reply.has_group for reply in self._hellos.values())
        if is_named and is_first and not self._has_group:
            # The others join: a second founder is never named.
            self._found({self.me})
            return
        self._try_to_found()

    def _take_in(self, member: Member, now: float) -> None:
        members = self.replica.members
        if members is None or not self.replica.is_leader:
            return
        if member in members.everyone:
            return
        learners = {m for m in members.learners if m.instance != member.instance}
        changed = Members(members.voters, frozenset(learners | {member}))
        if self.replica.propose_members(changed, 0.0, now) is not None:
            logger.info("control learner added", instance=member.instance)

    def _promote_learners(self, now: float) -> None:
        members = self.replica.members
        if members is None or not self.replica.can_change_members():
            return
        for learner in sorted(members.learners):
            if not self.replica.is_caught_up(learner):
                continue
            old = {m for m in members.voters if m.instance == learner.instance}
            is_full = self._voters_wanted is not None and (
                len(members.voters) >= self._voters_wanted
            )
            if not old and is_full:
                silent = self.replica.list_silent(DEAD_VOTER, now)
                dead = [member for member in silent if member in members.voters]
                if not dead:
                    continue
                changed = Members(members.voters - {dead[0]}, members.learners)
            elif old:
                # The old disk is gone with its vote: remove it before the new one
                # votes, one change at a time.
                changed = Members(members.voters - old, members.learners)
            else:
                changed = Members(
                    members.voters | {learner}, members.learners - {learner}
                )
            self.replica.propose_members(changed, 0.0, now)
            logger.info("control voter changed", instance=learner.instance)
            return
        self._drop_dead_learners(members, now)

    def _drop_dead_learners(self, members: Members, now: float) -> None:
        silent = self.replica.list_silent(DEAD_LEARNER, now)
        dead = members.learners & frozenset(silent)
        if not dead:
            return
        changed = Members(members.voters, members.learners - dead)
        if self.replica.propose_members(changed, 0.0, now) is not None:
            logger.info("control learners dropped", count=len(dead))

    # Proposals

    def _propose(
        self, sender: InstanceId, message: Propose, now: float, at: float
    ) -> None:
        index = self.replica.propose(message.command, at, now)
        if index is None:
            answer = ProposalReply(message.proposal, None, self.leader)
            self._send(sender, answer)
            return
        self._waiting[index] = _Waiting(self.replica.term, sender, message.proposal)

    def _apply(self, entry: LogEntry) -> None:
        result: Result | None = None
        self._applied_bytes += len(entry.command)
        if entry.command:
            result = self.state.apply(entry.command, entry.at)
        waiting = self._waiting.pop(entry.index, None)
        if waiting is None:
            return
        if waiting.term != entry.term:
            result = None
        self._answer(waiting, result)

    def _disappoint_waiting(self) -> None:
        # Their entries may still be committed; the proposers ask the next leader.
        for waiting in self._waiting.values():
            self._answer(waiting, None)
        self._waiting.clear()

    def _answer(self, waiting: _Waiting, result: Result | None) -> None:
        answer = ProposalReply(waiting.proposal, result, self.leader)
        self._send(waiting.instance, answer)

    def _publish(self, sender: InstanceId, message: Fetch) -> None:
        state = self.state
        published = build_published(
            message, state.configuration, state.instances, self._lists
        )
        if published is not None:
            self._send(sender, published)

    def _send(self, instance: InstanceId, message: PeerMessage) -> None:
        self._outbox.append(ToInstance(instance, message))
