"""One control instance of the gateway: its vote, the upstreams, and its fronts.

Every control instance takes registrations and passes them on to the others; each
pushes changes to all fronts that are linked to it. The leader of the replicated log
also confirms the routing document's freshness and places work on engines.
"""

from __future__ import annotations

import structlog

from scalebend.core.consensus.messages import ConsensusMessage, Ready
from scalebend.core.control_member import ControlMember, ToInstance
from scalebend.core.control_state import PutRouting, RoutingHeld, encode_command
from scalebend.core.gateway.catalogue_push import CataloguePush
from scalebend.core.gateway.control_actions import (
    ControlAction,
    ProposalEnded,
    ReadConfirmed,
    ToFront,
)
from scalebend.core.gateway.crash_exchange import CrashExchange
from scalebend.core.gateway.ejection_push import EjectionPush
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.freshness import FreshnessQuestion, FreshnessQuestions
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
    LeaseReply,
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
from scalebend.core.gateway.route_table import RouteTable
from scalebend.core.gateway.routing_push import RoutingPush
from scalebend.core.gateway.routing_store import unpack_routing
from scalebend.core.gateway.upstream_exchange import UpstreamExchange, UpstreamNews
from scalebend.core.messages import (
    FoundGroup,
    Hello,
    HelloReply,
    Join,
    ProposalReply,
    Propose,
    RelayReply,
)
from scalebend.exceptions import ErrorKind, RequestError
from scalebend.models.endpoints import (
    Departure,
    Endpoint,
    UpstreamOutcomes,
)
from scalebend.models.ids import InstanceId, ServiceName, UpstreamId, UpstreamName
from scalebend.models.placement import (
    EngineWork,
    ReplicaPace,
)
from scalebend.models.routing import (
    EMPTY_ROUTING,
    StoredRouting,
)

logger = structlog.get_logger(__name__)

NEWS_PERIOD = 0.5
"""Seconds between two heartbeats to a front; see ``edges/gateway/links.py``."""

EXPIRE_PERIOD = 0.5
"""Seconds between two searches for upstreams that fell silent."""

SUMMARY_PERIOD = 1.0
"""Seconds between two log lines on what the leader believes of the engines."""

BUSY_TOLD = 64
"""Busy replicas told to each front with a heartbeat: 30 bytes each, so 4 KB a second
whatever the size of the fleet. Those that are not told of look idle."""


