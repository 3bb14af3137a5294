"""What a front believes: routing document, lease, upstreams, leader, and open jobs."""

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
from scalebend.core.gateway.front_jobs import FrontJobs
from scalebend.core.gateway.front_limits import FrontLimits
from scalebend.core.gateway.key_lease import KeyLease
from scalebend.core.gateway.messages import (
    ControlNews,
    CrashNews,
    DrainingHeard,
    EjectedUpstreams,
    EndpointChanges,
    FrontPlace,
    JobStages,
    KnownInstances,
    LeaseAnswer,
    LeaseQuestion,
    LimitNews,
    LinkMessage,
    OpenJobs,
    OutcomesSeen,
    RejectionSeen,
    ReplicaFailures,
    ReplicaPaces,
    SentAlone,
    Subscribe,
)
from scalebend.core.gateway.placement_choice import NO_REPLICA_RETRY_S
from scalebend.core.gateway.retry_window import RetryWindow
from scalebend.core.gateway.route_table import RouteTable
from scalebend.core.gateway.routing_store import RoutingNews, apply_news
from scalebend.core.gateway.service_balancer import ServiceBalancer
from scalebend.core.gateway.unanswered_attempts import UnansweredAttempts
from scalebend.core.upstream_backoff import UpstreamBackoffs
from scalebend.models.crashes import CrashRecord
from scalebend.models.endpoints import EndpointNews, UpstreamOutcomes
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import (
    Fingerprint,
    InstanceId,
    ServiceName,
    Term,
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
from scalebend.models.request_limits import HeardLimit
from scalebend.models.routing import EMPTY_ROUTING

logger = structlog.get_logger(__name__)

LEASE_PERIOD = 0.4
"""Seconds between two questions for the lease, far below the bound on revocation so
that several may be lost."""

OUTCOMES_PERIOD = 0.2
"""Seconds between two reports of what became of attempts, if there were any: five
messages a second of a busy front, whatever its load."""

TIDY_PERIOD = 0.5
"""Seconds between two searches for jobs and replicas that are to be forgotten."""

SILENCE_LIMIT = 3600.0
"""A front hears from control instances which upstreams fell silent."""

LEADER_PATIENCE = 1.0
"""Seconds without a word of a leader after which a front wants no new connections, and
closes those that callers keep: two heartbeats, and longer than most elections. When no
front is ready all of them are used."""


class ToControl(msgspec.Struct, frozen=True):
    """Action: send a message to a control instance."""

    instance: InstanceId
    message: LinkMessage


class EndAttempts(msgspec.Struct, frozen=True):
    """Action: nothing comes any more of attempts that run on these upstreams."""

    upstreams: list[UpstreamId]


FrontAction = ToControl | EndAttempts


class FrontInstance:
    """State and decisions of one front, without I/O."""

    def __init__(self, settings: GatewaySettings, *, now: float) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.table = RouteTable(EMPTY_ROUTING)
        self.lease = KeyLease(
            bounds.key_revocation, is_strict=bounds.is_revocation_strict
        )
        self.directory = EndpointDirectory(SILENCE_LIMIT, heard_again=1)
        self.balancer = ServiceBalancer()
        self.crashes = CrashLedger()
        self.limits = FrontLimits(settings.instance, now)
        self.backoffs = UpstreamBackoffs()
        self._draining: dict[UpstreamId, None] = {}
        """Upstreams that said here that they leave: for a leader that comes later."""

        self._unanswered = UnansweredAttempts()
        self.retries = RetryWindow(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self.scheduler = EngineScheduler(settings.instance, UNCOORDINATED_MAX_PART_S)
        self._seeds = {InstanceId(seed) for seed in settings.seeds}
        self._told: set[InstanceId] = set()
        self.leader: InstanceId | None = None
        self.is_draining = False
        self._term = Term(0)
        self._linked: set[InstanceId] = set()
        self._jobs = FrontJobs(self.scheduler)
        self._outcomes: dict[UpstreamId, UpstreamOutcomes] = {}
        self._outcomes_at = now
        self._lease_at = now
        self._heard_at = now
        self._tidy_at = now
        self._was_ready = False
        self.was_ready = False
        """Whether this process was ready at any time since its start."""

    # Readiness

    def is_ready(self, now: float) -> bool:
        """Whether new connections are wanted here.

        A front that is cut off from the leader still serves, but it places engine work
        without knowing the others': they had better take what is new.
        """
        is_led = not self.is_cut_off(now)
        return not self.is_draining and is_led and self.may_admit(now)

    def is_cut_off(self, now: float) -> bool:
        """Whether nothing was heard of a leader for so long that callers had better go.

        Over connections that callers keep, requests come here whatever the balancer is
        told: they are asked to close them.
        """
        return now - self._heard_at >= LEADER_PATIENCE

    def may_admit(self, now: float) -> bool:
        """Whether requests may be admitted: a document is held and its lease lasts."""
        return self.table.routing.version > 0 and self.lease.is_valid(now)

    # Links

    def note_seeds(self, seeds: list[InstanceId]) -> None:
        """The settings name these control instances now."""
        self._seeds = set(seeds)

    @property
    def instances(self) -> set[InstanceId]:
        """Control instances to keep a link to: named, told of, or linked already.

        One that was replaced is not told of any more, and once its link is lost it is
        not dialled again.
        """
        return self._seeds | self._told | self._linked

    def add_link(self, instance: InstanceId) -> None:
        """A link to a control instance is up."""
        self._linked.add(instance)

    def remove_link(self, instance: InstanceId) -> None:
        """A link to a control instance was lost."""
        self._linked.discard(instance)
        if instance == self.leader:
            logger.info("leader lost", leader=instance, term=self._term)
            self.leader = None

    def handle(
        self, sender: InstanceId, message: LinkMessage, now: float
    ) -> Sequence[FrontAction]:
        """Take a message of a control instance."""
        if sender == self.leader:
            self._heard_at = now
            self.limits.note_leader_heard(now)
        match message:
            case ControlNews():
                return self._take_control_news(sender, message, now)
            case KnownInstances(instances):
                # A relay's word is second-hand: of use only while nobody leads.
                if self.leader is None:
                    self._told |= set(instances)
            case RoutingNews():
                return self._take_routing(sender, message)
            case LeaseAnswer(asked_at, newest):
                held = self.table.routing.version
                if not self.lease.confirm(asked_at, newest, held):
                    # The document on its way may have been lost with a link.
                    logger.info("routing is behind", held=held, newest=newest)
                    return [ToControl(sender, Subscribe(held))]
            case EjectedUpstreams(upstreams) if sender == self.leader:
                self._take_ejected(upstreams, now)
            case EndpointChanges(news):
                return self._take_endpoints(news, now)
            case LimitNews():
                self.limits.take(message, now)
            case FrontPlace() if sender == self.leader:
                self.limits.note_place(message)
            case CrashNews(records, cleared):
                self.crashes.merge(records, now)
                self.crashes.clear(cleared)
        return []

    def advance(self, now: float) -> list[ToControl]:
        """Act on time."""
        actions = []
        if self.leader is not None and now >= self._lease_at:
            self._lease_at = now + LEASE_PERIOD
            actions.append(ToControl(self.leader, self._ask_lease(now)))
        if self._outcomes and now >= self._outcomes_at:
            self._outcomes_at = now + OUTCOMES_PERIOD
            actions += self._tell_leader(OutcomesSeen(list(self._outcomes.values())))
            self._outcomes.clear()
        if self.is_ready(now) != self._was_ready:
            self._was_ready = not self._was_ready
            self.was_ready = True
            logger.info(
                "readiness changed",
                ready=self._was_ready,
                draining=self.is_draining,
                routing=self.table.routing.version,
                lease=round(self.lease.compute_remaining(now), 3),
            )
        if now >= self._tidy_at:
            self._tidy_at = now + TIDY_PERIOD
            self.scheduler.expire(now)
            self.crashes.expire(now)
            self._unanswered.expire(now)
            known = self.directory.list_ids()
            self.scheduler.retain(known)
            self.limits.expire(known, now)
            self.backoffs.expire(now)
            self._draining = {one: None for one in known if one in self._draining}
        return actions

    def _take_endpoints(
        self, news: list[EndpointNews], now: float
    ) -> list[FrontAction]:
        ended = []
        for one in news:
            name = one.endpoint.name
            before = self.directory.get_newest(name)
            self.directory.merge(one, now)
            if before is not None and before != self.directory.get_newest(name):
                ended.append(before)
        actions: list[FrontAction] = [*self._blame_unanswered(ended, now)]
        return [EndAttempts(ended), *actions] if ended else actions

    def _take_control_news(
        self, sender: InstanceId, news: ControlNews, now: float
    ) -> list[ToControl]:
        self.retries.set_fronts(news.fronts, now)
        self.limits.note_fronts(news.fronts)
        if news.leader is None or news.term < self._term:
            # It may be cut off; but what it names may be all that is left.
            self._told |= set(news.instances)
            return []
        if news.leader in news.instances:
            self._told = set(news.instances)
        else:
            # It has heard of the leader, but not yet of the group: its disk is new.
            self._told |= set(news.instances)
        # One that lost the lead and won it again has forgotten what is open.
        is_known = news.leader == self.leader and news.term == self._term
        self._term = news.term
        if news.busy:
            self.scheduler.record_busy_replicas(news.busy, now)
        if is_known or news.leader not in self._linked:
            return []
        logger.info("leader found", leader=news.leader, term=news.term, source=sender)
        self.leader = news.leader
        # The next one finds out anew, and says so.
        self.balancer.note_ejected(())
        self._heard_at = now
        self._lease_at = now + LEASE_PERIOD
        limits = self.limits.build_news()
        return [
            *(self._tell_leader(limits) if limits is not None else []),
            *self._tell_draining(list(self._draining)),
            ToControl(news.leader, Subscribe(self.table.routing.version)),
            ToControl(news.leader, OpenJobs(self._jobs.list_open(now))),
            ToControl(news.leader, self._ask_lease(now)),
            *self._tell_crashes(self.crashes.list_to_tell(now)),
        ]

    def _ask_lease(self, now: float) -> LeaseQuestion:
        return LeaseQuestion(now, is_urgent=not self.lease.is_valid(now))

    def _take_routing(self, sender: InstanceId, news: RoutingNews) -> list[ToControl]:
        held = self.table.routing
        if news.version > held.version:
            base = EMPTY_ROUTING if news.base == 0 else held
            newer = apply_news(base, news)
            if newer is not None:
                self.table = RouteTable(newer)
                self.lease.note_held(newer.version)
                logger.info(
                    "routing applied",
                    version=newer.version,
                    replaced=held.version,
                    routes=len(newer.routes),
                    source=sender,
                )
        return [ToControl(sender, Subscribe(self.table.routing.version))]

    # Engine jobs

    def open_job(
        self, work: EngineWork, placement: Placement, now: float, *, is_own: bool
    ) -> list[ToControl]:
        """Keep a job that was placed; ``is_own``: by this front's own scheduler."""
        opened = self._jobs.open(work, placement, now)
        if is_own:
            told = self._tell_placed_here(opened)
            return told + self.note_sent_alone(placement.upstream)
        self._jobs.adopt(opened, self.table.find_engine(work.service), now)
        return []

    def note_replanned(
        self, work: EngineWork, placement: Placement, now: float
    ) -> None:
        """The leader gave a job that waits for its turn another placement."""
        profile = self.table.find_engine(work.service)
        self._jobs.replan(work, placement, profile, now)

    def place(self, work: EngineWork, now: float) -> Placement | Declined:
        """Place a job from what this front knows alone."""
        profile = self.table.find_engine(work.service)
        if profile is None:
            return Declined(NO_REPLICA_RETRY_S)
        endpoints = self.directory.list_usable(work.service)
        return self.limits.placement.place(
            self.scheduler, work, endpoints, profile, now
        )

    def leave_out_closed(self, work: EngineWork, now: float) -> EngineWork:
        """The same work, to be placed without replicas that asked for a pause here.

        They asked this front alone, so that whoever places for it cannot know.
        """
        closed = self.backoffs.list_closed(now)
        if not closed:
            return work
        excluded = tuple({*work.excluded, *closed})
        return msgspec.structs.replace(work, excluded=excluded)

    def list_left(self, placement: Placement, now: float) -> set[UpstreamId]:
        """Replicas of a placement that must not be sent new work any more."""
        return {one for one in placement.upstreams if not self.may_send(one, now)}

    def may_send(self, upstream: UpstreamId, now: float) -> bool:
        """Whether an upstream takes new requests from this front."""
        is_usable = self.directory.is_usable(upstream)
        return is_usable and self.backoffs.may_send(upstream, now)

    def compute_backoff(
        self, service: ServiceName, excluded: Container[UpstreamId], now: float
    ) -> float:
        """Seconds until an upstream of a service may be sent a request.

        0 if there is one, or if all are ``excluded``: time does not help then.
        """
        if not self.backoffs.is_any:
            return 0.0
        usable = self.directory.list_usable(service)
        left = [one.upstream for one in usable if one.upstream not in excluded]
        return self.backoffs.find_soonest(left, now)

    def replace_job(
        self, job: JobId, placement: Placement, now: float
    ) -> list[ToControl]:
        """An open job runs on other replicas than planned, at the time it was given."""
        profile = self.table.find_engine(self._jobs.find_work(job).service)
        opened = self._jobs.replace(job, placement, profile, now)
        return self._tell_placed_here(opened)

    def _tell_placed_here(self, opened: OpenJob) -> list[ToControl]:
        """Tell the leader where a job runs, whatever it planned for it itself.

        A leader that did not answer in time has placed it, too. It would go on counting
        the job there, and send others to the replica on which it runs.
        """
        ended = JobStage(opened.work.job, is_ended=True)
        # It ignores what it is told of a job that it knows already.
        return [
            *self._tell_leader(JobStages([ended])),
            *self._tell_leader(OpenJobs([opened])),
        ]

    def record_stage(self, stage: JobStage, now: float) -> list[ToControl]:
        """A job's first token was seen, or it ended."""
        self._jobs.record_stage(stage, now)
        return self._tell_leader(JobStages([stage]))

    def note_outcome(self, upstream: UpstreamId, *, has_failed: bool) -> None:
        """An attempt at an upstream ended with an answer, or with its failure."""
        seen = self._outcomes.get(upstream) or UpstreamOutcomes(upstream, 0, 0)
        self._outcomes[upstream] = UpstreamOutcomes(
            upstream, seen.answered + (not has_failed), seen.failed + has_failed
        )

    # Limits on requests a second

    def hear_limit(self, heard: HeardLimit, now: float) -> list[ToControl]:
        """An upstream's answer named the requests a second that it takes, or none."""
        told = self.limits.hear(heard, now, is_led=self.leader is not None)
        return self._tell_leader(told) if told is not None else []

    def note_sent_alone(self, upstream: UpstreamId) -> list[ToControl]:
        """A request is sent to an upstream without the leader's word."""
        if not self.limits.is_limited(upstream):
            return []
        return self._tell_leader(SentAlone([upstream]))

    # What upstreams say in answers of when they may be sent requests

    def hear_draining(self, upstream: UpstreamId) -> list[ToControl] | None:
        """An upstream said in an answer that it leaves; its registrations may not.

        ``None`` if that is no news.
        """
        if self.directory.note_draining(upstream) is None:
            return None
        self._draining[upstream] = None
        return self._tell_draining([upstream])

    def _tell_draining(self, upstreams: list[UpstreamId]) -> list[ToControl]:
        return self._tell_leader(DrainingHeard(upstreams)) if upstreams else []

    # Requests under which upstreams end

    def note_lost(
        self, fingerprint: Fingerprint, upstream: UpstreamId, now: float
    ) -> list[ToControl]:
        """An upstream ended, or cut the request off, while it ran it."""
        record = self.crashes.note_lost(fingerprint, upstream, now)
        return self._tell_crashes([record]) if record is not None else []

    def note_answered(self, fingerprint: Fingerprint, now: float) -> list[ToControl]:
        """An upstream gave a whole answer to the request."""
        if not self.crashes.note_answered(fingerprint, now):
            return []
        return self._tell_leader(CrashNews([], [fingerprint]))

    def note_unanswered(
        self, fingerprint: Fingerprint, upstream: UpstreamId, now: float
    ) -> None:
        """An attempt got no answer, and its connection did not end."""
        self._unanswered.add(upstream, fingerprint, now)

    def _blame_unanswered(
        self, superseded: list[UpstreamId], now: float
    ) -> list[ToControl]:
        """Upstreams may have ended under requests that they left unanswered."""
        owing = self._unanswered.list_upstreams()
        ended = [
            upstream
            for upstream in owing
            if upstream in superseded or self.directory.has_ended(upstream)
        ]
        actions = []
        for upstream in ended:
            for fingerprint in self._unanswered.take(upstream):
                actions += self.note_lost(fingerprint, upstream, now)
        return actions

    def _tell_crashes(self, records: list[CrashRecord]) -> list[ToControl]:
        return self._tell_leader(CrashNews(records, [])) if records else []

    def _take_ejected(self, upstreams: list[UpstreamId], now: float) -> None:
        logger.info("upstreams ejected", upstreams=upstreams, source=self.leader)
        self.balancer.note_ejected(upstreams)
        for upstream in upstreams:
            # For the time in which this front may have to place alone.
            self.scheduler.record_failure(upstream, now)

    def record_failure(self, upstream: UpstreamId, now: float) -> list[ToControl]:
        """A replica could not be reached, or fell silent."""
        self.scheduler.record_failure(upstream, now)
        return self._tell_leader(ReplicaFailures([upstream]))

    def record_rejection(self, upstream: UpstreamId, now: float) -> list[ToControl]:
        """An engine turned a request away that it had not run."""
        self.scheduler.record_rejection(upstream, now)
        return self._tell_leader(RejectionSeen(upstream))

    def note_paces(self, paces: list[ReplicaPace], now: float) -> list[ToControl]:
        """Replicas told how slow they are."""
        for pace in paces:
            self.scheduler.record_pace(pace, now)
        return self._tell_leader(ReplicaPaces(paces)) if paces else []

    def _tell_leader(self, message: LinkMessage) -> list[ToControl]:
        return [ToControl(self.leader, message)] if self.leader is not None else []
