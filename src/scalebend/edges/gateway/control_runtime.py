"""One running control instance: its log on disk, its links and its timers.

What serves HTTP is not needed here and takes longer to load than the rest: a group that
starts again after the loss of all elects a leader meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from functools import partial
from pathlib import Path

import structlog

from scalebend.core.consensus.messages import Ready, Recovered
from scalebend.core.control_member import ControlMember, ToInstance
from scalebend.core.gateway.control_actions import (
    ControlAction,
    ProposalEnded,
    ReadConfirmed,
    ToFront,
)
from scalebend.core.gateway.control_instance import ControlInstance
from scalebend.core.gateway.messages import (
    Heartbeat,
    Introduce,
    KnownInstances,
    LinkMessage,
)
from scalebend.core.gateway.route_table import check_routing
from scalebend.core.gateway.routing_store import pack_routing, unpack_document
from scalebend.core.messages import RelayReply
from scalebend.edges.control_pump import pump_control
from scalebend.edges.gateway.hint_store import HintStore
from scalebend.edges.gateway.links import HEARTBEAT, Dialer, LinkServer
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.gateway_settings import GatewayRole, GatewaySettings
from scalebend.models.ids import InstanceId, RoutingVersion
from scalebend.platform.routing import decode_routing
from scalebend.storage.crash_file import read_crashes, write_crashes
from scalebend.storage.journal import Journal
from scalebend.storage.upstream_file import read_upstreams, write_upstreams

logger = structlog.get_logger(__name__)

TICK = 0.02
"""Seconds between two calls of the core's timers, a fifth of the log's heartbeat."""

QUORUM_TIMEOUT = 0.8
"""Seconds for a decision of the control group; callers try another instance after
one second without an answer."""


class ControlRuntime:
    """One running control instance."""

    def __init__(
        self,
        settings: GatewaySettings,
        folder: Path,
        journal: Journal,
        recovered: Recovered,
        metrics: GatewayMetrics,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        me = settings.instance
        peers = [InstanceId(seed) for seed in settings.seeds if seed != me]
        member = ControlMember(
            me,
            peers,
            recovered,
            now=self.now(),
            seed=time.time_ns(),
            may_found=settings.is_first_start and me in settings.seeds,
            may_be_sole_founder=settings.is_first_start,
            voters_wanted=2 * settings.tolerated_losses + 1,
        )
        self.instance = ControlInstance(
            member, settings.heartbeat_interval, now=self.now()
        )
        self.instance.upstreams.restore(read_upstreams(folder), self.now())
        self.instance.crashes.restore(read_crashes(folder), self.now())
        self._upstream_store = HintStore(
            self.instance.directory.list_updates, partial(write_upstreams, folder)
        )
        self._crash_store = HintStore(
            self.instance.crashes.ledger.list_records, partial(write_crashes, folder)
        )
        introduction = Introduce(me, time.time_ns(), settings.role)
        self.dialer = Dialer(
            introduction, self._hear_relay, self._introduce, lambda _: None, metrics
        )
        self.server = LinkServer(self._receive, self._note_up, self._note_down, metrics)
        self.failure: asyncio.Future[None] = self._loop.create_future()
        self._proposals: dict[str, asyncio.Future[RoutingVersion | None]] = {}
        self._readers: dict[int, asyncio.Future[None]] = {}
        self._is_pumping = False
        self._heartbeat_at = 0.0

    def now(self) -> float:
        """Seconds of the clock that only runs forward."""
        return self._loop.time()

    async def run(self) -> None:
        """Run the timers until cancelled."""
        while True:
            self.execute(self.instance.advance(self.now()))
            self.dialer.close_silent(self.now())
            self.server.close_silent(self.now())
            self._send_heartbeats()
            self._store_hints()
            self.schedule_pump()
            await asyncio.sleep(TICK)

    def _store_hints(self) -> None:
        instance = self.instance
        self._upstream_store.store_due(instance.upstreams.changes, self.now())
        self._crash_store.store_due(instance.crashes.ledger.changes, self.now())

    def _send_heartbeats(self) -> None:
        if self.now() >= self._heartbeat_at:
            self._heartbeat_at = self.now() + HEARTBEAT
            self.dialer.send_to_all(Heartbeat())
            self.server.send_to_all(Heartbeat())

    # Links

    def _receive(self, peer: Introduce, message: LinkMessage) -> None:
        if peer.role is GatewayRole.FRONT:
            actions = self.instance.handle_front(peer.instance, message, self.now())
            self.execute(actions)
        elif peer.role is GatewayRole.CONTROL:
            self._take_peer_message(peer.instance, message)

    def _hear_relay(self, instance: InstanceId, message: LinkMessage) -> None:
        """Over a link that this member dialled, only relays answer."""
        if isinstance(message, RelayReply | KnownInstances):
            self._take_peer_message(instance, message)

    def _take_peer_message(self, sender: InstanceId, message: LinkMessage) -> None:
        now = self.now()
        self.execute(self.instance.handle_peer(sender, message, now, time.time()))
        self.schedule_pump()

    def _introduce(self, instance: InstanceId) -> None:
        self.execute(self.instance.sync_peer(instance))

    def _note_up(self, peer: Introduce) -> None:
        match peer.role:
            case GatewayRole.FRONT:
                self.execute(self.instance.add_front(peer.instance, self.now()))
            case GatewayRole.RELAY:
                self.execute(self.instance.add_relay(peer.instance, self.now()))
            case GatewayRole.CONTROL:
                # It runs, so it can be dialled without waiting any longer.
                self.dialer.dial_now(peer.instance)

    def _note_down(self, peer: Introduce) -> None:
        match peer.role:
            case GatewayRole.FRONT:
                self.instance.remove_front(peer.instance, self.now())
            case GatewayRole.RELAY:
                self.instance.remove_relay(peer.instance)
            case GatewayRole.CONTROL:
                replica = self.instance.member.replica
                replica.record_link_loss(peer.instance, self.now())

    def execute(self, actions: Iterable[ControlAction]) -> None:
        """Carry out actions of the core."""
        for action in actions:
            match action:
                case ToInstance(instance, message):
                    self.dialer.send(instance, message)  # type: ignore[arg-type]
                case ToFront(front, message):
                    self.server.send(front, message)
                case ProposalEnded(proposal, held):
                    future = self._proposals.pop(proposal, None)
                    if future is not None and not future.done():
                        future.set_result(held)
                case ReadConfirmed(readers):
                    self._confirm(readers)

    def _confirm(self, readers: list[int]) -> None:
        for reader in readers:
            future = self._readers.pop(reader, None)
            if future is not None and not future.done():
                future.set_result(None)

    # The replicated log

    def schedule_pump(self) -> None:
        """Let the member write and send, once for all of this turn's work."""
        if not self._is_pumping and not self.failure.done():
            self._is_pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pumping = False
        if self.failure.done():
            return
        try:
            pump_control(self.instance.member, self._journal, self._finish, self.now())
        except OSError as error:
            # What was not written must not be answered for: start over from disk.
            logger.error("log not written", error=str(error))
            self.failure.set_result(None)

    def _finish(self, ready: Ready) -> None:
        self.execute(self.instance.finish(ready, self.now()))

    async def put_routing(self, data: bytes) -> RoutingVersion:
        """As leader, let the group take a document; return the version that holds."""
        routing = decode_routing(data)
        check_routing(routing)
        if routing.version <= self.instance.routing.version:
            return self.instance.routing.version
        stored = pack_routing(routing, data)
        name = self.instance.propose_routing(stored, self.now(), time.time())
        future: asyncio.Future[RoutingVersion | None] = self._loop.create_future()
        self._proposals[name] = future
        self.schedule_pump()
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT):
                held = await future
        except TimeoutError:
            held = None
        finally:
            self._proposals.pop(name, None)
        if held is None:
            raise build_no_quorum()
        return held

    async def read_document(self) -> bytes:
        """As leader, return the newest document, confirmed by a quorum."""
        reader = self.instance.request_fresh_read(self.now())
        future: asyncio.Future[None] = self._loop.create_future()
        self._readers[reader] = future
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT):
                await future
        except TimeoutError:
            raise build_no_quorum() from None
        finally:
            self._readers.pop(reader, None)
        stored = self.instance.member.state.routing
        if stored is None:
            raise RefusedError("no document was accepted yet", kind=ErrorKind.NOT_READY)
        return unpack_document(stored)


def build_no_quorum() -> RefusedError:
    """What a caller is told when the group cannot decide now."""
    return RefusedError("no quorum answered", kind=ErrorKind.NO_QUORUM)
