"""Opens connections to upstreams, directly or through peers, and collects evidence."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

import aiohttp
import msgspec
import structlog

from scalebend.core.upstream_reach import (
    Direct,
    FailureKind,
    OpenConnections,
    Tunnel,
    UpstreamReach,
)
from scalebend.edges.connection_checks import (
    Acceptance,
    check_acceptance,
    is_own_fault,
)
from scalebend.models.ids import AvailabilityZone
from scalebend.models.tunnels import TunnelPeer, TunnelReply

if TYPE_CHECKING:
    from scalebend.edges.gateway.upstream_client import StrictResponseHandler

logger = structlog.get_logger(__name__)

TRIAL_TIMEOUT_S = 0.02
"""Time for the direct trial of an upstream behind tunnels: some round trips within a
region, and little of the target latency of a quick prompt."""

PEERS_TIMEOUT_S = 0.3
"""Time after which no further peer is asked for a request."""

JUDGE_INTERVAL_S = 0.05
"""Interval at which it is checked what became of open connections."""

ConnectDirectly = Callable[[float], Awaitable["StrictResponseHandler"]]
"""Connects to the upstream within a timeout in seconds.

Raises :class:`aiohttp.ClientConnectorError` or :class:`TimeoutError`."""


CheckAcceptance = Callable[[str], Awaitable[Acceptance]]
"""Finds out whether the host at an address accepts connections."""


class NewConnection(msgspec.Struct, frozen=True):
    """A connection that is needed."""

    address: str
    connect_directly: ConnectDirectly
    build_handler: Callable[[], StrictResponseHandler]
    """Builds the protocol of a connection that is not open yet."""

    timeout_s: float
    """Timeout of the direct way."""

    may_repeat: bool
    """Whether its request may be repeated."""


class DialerHost(Protocol):
    """What a process provides for its dialer."""

    reach: UpstreamReach

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def spawn(self, work: Coroutine[Any, Any, object]) -> object:
        """Run ``work`` as a background task."""

    def find_zone(self, address: str) -> AvailabilityZone | None:
        """Return the zone of the upstream at an address, if known."""

    def record_direct_failure(self, address: str, kind: FailureKind) -> None:
        """Record that a direct connection failed."""

    def count_reply(self, reply: TunnelReply | None) -> None:
        """Count the reply of a peer; ``None`` if there was none."""

    def count_abandoned(self, connections: int) -> None:
        """Count open connections that were given up."""

    async def open_tunnel(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        """Connect ``handler`` through a peer; ``None`` if it did not reply."""


class UpstreamDialer:
    """Opens the upstream connections of one process."""

    def __init__(
        self, host: DialerHost, check: CheckAcceptance = check_acceptance
    ) -> None:
        self._host = host
        self._check_acceptance = check
        self._reach = host.reach
        self._direct: set[StrictResponseHandler] = set()
        self._is_judging = False

    async def connect(self, needed: NewConnection) -> StrictResponseHandler:
        """Open a connection; raise the error of the direct way if none comes about."""
        plan = self._reach.plan(
            needed.address, self._host.now(), may_repeat=needed.may_repeat
        )
        match plan:
            case Direct():
                return await self._connect_direct_first(needed)
            case Tunnel(is_trial):
                return await self._connect_tunnel_first(needed, is_trial=is_trial)

    async def _connect_direct_first(
        self, needed: NewConnection
    ) -> StrictResponseHandler:
        try:
            return await self._connect_directly(needed, needed.timeout_s)
        except (aiohttp.ClientConnectorError, TimeoutError):
            if self._reach.asks_peers_now(needed.address, self._host.now()):
                handler = await self._connect_through_peers(needed)
                if handler is not None:
                    return handler
            elif self._reach.is_check_due(needed.address, self._host.now()):
                self._host.spawn(self._check(needed))
            raise

    async def _connect_tunnel_first(
        self, needed: NewConnection, *, is_trial: bool
    ) -> StrictResponseHandler:
        if is_trial:
            try:
                return await self._connect_directly(
                    needed, min(TRIAL_TIMEOUT_S, needed.timeout_s)
                )
            except (aiohttp.ClientConnectorError, TimeoutError) as error:
                logger.debug("direct trial failed", error=str(error))
        handler = await self._connect_through_peers(needed)
        if handler is not None:
            return handler
        timeout_s = needed.timeout_s
        if self._reach.is_stranded(self._host.now()):
            timeout_s = min(TRIAL_TIMEOUT_S, timeout_s)
        # The direct way may work again, or just be slower than a trial.
        return await self._connect_directly(needed, timeout_s)

    async def _connect_directly(
        self, needed: NewConnection, timeout_s: float
    ) -> StrictResponseHandler:
        began = self._host.now()
        try:
            handler = await needed.connect_directly(timeout_s)
        except (aiohttp.ClientConnectorError, TimeoutError) as error:
            if not is_own_fault(error, self._host.now() - began, timeout_s):
                self._host.record_direct_failure(needed.address, FailureKind.CONNECT)
            raise
        self._reach.record_connection(began)
        handler.watch(self, needed.address, began, None)
        self._direct.add(handler)
        return handler

    async def _connect_through_peers(
        self, needed: NewConnection
    ) -> StrictResponseHandler | None:
        """Ask peers one after the other; ``None`` if none of them gets through."""
        address = needed.address
        started_at = self._host.now()
        zone = self._host.find_zone(address)
        for peer in self._reach.peers.list_by_preference(zone, started_at):
            handler = needed.build_handler()
            reply = await self._ask(peer, address, handler)
            now = self._host.now()
            if reply is TunnelReply.OPENED:
                handler.watch(self, address, now, peer.instance)
                return handler
            if not self._reach.needs_more_replies(address, now):
                break
            if now - started_at >= PEERS_TIMEOUT_S:
                break
        return None

    async def _ask(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        reply = await self._host.open_tunnel(peer, address, handler)
        self._reach.record_reply(address, peer.instance, reply, self._host.now())
        self._host.count_reply(reply)
        if reply is TunnelReply.OPENED and self._reach.is_isolated:
            self._begin_judging()
        return reply

    async def _check(self, needed: NewConnection) -> None:
        """Find out whether an upstream is alive that was not reached directly."""
        handler = await self._connect_through_peers(needed)
        if handler is not None:
            handler.close()

    # Open connections

    def _begin_judging(self) -> None:
        if not self._is_judging:
            self._is_judging = True
            self._host.spawn(self._judge_open_connections())

    async def _judge_open_connections(self) -> None:
        """End direct connections if they turn out to be lost with the path."""
        try:
            while True:
                match self._reach.judge_open_connections(self._host.now()):
                    case OpenConnections.ALIVE:
                        return
                    case OpenConnections.LOST:
                        if await self._abandon_lost():
                            return
                await asyncio.sleep(JUDGE_INTERVAL_S)
        finally:
            self._is_judging = False

    async def _abandon_lost(self) -> bool:
        """End the connections whose requests may be sent again through a peer.

        Those to hosts that accept connections are kept: their upstreams pause. Return
        whether it is known what became of all of them.
        """
        addresses = list({handler.address for handler in self._list_doubtful()})
        found = await asyncio.gather(*map(self._check_acceptance, addresses))
        state = self._reach.judge_open_connections(self._host.now())
        if state is not OpenConnections.LOST:
            return False
        acceptances = dict(zip(addresses, found, strict=True))
        lost = [
            handler
            for handler in self._list_doubtful()
            if acceptances.get(handler.address) is Acceptance.NOT_ACCEPTED
        ]
        if lost:
            logger.warning(
                "lost connections abandoned",
                connections=len(lost),
                kept=found.count(Acceptance.ACCEPTED),
            )
            self._host.count_abandoned(len(lost))
        for handler in lost:
            handler.abandon()
        return Acceptance.UNKNOWN not in found

    def _list_doubtful(self) -> list[StrictResponseHandler]:
        """List connections from before the isolation that may be given up."""
        return [
            handler
            for handler in self._direct
            if handler.may_abandon()
            and self._reach.is_older_than_isolation(handler.opened_at)
        ]

    def remove(self, handler: StrictResponseHandler) -> None:
        """Remove a connection that has ended."""
        self._direct.discard(handler)

    # Evidence of open connections

    def may_reuse(self, address: str, opened_at: float, *, is_tunnel: bool) -> bool:
        """Whether an idle connection may be reused."""
        now = self._host.now()
        return self._reach.may_reuse(address, opened_at, now, is_tunnel=is_tunnel)

    def record_activity(self) -> None:
        """Record data on a direct connection."""
        self._reach.record_activity(self._host.now())

    def record_data(self, address: str, opened_at: float) -> None:
        """Record the first data on a direct connection."""
        self._reach.record_data(address, opened_at, self._host.now())

    def record_early_loss(self, address: str) -> None:
        """Record that a direct connection was lost before the response began."""
        self._host.record_direct_failure(address, FailureKind.EARLY_LOSS)
