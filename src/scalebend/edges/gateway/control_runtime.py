"""One running control instance: its log on disk, its links and its timers.

Imports nothing that serves HTTP: those libraries load slowly, and after a restart of
the whole group the members elect a leader while they load.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from functools import partial
from pathlib import Path

import structlog

from scalebend.core.consensus.messages import Place, Ready, Recovered
from scalebend.core.consensus.voter_spread import Tolerance
from scalebend.core.control_member import ControlMember, ToInstance
from scalebend.core.control_state import EvacuationResult, RoutingResult
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
from scalebend.edges.gateway.evacuation_watch import EvacuationWatch
from scalebend.edges.gateway.links import HEARTBEAT_INTERVAL_S, Dialer, LinkServer
from scalebend.edges.gateway.list_writer import ListWriter
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.stalls import StallGuard
from scalebend.exceptions import ErrorKind, Ran, RefusedError
from scalebend.models.evacuations import EvacuationOrder
from scalebend.models.founding import Founding
from scalebend.models.gateway_settings import GatewayRole, GatewaySettings
from scalebend.models.ids import EvacuationRevision, InstanceId, RoutingVersion
from scalebend.platform.routing import decode_routing
from scalebend.storage.crash_file import (
    read_crashes,
    read_part_crashes,
    write_crashes,
    write_part_crashes,
)
from scalebend.storage.journal import Journal
from scalebend.storage.upstream_file import read_upstreams, write_upstreams

logger = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.02
"""Seconds between two calls of the core's timers, a fifth of the log's heartbeat
interval."""

QUORUM_TIMEOUT_S = 0.8
"""Time limit for a decision of the control group; shorter than the one second after
which clients try another instance."""


class ControlRuntime:
    """One running control instance."""

    def __init__(
        self,
        settings: GatewaySettings,
        folder: Path,
        founding: Founding | None,
        journal: Journal,
        recovered: Recovered,
        metrics: GatewayMetrics,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self._journal = journal
        self._loop = asyncio.get_running_loop()
        own_id = settings.instance
        founders = founding.founders if founding is not None else settings.seeds
        peers = [InstanceId(seed) for seed in founders if seed != own_id]
        member = ControlMember(
            own_id,
            peers,
            recovered,
            now=self.now(),
            seed=time.time_ns(),
            may_found=founding is not None and own_id in founding.founders,
            needs_all_founders=founding is not None and founding.needs_all,
            may_be_sole_founder=founding is not None,
            demand=Tolerance(
                settings.tolerated_losses,
                settings.tolerated_zones,
                settings.tolerated_regions,
            ),
            place=Place(settings.availability_zone, settings.region),
        )
        self.instance = ControlInstance(
            member,
            settings.heartbeat_interval,
            now=self.now(),
            availability_zone=settings.availability_zone,
            bounds=settings.bounds,
            decode=decode_routing,
        )
        self.instance.upstreams.restore(read_upstreams(folder), self.now())
        self.instance.crashes.restore(read_crashes(folder), self.now())
        self.instance.crashes.restore_parts(read_part_crashes(folder), self.now())
        self._upstream_writer = ListWriter(
            self.instance.directory.list_updates, partial(write_upstreams, folder)
        )
        self._crash_writer = ListWriter(
            self.instance.crashes.ledger.list_records, partial(write_crashes, folder)
        )
        self._part_writer = ListWriter(
            self.instance.crashes.parts.list_records,
            partial(write_part_crashes, folder),
        )
        introduction = Introduce(
            own_id, time.time_ns(), settings.role, knows_evacuations=True
        )
        self.dialer = Dialer(
            introduction,
            self._receive_from_relay,
            self._sync_peer,
            lambda _: None,
            metrics,
        )
        self.server = LinkServer(
            self._receive, self._handle_link_up, self._handle_link_down, metrics
        )
        self.failure: asyncio.Future[None] = self._loop.create_future()
        self._pending_proposals: dict[
            str, asyncio.Future[RoutingResult | EvacuationResult | None]
        ] = {}
        self._pending_reads: dict[int, asyncio.Future[None]] = {}
        self._is_pumping = False
        self._is_closing = False
        self._next_heartbeat_at = 0.0
        self._evacuations = EvacuationWatch(metrics)
        self._evacuations.report(self.instance.evacuations.newest)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()

    def set_seeds(self, seeds: list[InstanceId]) -> None:
        """Keep links to the seeds, and ask them for the group if there is no leader.

        A seed may be a relay that has restarted: it learns of the group by such links.
        """
        self.instance.member.record_control_instances(seeds)
        for seed in seeds:
            self.dialer.dial(seed)

    async def run(self) -> None:
        """Run the timers until cancelled."""
        self.set_seeds([InstanceId(seed) for seed in self.settings.seeds])
        guard = StallGuard(TICK_INTERVAL_S, self.now(), self.metrics.count_stall)
        while True:
            if guard.may_run(self.now()):
                self._tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        self.execute(self.instance.advance(self.now()))
        self.dialer.close_unresponsive(self.now())
        self.server.close_unresponsive(self.now())
        self._send_heartbeats()
        self.metrics.set_waiting_requests(self.instance.placement.queue.waiting)
        self._write_lists()
        for outcome in self.instance.placement.queue.returns.pop_outcomes():
            self.metrics.count_prompt_without_room(outcome.value)
        self.schedule_pump()

    def _write_lists(self) -> None:
        instance = self.instance
        self._upstream_writer.write_if_due(instance.upstreams.changes, self.now())
        self._crash_writer.write_if_due(instance.crashes.ledger.changes, self.now())
        self._part_writer.write_if_due(instance.crashes.parts.changes, self.now())

    def _send_heartbeats(self) -> None:
        if self.now() >= self._next_heartbeat_at:
            self._next_heartbeat_at = self.now() + HEARTBEAT_INTERVAL_S
            self.dialer.send_to_all(Heartbeat())
            self.server.send_to_all(Heartbeat())

    # Links

    def _receive(self, peer: Introduce, message: LinkMessage) -> None:
        if peer.role is GatewayRole.FRONT:
            actions = self.instance.handle_front(peer.instance, message, self.now())
            self.execute(actions)
        elif peer.role is GatewayRole.CONTROL:
            self._handle_peer_message(peer.instance, message)

    def _receive_from_relay(self, instance: InstanceId, message: LinkMessage) -> None:
        """Handle a message over a dialled link; only relays send there."""
        if isinstance(message, RelayReply | KnownInstances):
            self._handle_peer_message(instance, message)

    def _handle_peer_message(self, sender: InstanceId, message: LinkMessage) -> None:
        now = self.now()
        self.execute(self.instance.handle_peer(sender, message, now, time.time()))
        self.schedule_pump()

    def _sync_peer(self, instance: InstanceId) -> None:
        self.execute(self.instance.sync_peer(instance))

    def _handle_link_up(self, peer: Introduce) -> None:
        match peer.role:
            case GatewayRole.FRONT:
                now = self.now()
                self.execute(self.instance.add_front(peer.instance, now, peer.peer))
            case GatewayRole.RELAY:
                self.execute(self.instance.add_relay(peer.instance, self.now()))
            case GatewayRole.CONTROL:
                self.instance.evacuations.record_member(
                    peer.instance, knows_evacuations=peer.knows_evacuations
                )
                # The peer is up: do not wait for the next redial.
                self.dialer.dial_now(peer.instance)

    def _handle_link_down(self, peer: Introduce) -> None:
        match peer.role:
            case GatewayRole.FRONT:
                self.instance.remove_front(peer.instance, self.now())
            case GatewayRole.RELAY:
                self.instance.remove_relay(peer.instance)
            case GatewayRole.CONTROL:
                replica = self.instance.member.replica
                replica.record_link_loss(peer.instance, self.now())

    def execute(self, actions: Iterable[ControlAction]) -> None:
        """Perform actions that the core decided on."""
        for action in actions:
            match action:
                case ToInstance(instance, message):
                    self.dialer.send(instance, message)  # type: ignore[arg-type]
                case ToFront(front, message):
                    self.server.send(front, message)
                case ProposalEnded(proposal, result):
                    future = self._pending_proposals.pop(proposal, None)
                    if future is not None and not future.done():
                        future.set_result(result)
                case ReadConfirmed(readers):
                    self._resolve_reads(readers)

    def _resolve_reads(self, readers: list[int]) -> None:
        for reader in readers:
            future = self._pending_reads.pop(reader, None)
            if future is not None and not future.done():
                future.set_result(None)

    # The replicated log

    def schedule_pump(self) -> None:
        """Schedule one write and send for all work of this event loop iteration."""
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
            # Unwritten entries must not be acknowledged: restart from the disk.
            logger.error("log not written", error=str(error))
            self.failure.set_result(None)

    def _finish(self, ready: Ready) -> None:
        self.execute(self.instance.finish(ready, self.now()))
        self._evacuations.report(self.instance.evacuations.newest)

    def refuse_pending(self) -> None:
        """End the calls that wait for a decision, which this member makes no more."""
        self._is_closing = True
        for proposal in self._pending_proposals.values():
            if not proposal.done():
                proposal.set_result(None)
        for read in self._pending_reads.values():
            if not read.done():
                read.set_exception(build_no_quorum_error())

    async def put_routing(self, data: bytes) -> RoutingVersion:
        """As leader, propose a document; return the version that is in force."""
        routing = decode_routing(data)
        check_routing(routing)
        if routing.version <= self.instance.routing.version:
            return self.instance.routing.version
        stored = pack_routing(routing, data)
        name = self.instance.propose_routing(stored, self.now(), time.time())
        result = await self._wait_for_proposal(name)
        assert isinstance(result, RoutingResult)
        return result.version

    async def order_evacuation(self, order: EvacuationOrder) -> EvacuationRevision:
        """As leader, propose an order; return the revision that is in force."""
        name = self.instance.propose_evacuation(order, self.now(), time.time())
        result = await self._wait_for_proposal(name)
        assert isinstance(result, EvacuationResult)
        return result.revision

    async def _wait_for_proposal(self, name: str) -> RoutingResult | EvacuationResult:
        """Return the result of a proposal once a quorum has it on disk."""
        future: asyncio.Future[RoutingResult | EvacuationResult | None]
        future = self._loop.create_future()
        self._pending_proposals[name] = future
        if self._is_closing:
            future.set_result(None)
        self.schedule_pump()
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT_S):
                result = await future
        except TimeoutError:
            result = None
        finally:
            self._pending_proposals.pop(name, None)
        if result is None:
            # Its entry may be in the log of others, and be committed by a later leader.
            error = build_no_quorum_error()
            error.ran = Ran.UNKNOWN
            raise error
        return result

    async def read_document(self) -> bytes:
        """As leader, return the latest document after a quorum confirmed the lead."""
        await self.confirm_lead()
        stored = self.instance.member.state.routing
        if stored is None:
            raise RefusedError("no document was accepted yet", kind=ErrorKind.NOT_READY)
        return unpack_document(stored)

    async def confirm_lead(self) -> None:
        """Wait until a quorum confirms that this member leads, or raise an error."""
        if self._is_closing:
            raise build_no_quorum_error()
        reader = self.instance.request_fresh_read(self.now())
        future: asyncio.Future[None] = self._loop.create_future()
        self._pending_reads[reader] = future
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT_S):
                await future
        except TimeoutError:
            raise build_no_quorum_error() from None
        finally:
            self._pending_reads.pop(reader, None)


def build_no_quorum_error() -> RefusedError:
    """Return the error for requests that the group cannot decide on now."""
    return RefusedError("no quorum replied in time", kind=ErrorKind.NO_QUORUM)
