"""A control process without a disk: it introduces processes to the control instances.

It may be the only control process that others were told of, so it learns who the
members of the control group are and passes that on. It holds nothing that must last and
has no vote: calls of operators and upstreams are sent on to a member.
"""

from __future__ import annotations

import structlog

from scalebend.core.gateway.messages import ControlStatus, KnownInstances, LinkMessage
from scalebend.core.messages import Hello, RelayReply
from scalebend.models.ids import InstanceId, Term

logger = structlog.get_logger(__name__)


class RelayInstance:
    """What a relay knows of the control group, without I/O."""

    def __init__(
        self, me: InstanceId, seeds: list[InstanceId], *, is_first_start: bool
    ) -> None:
        self.me = me
        self._seeds = set(seeds)
        self._first_seeds = set(seeds)
        self._is_first_start = is_first_start
        self._founder: InstanceId | None = None
        self._relays: set[InstanceId] = set()
        self._told: set[InstanceId] = set()
        self._linked: set[InstanceId] = set()
        self._leader: InstanceId | None = None
        self._term = Term(0)

    @property
    def instances(self) -> set[InstanceId]:
        """Control processes to keep a link to."""
        return (self._seeds | self._told | self._linked) - {self.me}

    def set_seeds(self, seeds: list[InstanceId]) -> None:
        """The settings name these control processes now."""
        self._seeds = set(seeds)

    def add_link(self, instance: InstanceId) -> None:
        """A link to a control process is up."""
        self._linked.add(instance)

    def remove_link(self, instance: InstanceId) -> None:
        """A link to a control process was lost."""
        self._linked.discard(instance)
        if instance == self._leader:
            logger.info("leader lost", leader=instance, term=self._term)
            self._leader = None

    def handle(self, sender: InstanceId, message: LinkMessage) -> None:
        """Take a message of a control process that this one dialled."""
        match message:
            case KnownInstances(instances):
                self._relays.add(sender)
                if self._leader is None:
                    self._told |= set(instances)
            case ControlStatus():
                self._take_control_news(sender, message)

    def _take_control_news(self, sender: InstanceId, news: ControlStatus) -> None:
        is_current = news.leader is not None and news.term >= self._term
        if not is_current or news.leader not in news.instances:
            # A member that was cut off, or has a new disk, may name only some.
            self._told |= set(news.instances)
            return
        self._told = set(news.instances)
        self._term = news.term
        if news.leader != self._leader and news.leader in self._linked:
            logger.info("leader found", leader=news.leader, term=news.term, told=sender)
            self._leader = news.leader

    def answer_hello(self, sender: InstanceId, message: Hello) -> RelayReply:
        """Tell a control instance that looks for its group whom else to ask."""
        self._told.add(sender)
        if not message.has_group:
            self._choose_founder(sender)
        return RelayReply(self.list_members(), self._founder)

    def _choose_founder(self, candidate: InstanceId) -> None:
        """Name the one instance that may found the group if no seed can vote.

        At most one is ever named: by the lowest seed, on the first start only, and not
        before the other seeds said that they are relays, too. Where any seed has a
        disk, the seeds with disks found the group.
        """
        may_choose = self._is_first_start and self._founder is None
        if not may_choose or self._term > 0 or self.me != min(self._first_seeds):
            return
        if self._first_seeds - {self.me} <= self._relays:
            self._founder = candidate
            logger.info("founder chosen", founder=candidate)

    def list_members(self) -> list[InstanceId]:
        """Control instances with a disk that are known here."""
        return sorted(self._told - self._relays)

    def choose_target(self) -> InstanceId | None:
        """The member that a call is to be sent on to; the leader where it is known."""
        if self._leader is not None:
            return self._leader
        linked = sorted(self._linked & self._told - self._relays)
        return linked[0] if linked else None
