"""A relay: a control process without a disk, which helps others find the control group.

A relay may be the only control process in the settings of other processes, so it learns
the members of the control group and reports them. It stores nothing durable and has no
vote; it forwards calls of operators and upstreams to a member.
"""

from __future__ import annotations

import structlog

from scalebend.core.gateway.messages import ControlStatus, KnownInstances, LinkMessage
from scalebend.core.messages import Hello, RelayReply
from scalebend.models.ids import InstanceId, Term

logger = structlog.get_logger(__name__)


class RelayInstance:
    """A relay's view of the control group, without I/O."""

    def __init__(
        self, me: InstanceId, seeds: list[InstanceId], *, is_first_start: bool
    ) -> None:
        self.me = me
        self._seeds = set(seeds)
        self._first_seeds = set(seeds)
        self._is_first_start = is_first_start
        self._founder: InstanceId | None = None
        self._relays: set[InstanceId] = set()
        self._known: set[InstanceId] = set()
        self._linked: set[InstanceId] = set()
        self._leader: InstanceId | None = None
        self._term = Term(0)

    @property
    def instances(self) -> set[InstanceId]:
        """Control processes to keep links to."""
        return (self._seeds | self._known | self._linked) - {self.me}

    def set_seeds(self, seeds: list[InstanceId]) -> None:
        """Set the control processes named in the reloaded settings."""
        self._seeds = set(seeds)

    def add_link(self, instance: InstanceId) -> None:
        """Add a control process whose link is up."""
        self._linked.add(instance)

    def remove_link(self, instance: InstanceId) -> None:
        """Remove a control process whose link was lost."""
        self._linked.discard(instance)
        if instance == self._leader:
            logger.info("leader lost", leader=instance, term=self._term)
            self._leader = None

    def record_member(self, instance: InstanceId) -> None:
        """Record a control instance with a disk that dialled this relay.

        After a restart of all processes it may be the only sign of the group: members
        that elect a leader at once do not ask for one.
        """
        self._known.add(instance)

    def handle(self, sender: InstanceId, message: LinkMessage) -> None:
        """Handle a message of a control process that this relay dialled."""
        match message:
            case KnownInstances(instances):
                self._relays.add(sender)
                if self._leader is None:
                    self._known |= set(instances)
            case ControlStatus():
                self._receive_heartbeat(sender, message)

    def _receive_heartbeat(self, sender: InstanceId, heartbeat: ControlStatus) -> None:
        is_current = heartbeat.leader is not None and heartbeat.term >= self._term
        if not is_current or heartbeat.leader not in heartbeat.instances:
            # A member that is partitioned or has a new disk may know only some.
            self._known |= set(heartbeat.instances)
            return
        self._known = set(heartbeat.instances)
        self._term = heartbeat.term
        if heartbeat.leader != self._leader and heartbeat.leader in self._linked:
            logger.info(
                "leader found",
                leader=heartbeat.leader,
                term=heartbeat.term,
                told=sender,
            )
            self._leader = heartbeat.leader

    def reply_to_hello(self, sender: InstanceId, message: Hello) -> RelayReply:
        """Reply with the known members to a control instance that has no group yet."""
        self._known.add(sender)
        if not message.has_group:
            self._choose_founder(sender)
        return RelayReply(self.list_members(), self._founder)

    def _choose_founder(self, candidate: InstanceId) -> None:
        """Choose the instance that founds the group if no seed can vote.

        At most one founder is ever chosen: by the seed with the lowest id, on the first
        start only, and only once all other seeds are known to be relays. If any seed
        has a disk, the seeds with disks found the group.
        """
        may_choose = self._is_first_start and self._founder is None
        if not may_choose or self._term > 0 or self.me != min(self._first_seeds):
            return
        if self._first_seeds - {self.me} <= self._relays:
            self._founder = candidate
            logger.info("founder chosen", founder=candidate)

    def list_members(self) -> list[InstanceId]:
        """List the known control instances that have a disk."""
        return sorted(self._known - self._relays)

    def choose_target(self) -> InstanceId | None:
        """Choose the member to forward a call to: the leader if it is known."""
        if self._leader is not None:
            return self._leader
        linked = sorted(self._linked & self._known - self._relays)
        return linked[0] if linked else None
