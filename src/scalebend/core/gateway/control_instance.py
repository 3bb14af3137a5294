"""One control instance: replicated log member, upstream directory, linked fronts.

Every control instance accepts registrations, forwards them to the other control
instances, and pushes changes to the fronts linked to it. The leader of the replicated
log also confirms that the routing document is the newest and places work on engines.
"""

from __future__ import annotations

import msgspec
import structlog

from scalebend.core.consensus.messages import ConsensusMessage, Ready
from scalebend.core.control_member import ControlMember, ToInstance
from scalebend.core.control_state import Barrier, PutRouting
from scalebend.core.gateway.catalog_push import CatalogPush
from scalebend.core.gateway.control_actions import (
    ControlAction,
    ToFront,
)
from scalebend.core.gateway.control_documents import ControlDocuments, DecodeRouting
from scalebend.core.gateway.crash_exchange import CrashExchange
from scalebend.core.gateway.ejection_push import EjectionPush
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.evacuation_push import EvacuationPush
from scalebend.core.gateway.leader_placement import LeaderPlacement
from scalebend.core.gateway.limit_exchange import GRANT_LEASE_S, LimitExchange
from scalebend.core.gateway.messages import (
    AttemptOutcomes,
    ControlStatus,
    CrashUpdates,
    DrainingReport,
    EndpointChanges,
    JobStages,
    KnownInstances,
    LeaseRequest,
    LimitUpdates,
    LinkMessage,
    ObservedLimits,
    OpenJobs,
    PlacementReply,
    PlacementRequest,
    Registrations,
    RejectionReport,
    ReplicaFailures,
    ReplicaPaces,
    SendPermitRequest,
    Subscribe,
    UncoordinatedSends,
)
from scalebend.core.gateway.peer_assignment import PeerAssignment
from scalebend.core.gateway.proposals import Proposals, read_proposal_reply
from scalebend.core.gateway.route_table import RouteTable
from scalebend.core.gateway.slow_start import SlowStarts
from scalebend.core.gateway.upstream_exchange import DirectoryUpdates, UpstreamExchange
from scalebend.core.messages import (
    FoundGroup,
    Hello,
    HelloReply,
    Join,
    ProposalReply,
    RelayReply,
)
from scalebend.exceptions import ErrorKind, RequestError
from scalebend.models.endpoints import (
    Deregistration,
    Endpoint,
    UpstreamOutcomes,
)
from scalebend.models.evacuations import EvacuationOrder
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import (
    AvailabilityZone,
    InstanceId,
    ServiceName,
    UpstreamId,
    UpstreamName,
)
from scalebend.models.placement import (
    EngineWork,
    ReplicaPace,
    is_job_of,
)
from scalebend.models.routing import Routing, StoredRouting
from scalebend.models.tunnels import TunnelPeer

logger = structlog.get_logger(__name__)

HEARTBEAT_INTERVAL_S = 0.5
"""Interval of heartbeats to fronts and relays; see ``edges/gateway/links.py``."""

EXPIRY_INTERVAL_S = 0.5
"""Interval of checks for upstreams whose registrations stopped."""

SUMMARY_INTERVAL_S = 1.0
"""Interval of log lines with the leader's view of the engines."""

MAX_BUSY_REPLICAS = 64
"""Busy replicas listed in a heartbeat, which bounds its size for any fleet. Fronts
regard replicas that are not listed as idle."""


