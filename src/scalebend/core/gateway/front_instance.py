"""State of a front: routing document, lease, upstreams, leader and open jobs."""

from __future__ import annotations

from collections.abc import Container, Sequence

import msgspec
import structlog

from scalebend.core.crash_ledger import CrashLedger
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import (
    UNCOORDINATED_MAX_PART_S,
    EngineScheduler,
)
from scalebend.core.gateway.evacuations import HeldEvacuations
from scalebend.core.gateway.front_actions import EndAttempts, FrontAction, ToControl
from scalebend.core.gateway.front_crashes import FrontCrashes
from scalebend.core.gateway.front_jobs import FrontJobs
from scalebend.core.gateway.front_limits import FrontLimits
from scalebend.core.gateway.front_links import FrontLinks
from scalebend.core.gateway.front_observations import FrontObservations
from scalebend.core.gateway.hedging import Hedging
from scalebend.core.gateway.key_lease import KeyLease
from scalebend.core.gateway.messages import (
    ControlStatus,
    CrashUpdates,
    EjectedUpstreams,
    EndpointChanges,
    FrontNumber,
    FrontPeers,
    JobStages,
    KnownInstances,
    LeaseReply,
    LeaseRequest,
    LimitUpdates,
    LinkMessage,
    OpenJobs,
    Subscribe,
    UncoordinatedSends,
)
from scalebend.core.gateway.outcome_counts import OutcomeCounts
from scalebend.core.gateway.path_evidence import FrontPaths
from scalebend.core.gateway.placement_plan import NO_REPLICA_RETRY_S
from scalebend.core.gateway.retry_window import RetryWindow
from scalebend.core.gateway.route_table import RouteTable
from scalebend.core.gateway.routing_store import RoutingUpdate, apply_update
from scalebend.core.gateway.service_balancer import ServiceBalancer
from scalebend.core.gateway.slow_start import SlowStarts
from scalebend.core.part_ledger import PartLedger
from scalebend.core.upstream_backoff import UpstreamBackoffs
from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.models.endpoints import EndpointUpdate
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import (
    InstanceId,
    ServiceName,
    UpstreamId,
)
from scalebend.models.placement import (
    Declined,
    EngineWork,
    JobId,
    JobStage,
    OpenJob,
    Placement,
    ReplicaPace,
)
from scalebend.models.rate_limits import ObservedLimit
from scalebend.models.routing import EMPTY_ROUTING

logger = structlog.get_logger(__name__)

LEASE_REQUEST_INTERVAL_S = 0.4
"""Interval of lease requests: far below the bound on revocation, so that several may be
lost."""

EXPIRY_INTERVAL_S = 0.5
"""Interval at which expired jobs, replicas and crash records are removed."""

ENDPOINT_TIMEOUT_S = 3600.0
"""Time without an update before an upstream expires at a front. It is long because
control instances detect unresponsive upstreams and notify the fronts."""


