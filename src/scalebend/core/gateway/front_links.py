"""Control instances that a front knows, and which of them leads."""

from __future__ import annotations

import structlog

from scalebend.core.gateway.messages import ControlStatus
from scalebend.models.ids import InstanceId, Term

logger = structlog.get_logger(__name__)

LEADER_TIMEOUT_S = 1.0
"""Without a message from the leader for this long, a front isn't ready and asks callers
to close persistent connections: two heartbeats, and longer than most elections. When no
front is ready, balancers use all of them."""


class FrontLinks:
    """Control instances to keep a link to, and the leader among them."""

    def __init__(self, seeds: list[str], now: float) -> None:
        self.leader: InstanceId | None = None
        self._seeds = {InstanceId(seed) for seed in seeds}
        self._announced: set[InstanceId] = set()
        self._linked: set[InstanceId] = set()
        self._term = Term(0)
        self._leader_seen_at = now

    @property
    def instances(self) -> set[InstanceId]:
        """Control instances to keep a link to: configured, announced or linked.

        A replaced instance is no longer announced, so it isn't dialled again once its
        link is lost.
        """
        return self._seeds | self._announced | self._linked

    def set_seeds(self, seeds: list[InstanceId]) -> None:
        """Replace the control instances that the settings name."""
        self._seeds = set(seeds)

    def add(self, instance: InstanceId) -> None:
        """Add a control instance whose link is up."""
        self._linked.add(instance)

    def remove(self, instance: InstanceId) -> None:
        """Remove a control instance whose link was lost."""
        self._linked.discard(instance)
        if instance == self.leader:
            logger.info("leader lost", leader=instance, term=self._term)
            self.leader = None

    def is_cut_off(self, now: float) -> bool:
        """Whether the leader sent nothing within :data:`LEADER_TIMEOUT_S`."""
        return now - self._leader_seen_at >= LEADER_TIMEOUT_S

    def record_leader_contact(self, now: float) -> None:
        """Record a message of the leader."""
        self._leader_seen_at = now

    def announce(self, instances: list[InstanceId]) -> None:
        """Add instances that a relay lists, while there is no leader to list them.

        The relay's list may be stale.
        """
        if self.leader is None:
            self._announced |= set(instances)

    def apply_status(self, sender: InstanceId, status: ControlStatus) -> bool:
        """Apply a heartbeat; return whether it is from a leader's first or newer term.

        It then changed the leader, or confirmed one that was elected again and so has
        lost what fronts reported.
        """
        if self.is_outdated(status):
            # The sender may be cut off, but its instances may be the only ones left.
            self._announced |= set(status.instances)
            return False
        if status.leader in status.instances:
            self._announced = set(status.instances)
        else:
            # A sender with a new disk knows the leader, but not yet the whole group.
            self._announced |= set(status.instances)
        is_known = status.leader == self.leader and status.term == self._term
        self._term = status.term
        if is_known or status.leader not in self._linked:
            return False
        logger.info(
            "leader found", leader=status.leader, term=status.term, source=sender
        )
        self.leader = status.leader
        return True

    def is_outdated(self, status: ControlStatus) -> bool:
        """Whether a heartbeat names no leader, or one of an earlier term."""
        return status.leader is None or status.term < self._term