class ControlInstance:
    """State and decisions of one control instance, without I/O."""

    def __init__(
        self,
        member: ControlMember,
        heartbeat_interval: float,
        *,
        now: float,
        bounds: Bounds,
        decode: DecodeRouting | None = None,
        availability_zone: AvailabilityZone | None = None,
    ) -> None:
        self.member = member
        self.upstreams = UpstreamExchange(heartbeat_interval)
        self.crashes = CrashExchange()
        starts = SlowStarts(self.directory, bounds)
        self.limits = LimitExchange(starts)
        self.placement = LeaderPlacement(self.limits, now)
        self.evacuations = EvacuationPush(
            self.directory, availability_zone, heartbeat_interval
        )
        self._ejections = EjectionPush()

        self._fronts: dict[InstanceId, None] = {}
        self._peers = PeerAssignment()
        self._documents = ControlDocuments(member.replica, decode)
        self._catalogs = CatalogPush()
        self._relays: set[InstanceId] = set()
        self._heartbeat_at = now
        self._summary_at = now
        self._expire_at = now
        self._leader: InstanceId | None = None
        self._was_leader = False
        self._proposals = Proposals(member)
        self._documents.load(member.state.routing)
        self.evacuations.load(member.state.evacuations)
        self.limits.apply_routing(self.routing)

    @property
    def me(self) -> InstanceId:
        """The id of this instance."""
        return self.member.me.instance

    @property
    def directory(self) -> EndpointDirectory:
        """The upstreams known to this instance."""
        return self.upstreams.directory

    @property
    def routing(self) -> Routing:
        """The routing document in force."""
        return self._documents.routing

    @property
    def table(self) -> RouteTable:
        """The routes of the document in force."""
        return self._documents.table

    @property
    def scheduler(self) -> EngineScheduler:
        """The open jobs of all fronts, while this instance leads."""
        return self.placement.scheduler

    @property
    def is_leader(self) -> bool:
        """Whether this member leads the replicated log."""
        return self.member.replica.is_leader

    # Members of the control group

    def handle_peer(
        self, sender: InstanceId, message: LinkMessage, now: float, at: float
    ) -> list[ControlAction]:
        """Handle a message of another control instance; ``at`` is the wall clock."""
        match message:
            case Registrations(updates):
                return self._send_updates(self.upstreams.merge(updates, now))
            case CrashUpdates():
                self.crashes.receive_from_peer(message, now)
            case Hello() | HelloReply() | RelayReply() | FoundGroup() | Join():
                self.member.handle(sender, message, now, at)
            case KnownInstances(instances):
                self.member.record_control_instances(instances)
            case _ if isinstance(message, ConsensusMessage):
                self.member.handle(sender, message, now, at)
        return []

    def finish(self, ready: Ready, now: float) -> list[ControlAction]:
        """Continue after the writes of ``ready`` became durable."""
        actions: list[ControlAction] = []
        for action in self.member.finish(ready, now):
            if isinstance(action.message, ProposalReply):
                actions.append(read_proposal_reply(action.message))
            else:
                actions.append(action)
        if self._documents.load(self.member.state.routing):
            self.limits.apply_routing(self.routing)
            actions += self._documents.push.push(now)
        if self.evacuations.load(self.member.state.evacuations):
            actions += self._send_heartbeats(now)
        return actions

    def advance(self, now: float) -> list[ControlAction]:
        """Do all periodic work that is due."""
        self.member.advance(now)
        actions: list[ControlAction] = []
        self._update_leadership(now)
        if self.member.leader != self._leader or now >= self._heartbeat_at:
            self._leader = self.member.leader
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            actions += self._send_heartbeats(now)
            self.scheduler.expire(now)
            self.placement.queue.expire(now)
            self._ejections.expire(now)
            self.crashes.expire(now)
            self.limits.expire(now)
        self._list_zones(now)
        self.placement.paths.advance(now)
        if self.is_leader and now >= self._summary_at:
            self._summary_at = now + SUMMARY_INTERVAL_S
            self.placement.log_summary(len(self._fronts), now)
            known = self.directory.list_ids()
            self.scheduler.retain(known)
            self.limits.retain(known, now)
        actions += self._documents.push.advance(now)
        actions += self._send_catalogs(now)
        actions += self._publish_ejected(now)
        actions += self._documents.reply(now, is_leader=self.is_leader)
        if now >= self._expire_at and self.member.leader is not None:
            # Without a leader, this member itself may be the partitioned one, so that
            # missing registrations say nothing about the upstreams.
            self._expire_at = now + EXPIRY_INTERVAL_S
            actions += self._send_updates(self.upstreams.expire(now))
        actions += self._send_updates(self.upstreams.pop_due(now))
        actions += self._send_crashes(now)
        if self.member.replica.compute_confirmed_at(now) is not None:
            self.limits.update_slots(now)
        actions += self.limits.send_due(now, is_leader=self.is_leader)
        if self.is_leader:
            actions += self._peers.send_due(now)
        return actions + self._release_queued(now)

    def _update_leadership(self, now: float) -> None:
        if self.is_leader == self._was_leader:
            return
        self._was_leader = self.is_leader
        # Fronts report their open jobs again to a new leader.
        self._ejections = EjectionPush()
        self.placement.start_term(self._fronts, now)
        self._peers.resend_all()
        logger.info("leadership changed", leads=self.is_leader)

    def _may_grant(self, now: float) -> bool:
        """Whether no other instance can grant sends to rate-limited upstreams.

        If no upstream is rate-limited, it suffices to lead and to know the open jobs.
        """
        if not self.is_leader or self.placement.is_learning(now):
            return False
        if not self.limits.has_limits and not self.limits.starts.has_any:
            return True
        confirmed_at = self.member.replica.compute_confirmed_at(now)
        return confirmed_at is not None and now - confirmed_at <= GRANT_LEASE_S

    # Fronts

    def add_front(
        self, front: InstanceId, now: float, peer: TunnelPeer | None = None
    ) -> list[ControlAction]:
        """Add a newly linked front and return the initial state to send it.

        ``peer`` is what others need to open tunnels through it, if it accepts any.
        """
        self._fronts[front] = None
        if peer is not None:
            self._peers.add(peer)
        self._documents.push.add_front(front)
        self._catalogs.add_front(front, now)
        self.crashes.add_front(front)
        self.limits.add_front(front, now)
        logger.info("front attached", front=front, fronts=len(self._fronts))
        actions: list[ControlAction] = [ToFront(front, self._build_heartbeat(now))]
        actions += self._send_catalogs(now)
        if self.is_leader:
            actions += self.limits.send_all(front)
        return actions + [*self._ejections.send_current(front)]

    def add_relay(self, relay: InstanceId, now: float) -> list[ControlAction]:
        """Add a newly linked relay, which only receives heartbeats."""
        self._relays.add(relay)
        return [ToFront(relay, self._build_heartbeat(now))]

    def remove_relay(self, relay: InstanceId) -> None:
        """Remove a relay whose link was lost."""
        self._relays.discard(relay)

    def remove_front(self, front: InstanceId, now: float) -> None:
        """Remove a front whose link was lost, with its jobs.

        A front that still runs reports its open jobs again over its next link.
        """
        self._fronts.pop(front, None)
        self._peers.remove(front)
        self._documents.push.remove_front(front)
        self._catalogs.remove_front(front)
        self.crashes.remove_front(front)
        self.limits.remove_front(front, now)
        self.placement.remove_front(front)
        logger.info("front detached", front=front, fronts=len(self._fronts))

    def handle_front(
        self, front: InstanceId, message: LinkMessage, now: float
    ) -> list[ControlAction]:
        """Handle a message of a front."""
        # A vote may have made this member the leader since the last tick. Starting the
        # term later would discard the jobs reported in this message.
        self._update_leadership(now)
        match message:
            case Subscribe(held, is_wanted):
                push = self._documents.push
                return [*push.subscribe(front, held, is_wanted=is_wanted)]
            case LeaseRequest():
                self._documents.request_lease(front, message, now)
                return self._documents.reply(now, is_leader=self.is_leader)
            case PlacementRequest(work, may_wait):
                return [ToFront(front, self._place(work, now, may_wait=may_wait))]
            case JobStages(stages):
                self.placement.record_stages(stages, now)
                return self._release_queued(now)
            case ReplicaFailures(upstreams, overdue):
                self.placement.record_inspection([], upstreams, now)
                self.placement.record_overdue(overdue, now)
            case ReplicaPaces(paces):
                self.placement.record_inspection(paces, [], now)
            case AttemptOutcomes(outcomes):
                self.placement.paths.record(front, message.paths, now)
                return self._record_outcomes(outcomes, now)
            case CrashUpdates():
                self.crashes.receive(message, now)
                return self._send_crashes(now)
            case ObservedLimits(observed):
                self.limits.receive(front, observed, now)
            case LimitUpdates(limits):
                self.limits.merge(front, limits, now)
            case RejectionReport(upstream):
                self.scheduler.record_rejection(upstream, now)
            case DrainingReport(upstreams):
                updates = self.upstreams.record_draining(upstreams, now)
                return self._send_updates(updates)
            case UncoordinatedSends(upstreams):
                for upstream in upstreams:
                    self.limits.budget.spend(upstream, now)
            case SendPermitRequest():
                may_grant = self._may_grant(now)
                reply = self.limits.grant(message, now, may_grant=may_grant)
                return [ToFront(front, reply)]
            case OpenJobs(jobs):
                self.placement.record_front_report(front)
                if self.is_leader:
                    self.placement.adopt(jobs, self.table, now)
        return []

    def _send_crashes(self, now: float) -> list[ControlAction]:
        if not self.crashes.is_due(now):
            return []
        peers = self._list_peers()
        return self.crashes.send_due(self._fronts, peers, now, is_leader=self.is_leader)

    def _send_catalogs(self, now: float) -> list[ControlAction]:
        sent = self._catalogs.send_due(
            self.directory, self.upstreams.changes, now, is_leader=self.is_leader
        )
        return [*sent]

    def _list_instances(self) -> list[InstanceId]:
        members = self.member.replica.members
        all_members = members.all_members if members is not None else frozenset()
        return sorted({member.instance for member in all_members} | {self.me})

    def _list_peers(self) -> list[InstanceId]:
        return [one for one in self._list_instances() if one != self.me]

    def _send_heartbeats(self, now: float) -> list[ControlAction]:
        heartbeat = self._build_heartbeat(now)
        return [ToFront(one, heartbeat) for one in (*self._fronts, *self._relays)]

    def _build_heartbeat(self, now: float) -> ControlStatus:
        return ControlStatus(
            self._list_instances(),
            self.member.leader,
            self.member.replica.term,
            len(self._fronts),
            self.scheduler.list_busy(now, MAX_BUSY_REPLICAS) if self.is_leader else [],
            self.evacuations.get_published(),
            self.placement.paths.health.list_avoided_paths() if self.is_leader else [],
        )

    # Upstreams

    def may_acknowledge(self) -> bool:
        """Whether registrations accepted here reach all fronts.

        Fronts may not know an instance that is new or partitioned from the group.
        """
        return self.member.leader is not None

    def sync_peer(self, instance: InstanceId) -> list[ControlAction]:
        """Return the full state to send over a new link to a control instance."""
        message = Registrations(self.directory.list_updates())
        actions: list[ControlAction] = [ToInstance(instance, message)]  # type: ignore[arg-type]
        return actions + self.crashes.sync_peer(instance)

    def register(self, endpoint: Endpoint, now: float) -> list[ControlAction]:
        """Register an upstream.

        An upstream that is already known with its service is accepted even if the
        service was removed since, so that it can still announce that it drains.

        Raises:
            RequestError: The routing document does not have the service.
        """
        before = self.directory.get(endpoint.upstream)
        is_known = before is not None and before.service == endpoint.service
        if not is_known and not self._names_service(endpoint.service):
            raise RequestError(
                f"service {endpoint.service}", kind=ErrorKind.UNKNOWN_SERVICE
            )
        return self._send_updates(self.upstreams.register(endpoint, now))

    def _names_service(self, service: ServiceName) -> bool:
        """Whether the routing document has the service; true without any document."""
        return self.routing.version == 0 or service in self.table.services

    def deregister(
        self, name: UpstreamName, now: float, born: int | None = None
    ) -> list[ControlAction]:
        """Deregister an upstream at its own request."""
        departure = Deregistration(name, born)
        return self._send_updates(self.upstreams.deregister(departure, now))

    def _send_updates(self, updates: DirectoryUpdates) -> list[ControlAction]:
        actions: list[ControlAction] = []
        if updates.to_peers:
            # All peers share one message, which is then encoded only once.
            registrations = Registrations(updates.to_peers)
            actions += [
                ToInstance(instance, registrations)  # type: ignore[arg-type]
                for instance in self._list_peers()
            ]
        if updates.to_fronts:
            changes = EndpointChanges(updates.to_fronts)
            actions += [ToFront(front, changes) for front in self._fronts]
        return actions

    def list_engines(self) -> dict[UpstreamId, str]:
        """Addresses of the engine replicas whose pace the leader polls."""
        return {
            endpoint.upstream: endpoint.address
            for service in self.routing.services
            if service.engine is not None
            for endpoint in self.directory.list_usable(service.name)
        }

    def record_inspection(
        self, paces: list[ReplicaPace], unresponsive: list[UpstreamId], now: float
    ) -> None:
        """Record the paces that replicas reported and the unresponsive replicas.

        If none of several replied, this instance is more likely to be partitioned from
        them than all of them are to be dead, which fronts would notice.
        """
        if not paces and len(unresponsive) > 1:
            logger.warning("no engine replied", asked=len(unresponsive))
            return
        self.placement.record_inspection(paces, unresponsive, now)

    def _record_outcomes(
        self, outcomes: list[UpstreamOutcomes], now: float
    ) -> list[ControlAction]:
        """As leader, record the outcomes of a front's attempts."""
        if not self.is_leader:
            return []
        self._ejections.record(outcomes, self.directory, now)
        return self._publish_ejected(now)

    def _publish_ejected(self, now: float) -> list[ControlAction]:
        return [*self._ejections.publish(self._fronts, self.scheduler, now)]

    # Routing documents

    def propose_routing(self, stored: StoredRouting, now: float, at: float) -> str:
        """As leader, propose a document; :class:`ProposalEnded` returns the result."""
        return self._proposals.propose(PutRouting(stored), now, at)

    def propose_evacuation(self, order: EvacuationOrder, now: float, at: float) -> str:
        """As leader, propose an order; :class:`ProposalEnded` returns the result.

        Raises the errors of :meth:`EvacuationPush.check`.
        """
        listed = self.member.state.zones
        self.evacuations.check(order, self._list_instances(), listed, now)
        held = self.evacuations.newest.revision
        order = msgspec.structs.replace(order, held=held)
        return self._proposals.propose(Barrier(order), now, at)

    def check_evacuation_members(self) -> None:
        """Raise the error of :meth:`EvacuationPush.check_members`, also as follower."""
        self.evacuations.check_members(self._list_instances())

    def _list_zones(self, now: float) -> None:
        """As leader, add zones that are new here to those in the log."""
        confirmed_at = self.member.replica.compute_confirmed_at(now)
        self.evacuations.record_lead(is_confirmed=confirmed_at is not None, now=now)
        if zones := self.evacuations.list_unlisted(self.member.state.zones, now):
            # Without a wall clock: the entry leaves the state's clock as it is.
            self._proposals.propose(Barrier(zones=zones), now, 0.0)

    def request_fresh_read(self, now: float) -> int:
        """Request a confirmed read; :class:`ReadConfirmed` names the returned id."""
        return self._documents.request_fresh_read(now)

    # Placement

    def _place(self, work: EngineWork, now: float, *, may_wait: bool) -> PlacementReply:
        if not self.is_leader:
            return PlacementReply(work.job)
        may_grant = self._may_grant(now)
        return self.placement.place(
            work,
            self.table,
            self.directory,
            now,
            may_grant=may_grant,
            may_wait=may_wait,
        )

    def _release_queued(self, now: float) -> list[ControlAction]:
        """As leader, reply to queued requests for which there is room now."""
        if not self.is_leader or not self.placement.queue.waiting:
            return []
        replies = self.placement.release(
            self.table, self.directory, now, may_grant=self._may_grant(now)
        )
        return [
            ToFront(front, reply)
            for reply in replies
            for front in self._fronts
            if is_job_of(front, reply.job)
        ]