class FrontInstance:
    """State and decisions of one front, without I/O."""

    def __init__(self, settings: GatewaySettings, *, now: float) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.table = RouteTable(EMPTY_ROUTING)
        self.lease = KeyLease(
            bounds.key_revocation, is_strict=bounds.is_revocation_strict
        )
        self.directory = EndpointDirectory(
            ENDPOINT_TIMEOUT_S, registrations_to_regain_address=1
        )
        self.evacuations = HeldEvacuations(self.directory)
        self.balancer = ServiceBalancer()
        self.crash_reports = FrontCrashes(
            self.directory, settings.instance, settings.heartbeat_interval
        )
        starts = SlowStarts(self.directory, bounds)
        self.limits = FrontLimits(settings.instance, starts, now)
        self.backoffs = UpstreamBackoffs()
        self.retries = RetryWindow(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self.hedging = Hedging()
        self.scheduler = EngineScheduler(settings.instance, UNCOORDINATED_MAX_PART_S)
        self.paths = FrontPaths(settings.availability_zone, now)
        self.scheduler.paths = self.paths.health
        self.reach = UpstreamReach(settings.availability_zone)
        self._links = FrontLinks(settings.seeds, now)
        self.is_draining = False
        self._jobs = FrontJobs(self.scheduler)
        self._outcomes = OutcomeCounts()
        self._observations = FrontObservations(
            self.directory, self.scheduler, self.reach, self.paths, self._outcomes, now
        )
        self._next_lease_request_at = now
        self._next_expiry_at = now
        self._was_ready = False
        self.has_been_ready = False
        """Whether this process was ready at any time since its start."""

    # Readiness

    def is_ready(self, now: float) -> bool:
        """Whether load balancers should open new connections to this front.

        A front that is cut off from the leader still serves, but it places engine work
        without knowing that of other fronts, so new connections should go to those.
        The same holds for one that reaches no upstream by any way.
        """
        is_able = not self.is_cut_off(now) and not self.reach.is_stranded(now)
        return not self.is_draining and is_able and self.may_admit(now)

    def is_cut_off(self, now: float) -> bool:
        """Whether the leader has sent nothing for longer than most elections take.

        Readiness doesn't move requests on persistent connections, so callers are asked
        to close those.
        """
        return self._links.is_cut_off(now)

    def may_admit(self, now: float) -> bool:
        """Whether requests may be admitted: there is a document with a valid lease."""
        return self.table.routing.version > 0 and self.lease.is_valid(now)

    # Links

    @property
    def leader(self) -> InstanceId | None:
        """The control instance that leads, as far as this front knows."""
        return self._links.leader

    @property
    def crashes(self) -> CrashLedger:
        """Requests during which upstreams crashed, from all fronts."""
        return self.crash_reports.ledger

    @property
    def parts(self) -> PartLedger:
        """Parts of prompts under which upstreams crashed, from all fronts."""
        return self.crash_reports.parts

    @property
    def instances(self) -> set[InstanceId]:
        """Control instances to keep a link to."""
        return self._links.instances

    def set_seeds(self, seeds: list[InstanceId]) -> None:
        """Replace the control instances that the settings name."""
        self._links.set_seeds(seeds)

    def add_link(self, instance: InstanceId) -> None:
        """Add a control instance whose link is up."""
        self._links.add(instance)

    def remove_link(self, instance: InstanceId) -> None:
        """Remove a control instance whose link was lost."""
        if instance == self.leader:
            self.limits.end_leader()
        self._links.remove(instance)

    def handle(
        self, sender: InstanceId, message: LinkMessage, now: float
    ) -> Sequence[FrontAction]:
        """Apply a message of a control instance; return the actions it causes."""
        if sender == self.leader:
            self._links.record_leader_contact(now)
            self.limits.record_leader_contact(now)
        match message:
            case ControlStatus():
                return self._apply_control_status(sender, message, now)
            case KnownInstances(instances):
                self._links.announce(instances)
            case RoutingUpdate():
                return self._apply_routing(sender, message)
            case LeaseReply(asked_at, newest):
                if sender == self.leader:
                    self.limits.confirm_slot(asked_at)
                held = self.table.routing.version
                if not self.lease.confirm(asked_at, newest, held):
                    # The newer document may have been lost with a link.
                    logger.info("routing is behind", held=held, newest=newest)
                    return [ToControl(sender, Subscribe(held))]
            case EjectedUpstreams(upstreams) if sender == self.leader:
                self._apply_ejected(upstreams, now)
            case EndpointChanges(changes):
                return self._apply_endpoints(changes, now)
            case LimitUpdates():
                self.limits.apply_updates(message, now)
            case FrontPeers(peers):
                self.reach.peers.replace(peers)
                logger.info("peers assigned", peers=len(peers), source=sender)
            case FrontNumber() if sender == self.leader:
                self.limits.record_position(message)
            case CrashUpdates():
                self.crash_reports.merge(message, now)
        return []

    def advance(self, now: float) -> list[ToControl]:
        """Run the actions that are due at ``now``."""
        actions = []
        if self.leader is not None and now >= self._next_lease_request_at:
            self._next_lease_request_at = now + LEASE_REQUEST_INTERVAL_S
            actions.append(ToControl(self.leader, self._build_lease_request(now)))
        actions += self.report(self._observations.build_report(now))
        self.paths.advance(now)
        if self.is_ready(now) != self._was_ready:
            self._was_ready = not self._was_ready
            self.has_been_ready = True
            logger.info(
                "readiness changed",
                ready=self._was_ready,
                draining=self.is_draining,
                routing=self.table.routing.version,
                lease=round(self.lease.compute_remaining(now), 3),
            )
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self.scheduler.expire(now)
            self.reach.expire(now)
            self.crash_reports.expire(now)
            actions += self.report(self.crash_reports.void_lost_connections(now))
            known = self.directory.list_ids()
            self.scheduler.retain(known)
            self.limits.expire(known, now)
            self.backoffs.expire(now)
            self._observations.retain(known)
        return actions

    def _apply_endpoints(
        self, changes: list[EndpointUpdate], now: float
    ) -> list[FrontAction]:
        ended = []
        for change in changes:
            name = change.endpoint.name
            before = self.directory.get_newest(name)
            former = self.directory.get(before) if before is not None else None
            self.directory.merge(change, now)
            if before is None or before == self.directory.get_newest(name):
                continue
            ended.append(before)
            if former is not None and former.address == change.endpoint.address:
                successor = change.endpoint.upstream
                self.backoffs.apply_to_successor(before, successor, now)
        crashed = self.crash_reports.record_ended_upstreams(ended, now)
        actions: list[FrontAction] = [*self.report(crashed)]
        return [EndAttempts(ended), *actions] if ended else actions

    def _apply_control_status(
        self, sender: InstanceId, status: ControlStatus, now: float
    ) -> list[ToControl]:
        self.retries.update_front_count(status.fronts, now)
        self.limits.record_front_count(status.fronts)
        self.evacuations.learn(status.evacuations)
        is_outdated = self._links.is_outdated(status)
        is_new_leader = self._links.apply_status(sender, status)
        if status.busy and not is_outdated:
            self.scheduler.record_busy_replicas(status.busy, now)
        if sender == status.leader and not is_outdated:
            self.paths.adopt(status.degraded_paths, now)
        if not is_new_leader:
            return []
        self.limits.end_leader()
        # The new leader detects outliers anew and publishes them.
        self.balancer.set_ejected(())
        self._links.record_leader_contact(now)
        self._next_lease_request_at = now + LEASE_REQUEST_INTERVAL_S
        return [
            *self.report(self.limits.build_updates()),
            *self.report(self._observations.build_draining_report()),
            *self.report(Subscribe(self.table.routing.version)),
            *self.report(OpenJobs(self._jobs.list_open(now))),
            *self.report(self._build_lease_request(now)),
            *self.report(self.crash_reports.build_updates(now)),
        ]

    def _build_lease_request(self, now: float) -> LeaseRequest:
        return LeaseRequest(now, is_urgent=not self.lease.is_valid(now))

    def _apply_routing(
        self, sender: InstanceId, update: RoutingUpdate
    ) -> list[ToControl]:
        held = self.table.routing
        if update.version > held.version:
            base = EMPTY_ROUTING if update.base == 0 else held
            newer = apply_update(base, update)
            if newer is not None:
                self.table = RouteTable(newer)
                self.limits.starts.apply(newer)
                self.lease.record_document(newer.version)
                logger.info(
                    "routing applied",
                    version=newer.version,
                    replaced=held.version,
                    routes=len(newer.routes),
                    source=sender,
                )
        return [ToControl(sender, Subscribe(self.table.routing.version))]

    def _apply_ejected(self, upstreams: list[UpstreamId], now: float) -> None:
        logger.info("upstreams ejected", upstreams=upstreams, source=self.leader)
        self.balancer.set_ejected(upstreams)
        for upstream in upstreams:
            # For uncoordinated placement, should the leader be lost.
            self.scheduler.record_failure(upstream, now)

    # Engine jobs

    def open_job(
        self,
        work: EngineWork,
        placement: Placement,
        now: float,
        *,
        is_uncoordinated: bool,
    ) -> list[ToControl]:
        """Open a placed job; ``is_uncoordinated``: placed by this front alone."""
        opened = self._jobs.open(work, placement, now)
        if is_uncoordinated:
            reports = self._report_placed_here(opened)
            return reports + self.record_uncoordinated_send(placement.upstream)
        self._jobs.adopt(opened, self.table.find_engine(work.service), now)
        return []

    def record_replanned(
        self, work: EngineWork, placement: Placement, now: float
    ) -> None:
        """Record the leader's new placement of a job that is still queued."""
        profile = self.table.find_engine(work.service)
        self._jobs.replan(work, placement, profile, now)

    def place(self, work: EngineWork, now: float) -> Placement | Declined:
        """Place a job without the leader, from the state of this front."""
        profile = self.table.find_engine(work.service)
        if profile is None:
            return Declined(NO_REPLICA_RETRY_S)
        endpoints = self.directory.list_usable(work.service)
        return self.limits.placement.place(
            self.scheduler, work, endpoints, profile, now
        )

    def has_room(self, work: EngineWork, now: float) -> bool:
        """Whether this front could place a job without the leader."""
        placed = self.place(work, now)
        self.limits.placement.withdraw(work.job, now)
        self.scheduler.forget(work.job)
        return isinstance(placed, Placement)

    def exclude_in_backoff(self, work: EngineWork, now: float) -> EngineWork:
        """Return the work without the replicas that are in backoff for this front.

        Backoff is known to this front only, so the leader cannot exclude them.
        """
        in_backoff = self.backoffs.list_in_backoff(now)
        if not in_backoff:
            return work
        excluded = tuple({*work.excluded, *in_backoff})
        return msgspec.structs.replace(work, excluded=excluded)

    def list_unusable(self, placement: Placement, now: float) -> set[UpstreamId]:
        """Return the replicas of a placement that may not be sent new work any more."""
        return {one for one in placement.upstreams if not self.may_send(one, now)}

    def may_send(self, upstream: UpstreamId, now: float) -> bool:
        """Whether this front may send new requests to an upstream."""
        is_usable = self.directory.is_usable(upstream)
        return is_usable and self.backoffs.may_send(upstream, now)

    def compute_backoff(
        self, service: ServiceName, excluded: Container[UpstreamId], now: float
    ) -> float:
        """Return the seconds until an upstream of a service may be sent a request.

        0 if there is one already, or if all are ``excluded`` and waiting cannot help.
        """
        if not self.backoffs.has_any:
            return 0.0
        usable = self.directory.list_usable(service)
        left = [one.upstream for one in usable if one.upstream not in excluded]
        return self.backoffs.compute_shortest_wait(left, now)

    def replace_job(
        self, job: JobId, placement: Placement, now: float
    ) -> list[ToControl]:
        """Move an open job to other replicas than planned, at its planned time."""
        profile = self.table.find_engine(self._jobs.find_work(job).service)
        opened = self._jobs.replace(job, placement, profile, now)
        return self._report_placed_here(opened)

    def _report_placed_here(self, opened: OpenJob) -> list[ToControl]:
        """Report to the leader where a job runs, in place of the leader's own plan.

        A leader whose reply came late has placed the job, too. It would otherwise count
        the job at the wrong replica, and overload the one on which it runs.
        """
        ended = JobStage(opened.work.job, is_ended=True)
        # The end comes first: the leader ignores reports of jobs that it knows.
        return [
            *self.report(JobStages([ended])),
            *self.report(OpenJobs([opened])),
        ]

    def record_stage(self, stage: JobStage, now: float) -> list[ToControl]:
        """Record the first token or the end of a job."""
        self._jobs.record_stage(stage, now)
        return self.report(JobStages([stage]))

    # Observations of upstreams

    def record_outcome(
        self, upstream: UpstreamId, now: float, *, has_failed: bool
    ) -> None:
        """Count a response or a failure of an upstream."""
        if not has_failed:
            self.crash_reports.record_answered(upstream)
        self._observations.record_outcome(upstream, now, has_failed=has_failed)

    def record_direct_failure(
        self, address: str, kind: FailureKind, now: float
    ) -> None:
        """Record that a direct connection to an upstream failed."""
        self._observations.record_direct_failure(address, kind, now)

    def record_path(
        self, upstream: UpstreamId, observed: int, lost: int, now: float
    ) -> None:
        """Count pieces of data of an upstream, and those of them lost on the way."""
        self._observations.record_path(upstream, observed, lost, now)

    def record_failed_connection(self, upstream: UpstreamId, now: float) -> None:
        """Count a connection to an upstream that timed out."""
        self._observations.record_failed_connection(upstream, now)

    def record_draining(self, upstream: UpstreamId) -> list[ToControl] | None:
        """Record a drain announced in a response; the registrations may not show it.

        Return ``None`` if it was known.
        """
        report = self._observations.record_draining(upstream)
        return None if report is None else self.report(report)

    def record_failure(self, upstream: UpstreamId, now: float) -> list[ToControl]:
        """Record and report a replica that is unreachable or unresponsive."""
        return self.report(self._observations.record_failure(upstream, now))

    def record_overdue(self, upstream: UpstreamId, now: float) -> list[ToControl]:
        """Record and report a replica at which a first token is overdue."""
        return self.report(self._observations.record_overdue(upstream, now))

    def record_rejection(self, upstream: UpstreamId, now: float) -> list[ToControl]:
        """Record and report that an engine rejected a request without running it."""
        return self.report(self._observations.record_rejection(upstream, now))

    def record_paces(self, paces: list[ReplicaPace], now: float) -> list[ToControl]:
        """Record the paces that replicas reported, and send them to the leader."""
        return self.report(self._observations.record_paces(paces, now))

    # Rate limits

    def record_limit(self, observed: ObservedLimit, now: float) -> list[ToControl]:
        """Record the rate limit in an upstream's response, or that there is none."""
        has_leader = self.leader is not None
        return self.report(self.limits.receive(observed, now, has_leader=has_leader))

    def record_uncoordinated_send(self, upstream: UpstreamId) -> list[ToControl]:
        """Report a request that is sent to a rate-limited upstream without a permit."""
        if not self.limits.is_limited(upstream):
            return []
        return self.report(UncoordinatedSends([upstream]))

    def report(self, message: LinkMessage | None) -> list[ToControl]:
        """Send a report to the leader, if there are both."""
        if message is None or self.leader is None:
            return []
        return [ToControl(self.leader, message)]