class ControlInstance:
    """State and decisions of one control instance, without I/O."""

    def __init__(
        self, member: ControlMember, heartbeat_interval: float, *, now: float
    ) -> None:
        self.member = member
        self.upstreams = UpstreamExchange(heartbeat_interval)
        self.crashes = CrashExchange()
        self.limits = LimitExchange()
        self.placement = LeaderPlacement(self.limits, now)
        self._ejections = EjectionPush()

        self.routing = EMPTY_ROUTING
        self.table = RouteTable(EMPTY_ROUTING)
        self._fronts: dict[InstanceId, None] = {}
        self._documents = RoutingPush()
        self._catalogues = CataloguePush()
        self._relays: set[InstanceId] = set()
        self._questions = FreshnessQuestions()
        self._news_at = now
        self._summary_at = now
        self._expire_at = now
        self._leader: InstanceId | None = None
        self._was_leader = False
        self._proposals = 0
        self._readers = 0
        self._load_routing()

    @property
    def me(self) -> InstanceId:
        """This instance."""
        return self.member.me.instance

    @property
    def directory(self) -> EndpointDirectory:
        """The upstreams that this instance knows."""
        return self.upstreams.directory

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
        """Take a message of another control instance; ``at`` is the wall clock."""
        match message:
            case Registrations(news):
                return self._tell_upstreams(self.upstreams.merge(news, now))
            case CrashUpdates():
                self.crashes.take_from_peer(message, now)
            case Hello() | HelloReply() | RelayReply() | FoundGroup() | Join():
                self.member.handle(sender, message, now, at)
            case KnownInstances(instances):
                self.member.note_instances(instances)
            case _ if isinstance(message, ConsensusMessage):
                self.member.handle(sender, message, now, at)
        return []

    def finish(self, ready: Ready, now: float) -> list[ControlAction]:
        """The writes of ``ready`` are durable; return what follows."""
        actions: list[ControlAction] = []
        for action in self.member.finish(ready, now):
            if isinstance(action.message, ProposalReply):
                actions.append(_read_answer(action.message))
            else:
                actions.append(action)
        stored = self.member.state.routing
        if stored is not None and stored.version != self.routing.version:
            self._load_routing()
            logger.info("routing applied", version=self.routing.version)
            actions += self._documents.push(now)
        return actions

    def advance(self, now: float) -> list[ControlAction]:
        """Act on time."""
        self.member.advance(now)
        actions: list[ControlAction] = []
        self._note_leadership(now)
        if self.member.leader != self._leader or now >= self._news_at:
            self._leader = self.member.leader
            self._news_at = now + NEWS_PERIOD
            news = self._build_news(now)
            actions += [ToFront(one, news) for one in (*self._fronts, *self._relays)]
            self.scheduler.expire(now)
            self._ejections.expire(now)
            self.crashes.ledger.expire(now)
            self.limits.expire(now)
        if self.is_leader and now >= self._summary_at:
            self._summary_at = now + SUMMARY_PERIOD
            self.placement.log_summary(len(self._fronts), now)
            known = self.directory.list_ids()
            self.scheduler.retain(known)
            self.limits.retain(known, now)
        actions += self._documents.advance(now)
        actions += self._send_catalogues(now)
        actions += self._publish_ejected(now)
        actions += self._answer_questions(now)
        if now >= self._expire_at and self.member.leader is not None:
            # A member out of touch with the group may be the one that is cut off.
            self._expire_at = now + EXPIRE_PERIOD
            actions += self._tell_upstreams(self.upstreams.expire(now))
        actions += self._tell_upstreams(self.upstreams.take_due(now))
        actions += self._send_crashes(now)
        actions += self.limits.send_due(now, is_leader=self.is_leader)
        return actions

    def _note_leadership(self, now: float) -> None:
        if self.is_leader == self._was_leader:
            return
        self._was_leader = self.is_leader
        # What is open is learned anew from the fronts.
        self._ejections = EjectionPush()
        self.placement.start_term(self._fronts, now)
        logger.info("leadership changed", leads=self.is_leader)

    def _may_grant(self, now: float) -> bool:
        """Whether nobody else grants what upstreams with limits may be sent."""
        if not self.is_leader or self.placement.is_learning(now):
            return False
        if not self.limits.has_limits:
            return True
        confirmed_at = self.member.replica.compute_confirmed_at(now)
        return confirmed_at is not None and now - confirmed_at <= GRANT_LEASE_S

    # Fronts

    def add_front(self, front: InstanceId, now: float) -> list[ControlAction]:
        """A front dialled: tell it everything."""
        self._fronts[front] = None
        self._documents.add_front(front)
        self._catalogues.add_front(front, now)
        self.crashes.add_front(front)
        self.limits.add_front(front, now)
        logger.info("front attached", front=front, fronts=len(self._fronts))
        actions: list[ControlAction] = [ToFront(front, self._build_news(now))]
        actions += self._send_catalogues(now)
        if self.is_leader:
            actions += self.limits.send_all(front)
        return actions + [*self._ejections.greet(front)]

    def add_relay(self, relay: InstanceId, now: float) -> list[ControlAction]:
        """A relay dialled: it wants to know who leads, and nothing else."""
        self._relays.add(relay)
        return [ToFront(relay, self._build_news(now))]

    def remove_relay(self, relay: InstanceId) -> None:
        """The link to a relay was lost."""
        self._relays.discard(relay)

    def remove_front(self, front: InstanceId, now: float) -> None:
        """The link to a front was lost.

        Its jobs are forgotten: if it still runs, it tells them anew over its next link.
        """
        self._fronts.pop(front, None)
        self._documents.remove_front(front)
        self._catalogues.remove_front(front)
        self.crashes.remove_front(front)
        self.limits.remove_front(front, now)
        self.placement.remove_front(front)
        logger.info("front detached", front=front, fronts=len(self._fronts))

    def handle_front(
        self, front: InstanceId, message: LinkMessage, now: float
    ) -> list[ControlAction]:
        """Take a message of a front."""
        # It may lead since its last vote came: what is told now must not be forgotten.
        self._note_leadership(now)
        match message:
            case Subscribe(held, is_wanted):
                return [*self._documents.subscribe(front, held, is_wanted=is_wanted)]
            case LeaseRequest(asked_at, is_urgent):
                question = FreshnessQuestion(now, front, asked_at, is_urgent=is_urgent)
                self._questions.add(question)
                return self._answer_questions(now)
            case PlacementRequest(work):
                return [ToFront(front, self._place(work, now))]
            case JobStages(stages):
                for stage in stages:
                    self.scheduler.note_stage(stage, now)
            case ReplicaFailures(upstreams):
                self.placement.note_inspection([], upstreams, now)
            case ReplicaPaces(paces):
                self.placement.note_inspection(paces, [], now)
            case AttemptOutcomes(outcomes):
                return self._take_outcomes(outcomes, now)
            case CrashUpdates():
                self.crashes.take(message, now)
                return self._send_crashes(now)
            case ObservedLimits(heard):
                self.limits.receive(front, heard, now)
            case LimitUpdates(limits):
                self.limits.merge(front, limits, now)
            case RejectionReport(upstream):
                self.scheduler.note_rejection(upstream, now)
            case DrainingReport(upstreams):
                news = self.upstreams.note_draining(upstreams, now)
                return self._tell_upstreams(news)
            case UncoordinatedSends(upstreams):
                for upstream in upstreams:
                    self.limits.budget.spend(upstream, now)
            case SendPermitRequest():
                may_grant = self._may_grant(now)
                answer = self.limits.grant(message, now, may_grant=may_grant)
                return [ToFront(front, answer)]
            case OpenJobs(jobs):
                self.placement.note_heard(front)
                if self.is_leader:
                    self.placement.adopt(jobs, self.table, now)
        return []

    def _send_crashes(self, now: float) -> list[ControlAction]:
        if not self.crashes.is_due(now):
            return []
        peers = self._list_peers()
        return self.crashes.send_due(self._fronts, peers, now, is_leader=self.is_leader)

    def _send_catalogues(self, now: float) -> list[ControlAction]:
        sent = self._catalogues.send_due(
            self.directory, self.upstreams.changes, now, is_leader=self.is_leader
        )
        return [*sent]

    def _list_instances(self) -> list[InstanceId]:
        members = self.member.replica.members
        everyone = members.everyone if members is not None else frozenset()
        return sorted({member.instance for member in everyone} | {self.me})

    def _list_peers(self) -> list[InstanceId]:
        return [one for one in self._list_instances() if one != self.me]

    def _build_news(self, now: float) -> ControlStatus:
        return ControlStatus(
            self._list_instances(),
            self.member.leader,
            self.member.replica.term,
            len(self._fronts),
            self.scheduler.list_busy(now, BUSY_TOLD) if self.is_leader else [],
        )

    # Upstreams

    def may_acknowledge(self) -> bool:
        """Whether all fronts will hear of what is registered here.

        An instance that is new, or cut off from the group, may be unknown to them.
        """
        return self.member.leader is not None

    def introduce(self, instance: InstanceId) -> list[ControlAction]:
        """A link to another control instance is up: tell it all upstreams."""
        message = Registrations(self.directory.list_news())
        actions: list[ControlAction] = [ToInstance(instance, message)]  # type: ignore[arg-type]
        return actions + self.crashes.introduce(instance)

    def register(self, endpoint: Endpoint, now: float) -> list[ControlAction]:
        """An upstream registered here; raise if no document names its service.

        One that is known with it is heard even if the service was taken out since: it
        must be able to say that it leaves.
        """
        before = self.directory.get(endpoint.upstream)
        is_as_known = before is not None and before.service == endpoint.service
        if not is_as_known and not self._names_service(endpoint.service):
            raise RequestError(
                f"service {endpoint.service}", kind=ErrorKind.UNKNOWN_SERVICE
            )
        return self._tell_upstreams(self.upstreams.register(endpoint, now))

    def _names_service(self, service: ServiceName) -> bool:
        """Whether the routing document has the service, as far as one is held."""
        return self.routing.version == 0 or service in self.table.services

    def remove(
        self, name: UpstreamName, now: float, born: int | None = None
    ) -> list[ControlAction]:
        """An upstream says here that it leaves."""
        departure = Departure(name, born)
        return self._tell_upstreams(self.upstreams.leave(departure, now))

    def _tell_upstreams(self, news: UpstreamNews) -> list[ControlAction]:
        actions: list[ControlAction] = []
        if news.to_peers:
            # One message for all, which is encoded once.
            registrations = Registrations(news.to_peers)
            actions += [
                ToInstance(instance, registrations)  # type: ignore[arg-type]
                for instance in self._list_peers()
            ]
        if news.to_fronts:
            changes = EndpointChanges(news.to_fronts)
            actions += [ToFront(front, changes) for front in self._fronts]
        return actions

    def list_engines(self) -> dict[UpstreamId, str]:
        """Addresses of the replicas that the leader asks how slow they are."""
        return {
            endpoint.upstream: endpoint.address
            for service in self.routing.services
            if service.engine is not None
            for endpoint in self.directory.list_usable(service.name)
        }

    def note_inspection(
        self, paces: list[ReplicaPace], silent: list[UpstreamId], now: float
    ) -> None:
        """Replicas told how slow they are, or did not answer."""
        self.placement.note_inspection(paces, silent, now)

    def _take_outcomes(
        self, outcomes: list[UpstreamOutcomes], now: float
    ) -> list[ControlAction]:
        """As leader, learn what became of a front's attempts."""
        if not self.is_leader:
            return []
        self._ejections.take(outcomes, self.directory, now)
        return self._publish_ejected(now)

    def _publish_ejected(self, now: float) -> list[ControlAction]:
        return [*self._ejections.publish(self._fronts, self.scheduler, now)]

    # Routing documents

    def propose_routing(self, stored: StoredRouting, now: float, at: float) -> str:
        """As leader, propose a document; its end is a :class:`ProposalEnded`."""
        self._proposals += 1
        name = f"routing/{self._proposals}"
        command = encode_command(PutRouting(stored))
        self.member.handle(self.me, Propose(name, command), now, at)
        return name

    def ask_fresh(self, now: float) -> int:
        """Ask whether the document held is the newest; see :class:`ReadConfirmed`."""
        self._readers += 1
        self._questions.add(FreshnessQuestion(now, None, now, self._readers))
        return self._readers

    def _load_routing(self) -> None:
        stored = self.member.state.routing
        if stored is None:
            return
        self.routing = unpack_routing(stored)
        self.table = RouteTable(self.routing)
        self._documents.note_document(self.routing)

    def _answer_questions(self, now: float) -> list[ControlAction]:
        replica = self.member.replica
        answered = self._questions.take_confirmed(
            replica.compute_confirmed_at(now), now, is_leader=self.is_leader
        )
        urgent_at = self._questions.find_urgent()
        if urgent_at is not None:
            replica.hasten_confirmation(urgent_at, now)
        readers = [question.reader for question in answered if question.front is None]
        actions: list[ControlAction] = []
        for question in answered:
            if question.front is not None:
                answer = LeaseReply(question.asked_at, self.routing.version)
                actions.append(ToFront(question.front, answer))
        if readers:
            actions.append(ReadConfirmed(readers))
        return actions

    # Placement

    def _place(self, work: EngineWork, now: float) -> PlacementReply:
        if not self.is_leader:
            return PlacementReply(work.job)
        may_grant = self._may_grant(now)
        return self.placement.place(
            work, self.table, self.directory, now, may_grant=may_grant
        )


def _read_answer(answer: ProposalReply) -> ProposalEnded:
    result = answer.result
    held = result.version if isinstance(result, RoutingHeld) else None
    return ProposalEnded(answer.proposal, held)
