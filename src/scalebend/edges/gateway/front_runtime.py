"""Runs one front: links to control instances, timers, and placement of engine work."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import AsyncIterator, Coroutine, Iterable, Sequence
from typing import TYPE_CHECKING, Any

import structlog

from scalebend.core.gateway.drain import Drain
from scalebend.core.gateway.front_actions import EndAttempts, FrontAction, ToControl
from scalebend.core.gateway.front_instance import FrontInstance
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
)
from scalebend.core.gateway.slow_start import CEILING_PERMIT_LIFETIME_S
from scalebend.edges.essential_tasks import start_essential_task
from scalebend.edges.gateway.evacuation_watch import EvacuationWatch
from scalebend.edges.gateway.held_requests import HeldRequests
from scalebend.edges.gateway.leader_calls import LeaderCalls
from scalebend.edges.gateway.links import HEARTBEAT_INTERVAL_S, Dialer
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.placement_calls import PlacementCalls
from scalebend.edges.gateway.running_attempts import RunningAttempts
from scalebend.edges.gateway.tunnel_server import TunnelServer, listen_for_tunnels
from scalebend.edges.stalls import StallGuard
from scalebend.models.calls import ReportedLoad
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import InstanceId, SendPermitId, UpstreamId
from scalebend.models.placement import (
    EngineWork,
    JobId,
    JobStage,
    Placement,
    build_job_id,
)
from scalebend.models.rate_limits import ObservedLimit
from scalebend.models.tunnels import TunnelKey, TunnelPeer

if TYPE_CHECKING:
    from scalebend.edges.gateway.inspection import Inspector
    from scalebend.edges.gateway.reachability import ReachabilityChecks
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

TUNNEL_KEY_BYTES = 16
"""Size of the random key that other fronts need to open tunnels through this one."""

MAX_UNKNOWN_HEADERS = 32
MAX_HEADER_NAME_CHARS = 64
"""Bounds of header names in metrics and logs, since upstreams choose the names."""


class FrontRuntime:
    """One running front."""

    def __init__(self, settings: GatewaySettings, metrics: GatewayMetrics) -> None:
        self.settings = settings
        self.metrics = metrics
        self.chooser = random.Random()
        self._loop = asyncio.get_running_loop()
        self.instance = FrontInstance(settings, now=self.now())
        self._incarnation = time.time_ns()
        tunnel_key = TunnelKey(secrets.token_hex(TUNNEL_KEY_BYTES))
        self.tunnels = TunnelServer(settings, self.instance, tunnel_key, metrics)
        introduction = Introduce(
            settings.instance,
            self._incarnation,
            settings.role,
            peer=_build_peer(settings, tunnel_key),
        )
        self._dialer = Dialer(
            introduction, self._receive, self._add_link, self._remove_link, metrics
        )
        self._evacuations = EvacuationWatch(metrics)
        self.attempts = RunningAttempts()
        self.held_requests = HeldRequests()
        self.leader_calls = LeaderCalls(self._dialer.send)
        self.placements = PlacementCalls(self)
        self._sessions: UpstreamSessions | None = None
        self._inspector: Inspector | None = None
        self._reachability: ReachabilityChecks | None = None
        self._unknown_headers: set[str] = set()
        self._jobs = 0
        self._sends = 0
        self.permits = JobPermits()
        self._heartbeat_at = 0.0
        self._tasks: set[asyncio.Task[object]] = set()
        self._first_lease = asyncio.Event()
        self.open_requests = 0
        self.drain: Drain | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()

    @property
    def sessions(self) -> UpstreamSessions:
        """HTTP sessions to upstreams; set only while callers are served."""
        assert self._sessions is not None
        return self._sessions

    @property
    def reachability(self) -> ReachabilityChecks:
        """Checks of silent upstreams; set only while callers are served."""
        assert self._reachability is not None
        return self._reachability

    @contextlib.asynccontextmanager
    async def use_sessions(self, sessions: UpstreamSessions) -> AsyncIterator[None]:
        """Use ``sessions`` for requests to upstreams until the block ends."""
        # The HTTP modules are loaded late, after the links are up.
        from scalebend.edges.gateway.inspection import Inspector
        from scalebend.edges.gateway.reachability import ReachabilityChecks

        self._sessions = sessions
        self._inspector = Inspector(sessions)
        self._reachability = ReachabilityChecks(self)
        try:
            yield
        finally:
            await self._finish_tasks()

    # Timers and links

    async def run(self) -> None:
        """Run the timers until cancelled."""
        guard = StallGuard(TICK_S, self.now(), self.metrics.count_stall)
        while True:
            if guard.may_run(self.now()):
                self._tick()
            await asyncio.sleep(TICK_S)

    def _tick(self) -> None:
        now = self.now()
        self._dialer.set_targets(self.instance.instances)
        self.execute(self.instance.advance(now))
        limits = self.instance.limits
        self.metrics.set_rate_limited_upstreams(limits.count_limited())
        self.metrics.set_cold_upstreams(len(limits.starts.list_cold(now)))
        degraded = self.instance.paths.health.list_degraded()
        self.metrics.set_degraded_paths(len(degraded))
        self.metrics.set_isolated(is_isolated=self.instance.reach.is_isolated)
        self._dialer.close_unresponsive(now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._dialer.send_to_all(Heartbeat())

    def _receive(self, sender: InstanceId, message: LinkMessage) -> None:
        if self.leader_calls.receive(message):
            return
        leader = self.instance.leader
        self.execute(self.instance.handle(sender, message, self.now()))
        self.held_requests.end(self.instance.parts.causes)
        self._evacuations.report(self.instance.evacuations.newest)
        if self.instance.leader != leader:
            self.leader_calls.record_new_leader()
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

    def execute(self, actions: Iterable[FrontAction]) -> None:
        """Perform actions that the core decided on."""
        for action in actions:
            match action:
                case ToControl(instance, message):
                    self._dialer.send(instance, message)
                case EndAttempts(upstreams):
                    self._end_attempts(upstreams)

    def _end_attempts(self, upstreams: Iterable[UpstreamId]) -> None:
        """End the attempts on incarnations that have ended."""
        for upstream in upstreams:
            successor = self.instance.directory.find_successor(upstream)
            address = successor.address if successor is not None else None
            self.attempts.end(upstream, address, self.now())

    def report(self, message: LinkMessage | None) -> None:
        """Send a report to the leader, if there are both."""
        self.execute(self.instance.report(message))

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
        instance, now = self.instance, self.now()
        is_unable = instance.is_cut_off(now) or instance.reach.is_stranded(now)
        return instance.is_draining or is_unable

    # Placement

    def build_job_id(self) -> JobId:
        """Return an id that is unique over all attempts of all fronts."""
        self._jobs += 1
        return build_job_id(self.settings.instance, self._incarnation, self._jobs)

    async def request_send_permit(
        self, upstreams: list[UpstreamId], timeout_s: float
    ) -> SendPermitReply:
        """Ask the leader for a permit to send to one of some rate-limited upstreams.

        Without a reply, or if the leader may not grant yet, grant it from the share of
        this front and report the send.
        """
        self._sends += 1
        request = SendPermitRequest(SendPermitId(self._sends), upstreams, timeout_s)
        reply = await self.leader_calls.request_send_permit(
            self.instance.leader, request
        )
        if reply is not None and not reply.is_undecided:
            return reply
        grant = self.instance.limits.grant(request, self.now())
        if grant.upstream is not None:
            self.execute(self.instance.record_uncoordinated_send(grant.upstream))
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
        if not is_needed or self.permits.is_valid(work.job, asked_at):
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
            self.permits.renew(work.job, due)
            is_granted = self.permits.is_valid(work.job, self.now())
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
        self.execute(self.instance.record_stage(stage, self.now()))

    def record_job_end(self, job: JobId, *, has_failed: bool = True) -> None:
        """Record that a job ended, with or without success."""
        self.leader_calls.forget_queued(job)
        self.permits.forget(job)
        stage = JobStage(job, is_ended=True, has_failed=has_failed)
        self.execute(self.instance.record_stage(stage, self.now()))

    async def inspect(self, placement: Placement) -> list[UpstreamId]:
        """Fetch and record reports of the replicas; return those that sent none."""
        addresses = {helper.upstream: helper.address for helper in placement.helpers}
        addresses[placement.upstream] = placement.address
        assert self._inspector is not None
        inspection = await self._inspector.inspect(addresses, self.now())
        self.execute(self.instance.record_paces(inspection.paces, self.now()))
        for upstream in inspection.unresponsive:
            self.record_replica_failure(upstream)
        return self._inspector.list_unanswered(addresses, self.now())

    async def fetch_report(self, placement: Placement) -> None:
        """Fetch reports of the replicas, or wait for those being fetched."""
        await self.inspect(placement)
        assert self._inspector is not None
        await self._inspector.wait_for_report(placement.upstream)

    def compute_pending_prefill(self, upstream: UpstreamId) -> float:
        """Return the seconds for which a replica is known to prefill prompts."""
        scheduler = self.instance.scheduler
        return scheduler.compute_pending_prefill(upstream, self.now())

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
        self.execute(self.instance.record_limit(observed, self.now()))

    def record_backoff(self, upstream: UpstreamId, seconds: float) -> None:
        """Record that an upstream rejected a request and asked for a backoff."""
        self.instance.backoffs.record(upstream, seconds, self.now())
        self.metrics.count_backoff()

    def record_draining(self, upstream: UpstreamId) -> bool:
        """Record that an upstream is draining; return whether this was unknown."""
        actions = self.instance.record_draining(upstream)
        self.execute(actions or [])
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

    def record_path(self, upstream: UpstreamId, observed: int, lost: int) -> None:
        """Count pieces of data of an upstream, and those of them lost on the way."""
        self.instance.record_path(upstream, observed, lost, self.now())
        self.metrics.count_path_losses(lost)

    def record_failed_connection(self, upstream: UpstreamId) -> None:
        """Count a connection to an upstream that timed out."""
        self.instance.record_failed_connection(upstream, self.now())

    def record_rejection(self, upstream: UpstreamId) -> None:
        """Record that an engine rejected a request without running it."""
        self.execute(self.instance.record_rejection(upstream, self.now()))

    def record_overdue(self, upstream: UpstreamId) -> None:
        """Record that a first token of a replica is overdue."""
        self.execute(self.instance.record_overdue(upstream, self.now()))

    def record_replica_failure(self, upstream: UpstreamId) -> None:
        """Record that a replica is unreachable or unresponsive."""
        self.execute(self.instance.record_failure(upstream, self.now()))


def _build_peer(settings: GatewaySettings, key: TunnelKey) -> TunnelPeer | None:
    """Return what other fronts need to open tunnels; ``None`` without an address."""
    if settings.tunnel_address is None:
        return None
    return TunnelPeer(
        settings.instance, settings.availability_zone, settings.tunnel_address, key
    )


@contextlib.asynccontextmanager
async def run_front(
    settings: GatewaySettings, metrics: GatewayMetrics
) -> AsyncIterator[FrontRuntime]:
    """Run the links and timers of a front."""
    runtime = FrontRuntime(settings, metrics)
    async with contextlib.AsyncExitStack() as stack:
        if settings.tunnel_address is not None:
            listening = listen_for_tunnels(settings.tunnel_address, runtime.tunnels)
            await stack.enter_async_context(listening)
        task = start_essential_task("timers", runtime.run())
        try:
            yield runtime
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            await runtime.close()
