"""Decides how a process connects to upstreams: directly, or through a peer.

A failed connection alone does not tell a dead upstream from a partition of this
process. A recent direct connection that delivered data does: it proves the network of
the process. One that came about shows that earlier ones failed because of their
upstreams. Without either, failures at several upstreams make the process *isolated*,
and the connections of peers, which are other processes, tell which upstreams are alive.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec
import structlog

from scalebend.core.tunnel_peers import TunnelPeers
from scalebend.models.ids import AvailabilityZone, InstanceId
from scalebend.models.tunnels import TunnelReply

logger = structlog.get_logger(__name__)

PROOF_LIFETIME_S = 1.0
"""Time for which a direct connection proves the network of the process after it was
opened. Short against a partition, so that few requests blame an upstream for it."""

FAILURE_WINDOW_S = 3.0
"""Time in which failures at several upstreams count together: with few requests they
are far apart."""

ISOLATION_WEIGHT = 3.0
"""Sum of the weights of failing upstreams that makes a process isolated."""

MIN_ISOLATION_S = 0.5
"""Time for which a process must be isolated before it refuses requests for it: all
processes of a busy host may fail to connect for a moment."""

UNREACHABLE_LIFETIME_S = 1.0
"""Time for which an upstream that peers could not reach either gets no tunnels."""

CONFIRMATIONS = 2
"""Peers that must fail to reach an upstream before an isolated process believes it."""

TRIAL_INTERVAL_S = 1.0
"""Minimum time between two direct trials of an upstream behind tunnels."""

UNREPEATABLE_TRIAL_INTERVAL_S = 5.0
"""The same for requests that may not be repeated: a partition may also break new
connections after the request was written."""

RECENT_FAILURE_S = 1.0
"""Time after a failure for which the process does not connect for others."""

CHECK_INTERVAL_S = 1.0
"""Minimum time between two background checks of an upstream through a peer."""

MIN_SILENCE_S = 0.15
"""Time without data on all direct connections after which an isolated process takes
those that were open before for lost, too, unless their hosts accept new ones."""

DATA_IN_FLIGHT_S = 0.05
"""Time for which data that was sent before a partition may still arrive."""

RETENTION_S = 30.0
"""Time without events after which the record of an upstream is removed."""


class FailureKind(Enum):
    """How a direct connection failed; the value is its weight as evidence."""

    CONNECT = 1.5
    """It did not come about. Nothing of the request was sent."""

    EARLY_LOSS = 1.0
    """It was lost or silent before any data arrived, as also in a crash."""


class OpenConnections(Enum):
    """What became of direct connections that are older than an isolation."""

    ALIVE = "alive"
    LOST = "lost"
    UNKNOWN = "unknown"
    """There has not been enough time to tell."""


class Direct(msgspec.Struct, frozen=True):
    """Plan: connect directly."""


class Tunnel(msgspec.Struct, frozen=True):
    """Plan: connect through a peer, after a short direct trial if ``is_trial``."""

    is_trial: bool


ConnectionPlan = Direct | Tunnel


class _Record(msgspec.Struct):
    """What is known of the way to one upstream; clock times in seconds."""

    failed_at: float = -math.inf
    failure: FailureKind = FailureKind.CONNECT
    """The last direct failure."""

    is_tunnelled: bool = False
    """Whether a peer got through after a direct failure."""

    unreachable_until: float = -math.inf
    """Time until which peers are known not to reach it either."""

    refusals: int = 0
    """Peers in a row that could not reach it."""

    trial_at: float = -math.inf
    check_at: float = -math.inf
    changed_at: float = 0.0


class UpstreamReach:
    """Evidence of one process on its ways to upstreams, by their addresses."""

    def __init__(self, availability_zone: AvailabilityZone) -> None:
        self.is_isolated = False
        """Whether no direct way to any upstream is known."""

        self.peers = TunnelPeers(availability_zone)
        self._records: dict[str, _Record] = {}
        self._worked_at = -math.inf
        """When the newest direct connection that delivered data was opened."""

        self._failed_at = -math.inf
        """When a direct connection to any upstream failed last."""

        self._isolated_at = -math.inf
        self._failing_since = -math.inf
        """When the first of the failures occurred that made the process isolated."""

        self._active_at = -math.inf
        """When data arrived last on any direct connection."""

        self._connected_at = -math.inf
        """When the newest direct connection that came about was begun."""

    # Decisions

    def plan(self, address: str, now: float, *, may_repeat: bool) -> ConnectionPlan:
        """Plan a new connection; ``may_repeat`` if its request may be repeated."""
        record = self._records.get(address)
        if not self._is_behind_tunnel(record) or not self.peers.count:
            return Direct()
        record = self._get(address, now)
        if now < record.unreachable_until:
            return Direct()
        interval = TRIAL_INTERVAL_S if may_repeat else UNREPEATABLE_TRIAL_INTERVAL_S
        is_trial = now - record.trial_at >= interval
        if is_trial:
            record.trial_at = now
        return Tunnel(is_trial)

    def is_behind_tunnel(self, address: str) -> bool:
        """Whether new connections to an upstream are made through peers."""
        return self._is_behind_tunnel(self._records.get(address))

    def may_reuse(
        self, address: str, opened_at: float, now: float, *, is_tunnel: bool
    ) -> bool:
        """Whether an idle connection may be reused.

        A direct one may have died in silence with the way. One of a peer is a detour
        once the direct way works again, which only new connections find out.
        """
        record = self._records.get(address)
        if is_tunnel:
            if record is None or now - record.trial_at >= TRIAL_INTERVAL_S:
                return False
            return self._is_behind_tunnel(record)
        if self.is_older_than_isolation(opened_at):
            return False
        return record is None or opened_at > record.failed_at

    def is_older_than_isolation(self, opened_at: float) -> bool:
        """Whether a connection was opened before the current isolation, if any."""
        return self.is_isolated and opened_at <= self._isolated_at

    def judge_open_connections(self, now: float) -> OpenConnections:
        """Tell whether direct connections from before an isolation still carry data.

        They may do so while new ones are refused. They are not given up before a peer
        got through: while all upstreams are down, there is nothing to gain.
        """
        if not self.is_isolated:
            return OpenConnections.ALIVE
        if self._active_at > self._failing_since + DATA_IN_FLIGHT_S:
            return OpenConnections.ALIVE
        is_silent = now - self._active_at >= MIN_SILENCE_S
        if is_silent and self.peers.opened_at >= self._isolated_at:
            return OpenConnections.LOST
        return OpenConnections.UNKNOWN

    def asks_peers_now(self, address: str, now: float) -> bool:
        """Whether a request whose direct connection just failed should use a peer.

        With proof of its own network, the process places it elsewhere instead, which is
        faster if the upstream is dead.
        """
        record = self._records.get(address)
        if record is not None and now < record.unreachable_until:
            return False
        return self.is_isolated or not self._has_proof(now)

    def is_check_due(self, address: str, now: float) -> bool:
        """Whether to check through a peer if the upstream is alive; counts the check.

        It decides whether the next requests there use a tunnel.
        """
        record = self._get(address, now)
        if not self.peers.count or now < record.unreachable_until:
            return False
        if now - record.check_at < CHECK_INTERVAL_S:
            return False
        record.check_at = now
        return True

    def may_blame(self, address: str, now: float) -> bool:
        """Whether a failure at an upstream says something about the upstream.

        An isolated process needs the word of peers.
        """
        if not self.is_isolated:
            return True
        record = self._records.get(address)
        return record is not None and now < record.unreachable_until

    def is_stranded(self, now: float) -> bool:
        """Whether the process is isolated, and so is the peer that replied last.

        A peer that does not reply may be slow or restarting.
        """
        if not self.is_isolated or now - self._isolated_at < MIN_ISOLATION_S:
            return False
        return self.peers.are_isolated(now)

    def needs_more_replies(self, address: str, now: float) -> bool:
        """Whether to ask another peer after one that did not reach the upstream."""
        record = self._get(address, now)
        return now >= record.unreachable_until

    def check_for_peer(self, address: str, now: float) -> TunnelReply | None:
        """Return why this process should not connect for another; ``None`` if it may.

        What failed just now is not tried again.
        """
        if self.is_isolated and now - self._failed_at < RECENT_FAILURE_S:
            return TunnelReply.ISOLATED
        record = self._records.get(address)
        if record is not None and now - record.failed_at < RECENT_FAILURE_S:
            return TunnelReply.UNREACHABLE
        return None

    # Events

    def record_failure(self, address: str, kind: FailureKind, now: float) -> None:
        """Record that a direct connection failed."""
        record = self._get(address, now)
        record.failed_at = self._failed_at = now
        record.failure = kind
        if not self.is_isolated and self._sum_failures(now) >= ISOLATION_WEIGHT:
            failing = self._list_failing(now)
            self.is_isolated = True
            self._isolated_at = now
            self._failing_since = min(self._records[one].failed_at for one in failing)
            logger.warning(
                "process is isolated",
                failing=failing,
                last_success=_round_age(now - self._worked_at),
                peers=self.peers.count,
            )

    def record_connection(self, began: float) -> None:
        """Record that a direct connection came about that was begun at ``began``."""
        self._connected_at = max(self._connected_at, began)

    def record_data(self, address: str, opened_at: float, now: float) -> None:
        """Record data over a direct connection that was opened at ``opened_at``.

        Connections opened before a failure may outlive the way on which they came.
        """
        self._worked_at = max(self._worked_at, opened_at)
        record = self._records.get(address)
        if record is not None and opened_at > record.failed_at:
            if record.is_tunnelled:
                logger.info("upstream is reached directly again", address=address)
            del self._records[address]
        if self.is_isolated and opened_at > self._isolated_at:
            self.is_isolated = False
            # Most often all ways heal at once; an upstream behind a tunnel whose way
            # does not costs one short trial.
            for record in self._records.values():
                record.trial_at = -math.inf
            logger.warning(
                "process is no longer isolated",
                address=address,
                lasted=round(now - self._isolated_at, 3),
            )

    def record_activity(self, now: float) -> None:
        """Record data on a direct connection, however old."""
        self._active_at = now

    def record_reply(
        self, address: str, peer: InstanceId, reply: TunnelReply | None, now: float
    ) -> None:
        """Record the reply of a peer; ``None`` if there was none."""
        record = self._get(address, now)
        self.peers.record_reply(peer, reply, now)
        match reply:
            case TunnelReply.OPENED:
                record.refusals = 0
                record.unreachable_until = -math.inf
                if not record.is_tunnelled:
                    record.is_tunnelled = True
                    record.trial_at = now
                    logger.info(
                        "upstream is reached through a peer", address=address, peer=peer
                    )
            case TunnelReply.UNREACHABLE:
                record.refusals += 1
                needed = min(CONFIRMATIONS, self.peers.count) if self.is_isolated else 1
                if record.refusals >= needed:
                    record.refusals = 0
                    record.is_tunnelled = False
                    record.unreachable_until = now + UNREACHABLE_LIFETIME_S
                    logger.info(
                        "upstream is unreachable for a peer, too",
                        address=address,
                        peer=peer,
                    )

    def expire(self, now: float) -> None:
        """Remove records of upstreams without recent events."""
        for address, record in list(self._records.items()):
            if now - record.changed_at >= RETENTION_S:
                del self._records[address]

    # Evidence

    def _is_behind_tunnel(self, record: _Record | None) -> bool:
        return self.is_isolated or (record is not None and record.is_tunnelled)

    def _has_proof(self, now: float) -> bool:
        return now - self._worked_at < PROOF_LIFETIME_S

    def _list_failing(self, now: float) -> list[str]:
        """List the upstreams that failed since the last success of any.

        Where connections come about, one that does not is due to its upstream, though
        the others send nothing yet. One that was lost takes data to make up for it.
        """
        since = max(self._worked_at, now - FAILURE_WINDOW_S)
        connected_since = max(since, self._connected_at)
        return [
            address
            for address, record in self._records.items()
            if record.failed_at
            > (connected_since if record.failure is FailureKind.CONNECT else since)
        ]

    def _sum_failures(self, now: float) -> float:
        return sum(self._records[one].failure.value for one in self._list_failing(now))

    def _get(self, address: str, now: float) -> _Record:
        record = self._records.setdefault(address, _Record())
        record.changed_at = now
        return record


def _round_age(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
