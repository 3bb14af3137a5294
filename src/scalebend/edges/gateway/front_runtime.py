"""Runs one front: links to control instances, timers, and placement of engine work."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Coroutine, Iterable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from scalebend.core.gateway.front_actions import EndAttempts, FrontAction, ToControl
from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.hedging import is_fit
from scalebend.core.gateway.job_permits import JobPermits
from scalebend.core.gateway.messages import (
    Heartbeat,
    Introduce,
    LinkMessage,
    SendPermitReply,
    SendPermitRequest,
)
from scalebend.core.gateway.placement_aging import (
    REPLAN_INTERVAL_S,
    age_placement,
    age_work,
    postpone_placement,
)
from scalebend.core.gateway.placement_queue import compute_wait_limit
from scalebend.core.gateway.placement_repair import drop_replicas
from scalebend.core.gateway.slow_start import CEILING_PERMIT_LIFETIME_S
from scalebend.core.gateway.slow_start_budget import NO_PERMIT_RETRY_S
from scalebend.edges.gateway.evacuation_watch import EvacuationWatch
from scalebend.edges.gateway.leader_calls import LeaderCalls
from scalebend.edges.gateway.links import HEARTBEAT_INTERVAL_S, Dialer
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.running_attempts import RunningAttempts
from scalebend.models.calls import ReportedLoad
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import Fingerprint, InstanceId, SendPermitId, UpstreamId
from scalebend.models.placement import (
    Decision,
    Declined,
    EngineWork,
    JobId,
    JobStage,
    Placement,
    build_job_id,
)
from scalebend.models.rate_limits import ObservedLimit

if TYPE_CHECKING:
    from scalebend.edges.gateway.inspection import Inspector
    from scalebend.edges.gateway.upstream_client import UpstreamSessions

logger = structlog.get_logger(__name__)

TICK_S = 0.05
"""Interval at which the timers of the core run."""

CLOSE_TIMEOUT_S = 0.3
"""Time for background requests to finish when the process stops."""

FIRST_LEASE_TIMEOUT_S = 1.5
"""Time for which a request waits for the first lease of a process: after a restart of
all, control processes are ready about a second after the first fronts, and callers on
their last retry would fail if they were refused."""

MAX_UNKNOWN_HEADERS = 32
MAX_HEADER_NAME_CHARS = 64
"""Bounds of header names in metrics and logs, since upstreams choose the names."""

QUEUE_RENEWAL_S = 0.5
"""Time after which the leader is asked again about a job that waits there, which also
tells a new leader: short against the wait, with few messages while many wait."""

LEADER_RETRY_INTERVAL_S = 0.1
"""Interval at which a front asks for a placement that it can't decide itself: a new
leader begins to grant about twice this time after its election."""

MIN_START_DELAY_S = 0.01
"""Shorter delays of a placement are skipped: not worth a timer."""


class FrontRuntime:
    """One running front."""

    def __init__(self, settings: GatewaySettings, metrics: GatewayMetrics) -> None:
        self.settings = settings
        self.metrics = metrics
        self.chooser = random.Random()
        self._loop = asyncio.get_running_loop()
        self.instance = FrontInstance(settings, now=self.now())
        self._incarnation = time.time_ns()
        introduction = Introduce(settings.instance, self._incarnation, settings.role)
        self._dialer = Dialer(
            introduction, self._receive, self._add_link, self._remove_link, metrics
        )
        self._evacuations = EvacuationWatch(metrics)
        self.attempts = RunningAttempts()
        self._leader_calls = LeaderCalls(self._dialer.send)
        self._sessions: UpstreamSessions | None = None
        self._inspector: Inspector | None = None
        self._unknown_headers: set[str] = set()
        self._jobs = 0
        self._sends = 0
        self._permits = JobPermits()
        self._heartbeat_at = 0.0
        self._tasks: set[asyncio.Task[object]] = set()
        self._first_lease = asyncio.Event()
        self.open_requests = 0
        self.drain_began: float | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()

    @property
    def sessions(self) -> UpstreamSessions:
        """HTTP sessions to upstreams; set only while callers are served."""
        assert self._sessions is not None
        return self._sessions

    @contextlib.asynccontextmanager
    async def use_sessions(self, sessions: UpstreamSessions) -> AsyncIterator[None]:
        """Use ``sessions`` for requests to upstreams until the block ends."""
        # The HTTP modules are loaded late, after the links are up.
        from scalebend.edges.gateway.inspection import Inspector

        self._sessions = sessions
        self._inspector = Inspector(sessions.pooled)
        try:
            yield
        finally:
            await self._finish_tasks()

    # Timers and links

    async def run(self) -> None:
        """Run the timers until cancelled."""
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    def _tick(self) -> None:
        now = self.now()
        self._dialer.set_targets(self.instance.instances)
        self._execute(self.instance.advance(now))
        limits = self.instance.limits
        self.metrics.set_rate_limited_upstreams(limits.count_limited())
        self.metrics.set_cold_upstreams(len(limits.starts.list_cold(now)))
        degraded = self.instance.paths.health.list_degraded()
        self.metrics.set_degraded_paths(len(degraded))
        self._dialer.close_unresponsive(now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._dialer.send_to_all(Heartbeat())

    def _receive(self, sender: InstanceId, message: LinkMessage) -> None:
        if self._leader_calls.receive(message):
            return
        leader = self.instance.leader
        self._execute(self.instance.handle(sender, message, self.now()))
        self._evacuations.report(self.instance.evacuations.newest)
        if self.instance.leader != leader:
            self._leader_calls.record_new_leader()
        if self.instance.may_admit(self.now()):
            self._first_lease.set()

    async def wait_for_first_lease(self) -> None:
        """Wait for the first lease after the start, up to a timeout."""
        if self._first_lease.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LEASE_TIMEOUT_S):
                await self._first_lease.wait()

    def _add_link(self, instance: InstanceId) -> None:
        self.instance.add_link(instance)

    def _remove_link(self, instance: InstanceId) -> None:
        self.instance.remove_link(instance)

    def _execute(self, actions: Iterable[FrontAction]) -> None:
        for action in actions:
            match action:
                case ToControl(instance, message):
                    self._dialer.send(instance, message)
                case EndAttempts(upstreams):
                    self.attempts.end(upstreams)

    def spawn(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[object]:
        """Run ``work`` as a background task, and return it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Close all links."""
        await self._dialer.close()

    async def _finish_tasks(self) -> None:
        """Wait for background tasks, up to a timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)

    def is_closing_connections(self) -> bool:
        """Whether responses should close the connections of callers."""
        return self.instance.is_draining or self.instance.is_cut_off(self.now())

    # Placement

    def build_job_id(self) -> JobId:
        """Return an id that is unique over all attempts of all fronts."""
        self._jobs += 1
        return build_job_id(self.settings.instance, self._incarnation, self._jobs)

    async def place(self, work: EngineWork) -> Decision:
        """Ask the leader for a placement; place uncoordinated if it does not reply.

        Without the leader a front has few of the replicas with ceilings, so it asks
        again for a short time rather than decline.
        """
        until = self.now() + NO_PERMIT_RETRY_S
        waited_before = work.waited
        decision = await self._place_once(work)
        while (
            decision.leader is None
            and isinstance(decision.placed, Declined)
            and self.instance.limits.starts.applies_to(work.service)
            and self.now() + LEADER_RETRY_INTERVAL_S < until
        ):
            await asyncio.sleep(LEADER_RETRY_INTERVAL_S)
            work = age_work(work, decision.waited + LEADER_RETRY_INTERVAL_S)
            decision = await self._place_once(work)
        waited = work.waited - waited_before + decision.waited
        return msgspec.structs.replace(decision, waited=waited)

    async def _place_once(self, work: EngineWork) -> Decision:
        work = self.instance.exclude_in_backoff(work, self.now())
        before = work.waited
        leader = self.instance.leader
        asked_at = self.now()
        reply = await self._leader_calls.place(leader, work)
        placed: Placement | Declined | None = None
        if reply is not None:
            placed = reply.placement or reply.declined
            if placed is None and reply.is_queued:
                work, placed = await self._wait_in_queue(work)
                leader = self.instance.leader
                # The permit of what the leader released is as old as its reply.
                asked_at = self.now()
        is_uncoordinated = placed is None
        if placed is None:
            leader = None
            asked_at = self.now()
            placed = self.instance.place(work, self.now())
        if isinstance(placed, Placement):
            self._permits.record(work.job, placed, asked_at)
            self._execute(
                self.instance.open_job(
                    work, placed, self.now(), is_uncoordinated=is_uncoordinated
                )
            )
        elif is_uncoordinated:
            # A leader whose reply came late may hold the job or count it.
            self.record_job_end(work.job)
        self.metrics.count_placement("front" if is_uncoordinated else "leader")
        return Decision(placed, leader, work.waited - before)

    async def _wait_in_queue(
        self, work: EngineWork
    ) -> tuple[EngineWork, Placement | Declined | None]:
        """Wait until the leader has room; ``None`` if this front has to decide.

        The leader is asked again at an interval, which announces the work to a new one.
        """
        outcome = "left"
        try:
            while True:
                started_at = self.now()
                reply = await self._leader_calls.await_release(
                    work.job, min(QUEUE_RENEWAL_S, work.remaining)
                )
                work = age_work(work, self.now() - started_at)
                if reply is None:
                    reply = await self._leader_calls.place(
                        self.instance.leader,
                        self.instance.exclude_in_backoff(work, self.now()),
                        may_back_off=False,
                    )
                placed = None
                if reply is not None:
                    placed = reply.placement or reply.declined
                if placed is not None:
                    is_placed = isinstance(placed, Placement)
                    outcome = "placed" if is_placed else "declined"
                    return work, placed
                is_queued = reply is not None and reply.is_queued
                if not is_queued and not self._may_keep_waiting(work):
                    outcome = "alone"
                    return work, None
        finally:
            self.metrics.count_queued_request(outcome)
            if outcome in ("left", "alone"):
                self.record_job_end(work.job)

    def _may_keep_waiting(self, work: EngineWork) -> bool:
        """Whether to wait for the next leader, because this front has no room either.

        The front knows less than a leader, but places in its stead.
        """
        if compute_wait_limit(work) <= 0.0:
            return False
        return not self.instance.has_room(work, self.now())

    async def place_second(self, work: EngineWork) -> Placement | None:
        """Ask the leader for idle room; ``None`` without any, or without a leader."""
        work = self.instance.exclude_in_backoff(work, self.now())
        reply = await self._leader_calls.place(
            self.instance.leader, work, may_back_off=False
        )
        placement = reply.placement if reply is not None else None
        if placement is None or not is_fit(work, placement):
            return None
        self._execute(
            self.instance.open_job(work, placement, self.now(), is_uncoordinated=False)
        )
        return placement

    async def wait_for_start(
        self, work: EngineWork, placement: Placement
    ) -> Placement | Declined:
        """Wait until the prompt may be sent.

        Meanwhile, ask the leader periodically for a new placement.
        """
        while placement.start_in > REPLAN_INTERVAL_S:
            started_at = self.now()
            interval = REPLAN_INTERVAL_S
            if self._leader_calls.is_queued(work.job):
                interval = min(QUEUE_RENEWAL_S, placement.start_in)
            reply = await self._leader_calls.await_release(work.job, interval)
            asked_at = self.now()
            if reply is None:
                renewed = age_work(work, asked_at - started_at)
                reply = await self._leader_calls.place(
                    self.instance.leader,
                    self.instance.exclude_in_backoff(renewed, self.now()),
                    may_back_off=False,
                )
            waited = self.now() - started_at
            work = age_work(work, waited)
            placed = None
            if reply is not None:
                placed = reply.placement or reply.declined
            if isinstance(placed, Declined):
                return placed
            if placed is None:
                placement = age_placement(placement, waited)
                if reply is not None and reply.is_queued:
                    # The leader gave the planned room to a more urgent job.
                    placement = postpone_placement(placement, QUEUE_RENEWAL_S)
                continue
            placement = placed
            self._permits.record(work.job, placement, asked_at)
            self.instance.record_replanned(work, placement, self.now())
        if self._leader_calls.is_queued(work.job):
            # The leader is lost or silent: the prompt starts as it was planned.
            self._leader_calls.forget_queued(work.job)
            self._execute(self.instance.replace_job(work.job, placement, self.now()))
        if placement.start_in >= MIN_START_DELAY_S:
            await asyncio.sleep(min(placement.start_in, max(0.0, work.remaining)))
        return placement

    def drop_unusable(self, work: EngineWork, placement: Placement) -> Placement | None:
        """Return the placement without unusable replicas; ``None`` to place anew."""
        unusable = self.instance.list_unusable(placement, self.now())
        if not unusable:
            return placement
        kept = drop_replicas(placement, unusable)
        if kept is not None and kept.upstream != placement.upstream:
            # There is no send permit for the new lead replica.
            if self.instance.limits.needs_permit(kept.upstream):
                kept = None
        logger.info(
            "replicas of a placement left",
            job=work.job,
            left=sorted(unusable),
            staying=len(kept.upstreams) if kept is not None else 0,
        )
        if kept is not None:
            self._execute(self.instance.replace_job(work.job, kept, self.now()))
        return kept

    async def request_send_permit(
        self, upstreams: list[UpstreamId], timeout_s: float
    ) -> SendPermitReply:
        """Ask the leader for a permit to send to one of some rate-limited upstreams.

        Without a reply, or if the leader may not grant yet, grant it from the share of
        this front and report the send.
        """
        self._sends += 1
        request = SendPermitRequest(SendPermitId(self._sends), upstreams, timeout_s)
        reply = await self._leader_calls.request_send_permit(
            self.instance.leader, request
        )
        if reply is not None and not reply.is_undecided:
            return reply
        grant = self.instance.limits.grant(request, self.now())
        if grant.upstream is not None:
            self._execute(self.instance.record_uncoordinated_send(grant.upstream))
        return grant

    async def renew_send_permit(
        self, work: EngineWork, upstreams: Sequence[UpstreamId]
    ) -> bool:
        """Get another permit for a prompt that is sent later than planned.

        Each replica that takes part needs one. Returns whether the prompt may be sent
        now. Only replicas with a ceiling need it; see
        :mod:`scalebend.core.gateway.job_permits`.
        """
        asked_at = self.now()
        starts = self.instance.limits.starts
        is_needed = starts.applies_to(work.service)
        if not is_needed or self._permits.is_valid(work.job, asked_at):
            return True
        # Permits of several replicas have to be due at about the same time.
        timeout_s = (
            REPLAN_INTERVAL_S if len(upstreams) == 1 else CEILING_PERMIT_LIFETIME_S / 2
        )
        asked = [self.request_send_permit([one], timeout_s) for one in upstreams]
        replies = await asyncio.gather(*asked)
        is_granted = all(reply.upstream is not None for reply in replies)
        if is_granted:
            await asyncio.sleep(max(reply.wait for reply in replies))
            due = asked_at + min(reply.wait for reply in replies)
            self._permits.renew(work.job, due)
            is_granted = self._permits.is_valid(work.job, self.now())
        logger.info(
            "send permit renewed",
            job=work.job,
            upstreams=list(upstreams),
            granted=is_granted,
            waited=round(self.now() - asked_at, 3),
        )
        self.metrics.count_permit_renewal(is_granted=is_granted)
        return is_granted

    def record_first_token(self, job: JobId, load: ReportedLoad | None) -> None:
        """Record the first event of a job, and the load that the replica reported."""
        count = load.running + load.waiting if load is not None else None
        stage = JobStage(job, is_ended=False, load=count)
        self._execute(self.instance.record_stage(stage, self.now()))

    def record_job_end(self, job: JobId, *, has_failed: bool = True) -> None:
        """Record that a job ended, with or without success."""
        self._leader_calls.forget_queued(job)
        self._permits.forget(job)
        stage = JobStage(job, is_ended=True, has_failed=has_failed)
        self._execute(self.instance.record_stage(stage, self.now()))

    async def inspect(self, placement: Placement) -> list[UpstreamId]:
        """Fetch and record reports of the replicas; return the unresponsive ones."""
        addresses = {helper.upstream: helper.address for helper in placement.helpers}
        addresses[placement.upstream] = placement.address
        assert self._inspector is not None
        inspection = await self._inspector.inspect(addresses, self.now())
        self._execute(self.instance.record_paces(inspection.paces, self.now()))
        for upstream in inspection.unresponsive:
            self.record_replica_failure(upstream)
        return self._inspector.list_unresponsive(addresses, self.now())

    async def fetch_report(self, placement: Placement) -> None:
        """Fetch reports of the replicas, or wait for those being fetched."""
        await self.inspect(placement)
        assert self._inspector is not None
        await self._inspector.wait_for_report(placement.upstream)

    def has_report(self, upstream: UpstreamId) -> bool:
        """Whether the replica has just sent its report."""
        if self._inspector is None:
            return False
        return self._inspector.has_report(upstream, self.now())

    def is_queueing(self, upstream: UpstreamId) -> bool:
        """Whether a recent report of the replica explains a wait by queued requests."""
        if self._inspector is None:
            return False
        return self._inspector.is_queueing(upstream, self.now())

    def record_limit(self, observed: ObservedLimit) -> None:
        """Record the rate limit, or its absence, that a response named."""
        self._execute(self.instance.record_limit(observed, self.now()))

    def record_backoff(self, upstream: UpstreamId, seconds: float) -> None:
        """Record that an upstream rejected a request and asked for a backoff."""
        self.instance.backoffs.record(upstream, seconds, self.now())
        self.metrics.count_backoff()

    def record_draining(self, upstream: UpstreamId) -> bool:
        """Record that an upstream is draining; return whether this was unknown."""
        actions = self.instance.record_draining(upstream)
        self._execute(actions or [])
        return actions is not None

    def record_unknown_header(self, upstream: UpstreamId, name: str) -> None:
        """Count a header of the upstream that this version does not know."""
        word = name.lower()[:MAX_HEADER_NAME_CHARS]
        if word not in self._unknown_headers:
            if len(self._unknown_headers) >= MAX_UNKNOWN_HEADERS:
                word = "other"
            else:
                self._unknown_headers.add(word)
                logger.warning("unknown word", upstream=upstream, name=word)
        self.metrics.count_unknown_header(word)

    def record_backoff_refusal(self) -> None:
        """Count a request refused since all remaining upstreams are in backoff."""
        self.metrics.count_backoff_rejection()

    def record_limit_refusal(self) -> None:
        """Count a request refused since all upstreams are at their rate limits."""
        self.metrics.count_rate_limit_rejection()

    def record_crash(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """Record that an upstream crashed or was disconnected during a request."""
        self.metrics.count_lost_request()
        self._execute(self.instance.record_crash(fingerprint, upstream, self.now()))

    def record_unanswered(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """Record an attempt that timed out while its connection stayed open."""
        self.instance.record_unanswered(fingerprint, upstream, self.now())

    def record_completed(self, fingerprint: Fingerprint) -> None:
        """Record that an upstream sent a complete response to the request."""
        self._execute(self.instance.record_completed(fingerprint, self.now()))

    def record_path(self, upstream: UpstreamId, observed: int, lost: int) -> None:
        """Count pieces of data of an upstream, and those of them lost on the way."""
        self.instance.record_path(upstream, observed, lost, self.now())
        self.metrics.count_path_losses(lost)

    def record_failed_connection(self, upstream: UpstreamId) -> None:
        """Count a connection to an upstream that timed out."""
        self.instance.record_failed_connection(upstream, self.now())

    def record_rejection(self, upstream: UpstreamId) -> None:
        """Record that an engine rejected a request without running it."""
        self._execute(self.instance.record_rejection(upstream, self.now()))

    def record_overdue(self, upstream: UpstreamId) -> None:
        """Record that a first token of a replica is overdue."""
        self._execute(self.instance.record_overdue(upstream, self.now()))

    def record_replica_failure(self, upstream: UpstreamId) -> None:
        """Record that a replica is unreachable or unresponsive."""
        self._execute(self.instance.record_failure(upstream, self.now()))


@contextlib.asynccontextmanager
async def run_front(
    settings: GatewaySettings, metrics: GatewayMetrics
) -> AsyncIterator[FrontRuntime]:
    """Run the links and timers of a front."""
    runtime = FrontRuntime(settings, metrics)
    task = asyncio.create_task(runtime.run())
    try:
        yield runtime
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await runtime.close()
