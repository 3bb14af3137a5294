"""Runs one front: its links to control, its timers, and placement of engine work."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Coroutine, Iterable
from typing import TYPE_CHECKING, Any

import structlog

from scalebend.core.gateway.front_instance import (
    EndAttempts,
    FrontAction,
    FrontInstance,
    ToControl,
)
from scalebend.core.gateway.messages import (
    Heartbeat,
    Introduce,
    LinkMessage,
    SendPermitReply,
    SendPermitRequest,
)
from scalebend.core.gateway.placement_aging import (
    REPLAN_PERIOD_S,
    age_placement,
    age_work,
)
from scalebend.core.gateway.placement_repair import drop_replicas
from scalebend.edges.gateway.leader_calls import LeaderCalls
from scalebend.edges.gateway.links import HEARTBEAT, Dialer
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.running_attempts import RunningAttempts
from scalebend.models.calls import LoadReading
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import Fingerprint, InstanceId, SendId, UpstreamId
from scalebend.models.placement import (
    Decision,
    Declined,
    EngineWork,
    JobId,
    JobStage,
    Placement,
    build_job_id,
)
from scalebend.models.request_limits import HeardLimit

if TYPE_CHECKING:
    from scalebend.edges.gateway.inspection import Inspector
    from scalebend.edges.gateway.upstream_client import UpstreamSessions

logger = structlog.get_logger(__name__)

TICK = 0.05
"""Seconds between two calls of the core's timers."""

CLOSE_TIMEOUT = 0.3
"""Seconds for orders that are under way when the process stops."""

STARTING_WAIT = 1.5
"""Seconds for which a request waits at a process that has just started: after a restart
of all, control processes that share their machines are ready about a second after the
first fronts, and callers whose attempts are used up would be lost if they were refused:
30 of 43 in a second at one front that waited 0.6 s and got its lease after 1.1 s."""

MOST_UNKNOWN_WORDS = 32
LONGEST_WORD = 64
"""Names of headers that are counted each by itself, and characters of one: upstreams
choose them."""

LEAST_WAIT = 0.01
"""Seconds below which a placement's pause is not worth a timer."""


class FrontRuntime:
    """One running front."""

    def __init__(self, settings: GatewaySettings, metrics: GatewayMetrics) -> None:
        self.settings = settings
        self.metrics = metrics
        self.chooser = random.Random()
        self._loop = asyncio.get_running_loop()
        self.instance = FrontInstance(settings, now=self.now())
        self._incarnation = time.time_ns()
        me = Introduce(settings.instance, self._incarnation, settings.role)
        self._dialer = Dialer(
            me, self._receive, self._note_up, self._note_down, metrics
        )
        self.attempts = RunningAttempts()
        self._leader_calls = LeaderCalls(self._dialer.send)
        self._sessions: UpstreamSessions | None = None
        self._inspector: Inspector | None = None
        self._unknown_words: set[str] = set()
        self._jobs = 0
        self._sends = 0
        self._heartbeat_at = 0.0
        self._tasks: set[asyncio.Task[object]] = set()
        self._first_lease = asyncio.Event()
        self.open_requests = 0
        self.drain_began: float | None = None

    def now(self) -> float:
        """Seconds of the clock that only runs forward."""
        return self._loop.time()

    @property
    def sessions(self) -> UpstreamSessions:
        """Connections to upstreams; there are some while callers are served."""
        assert self._sessions is not None
        return self._sessions

    @contextlib.asynccontextmanager
    async def use_sessions(self, sessions: UpstreamSessions) -> AsyncIterator[None]:
        """Send requests to upstreams over ``sessions`` until the block ends."""
        # Imported with the rest of HTTP, which is loaded after links are up.
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
            await asyncio.sleep(TICK)

    def _tick(self) -> None:
        now = self.now()
        self._dialer.keep_to(self.instance.instances)
        self._execute(self.instance.advance(now))
        self.metrics.set_limited(self.instance.limits.count_limited())
        self._dialer.close_silent(now)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT
            self._dialer.send_to_all(Heartbeat())

    def _receive(self, sender: InstanceId, message: LinkMessage) -> None:
        if self._leader_calls.take(message):
            return
        leader = self.instance.leader
        self._execute(self.instance.handle(sender, message, self.now()))
        if self.instance.leader != leader:
            self._leader_calls.note_leader_changed()
        if self.instance.may_admit(self.now()):
            self._first_lease.set()

    async def wait_for_first_lease(self) -> None:
        """Wait a little, if this process was never able to admit requests yet."""
        if self._first_lease.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STARTING_WAIT):
                await self._first_lease.wait()

    def _note_up(self, instance: InstanceId) -> None:
        self.instance.add_link(instance)

    def _note_down(self, instance: InstanceId) -> None:
        self.instance.remove_link(instance)

    def _execute(self, actions: Iterable[FrontAction]) -> None:
        for action in actions:
            match action:
                case ToControl(instance, message):
                    self._dialer.send(instance, message)
                case EndAttempts(upstreams):
                    self.attempts.end(upstreams)

    def spawn(self, work: Coroutine[Any, Any, object]) -> None:
        """Run ``work`` beside the requests."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End all links."""
        await self._dialer.close()

    async def _finish_tasks(self) -> None:
        """Wait a little for what runs beside the requests."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT)

    def wants_callers_to_go(self) -> bool:
        """Whether callers should send what comes next over another connection."""
        return self.instance.is_draining or self.instance.is_cut_off(self.now())

    # Placement

    def build_job_id(self) -> JobId:
        """Return a name that no other attempt of any front has."""
        self._jobs += 1
        return build_job_id(self.settings.instance, self._incarnation, self._jobs)

    async def place(self, work: EngineWork) -> Decision:
        """Ask the leader where to run; decide alone if it does not answer in time."""
        work = self.instance.exclude_in_backoff(work, self.now())
        leader = self.instance.leader
        answer = await self._leader_calls.place(leader, work)
        placed: Placement | Declined | None = None
        if answer is not None:
            placed = answer.placement or answer.declined
        is_own = placed is None
        if placed is None:
            leader = None
            placed = self.instance.place(work, self.now())
        if isinstance(placed, Placement):
            self._execute(
                self.instance.open_job(
                    work, placed, self.now(), is_uncoordinated=is_own
                )
            )
        self.metrics.count_placement("front" if is_own else "leader")
        return Decision(placed, leader)

    async def wait_for_turn(
        self, work: EngineWork, placement: Placement
    ) -> Placement | Declined:
        """Wait until the prompt may be sent; ask now and then if that is sooner."""
        while placement.start_in > REPLAN_PERIOD_S:
            asked_at = self.now()
            await asyncio.sleep(REPLAN_PERIOD_S)
            renewed = age_work(work, REPLAN_PERIOD_S)
            answer = await self._leader_calls.place(
                self.instance.leader,
                self.instance.exclude_in_backoff(renewed, self.now()),
                may_pause=False,
            )
            waited = self.now() - asked_at
            work = age_work(work, waited)
            placed = None
            if answer is not None:
                placed = answer.placement or answer.declined
            if isinstance(placed, Declined):
                return placed
            if placed is None:
                placement = age_placement(placement, waited)
                continue
            placement = placed
            self.instance.record_replanned(work, placement, self.now())
        if placement.start_in >= LEAST_WAIT:
            await asyncio.sleep(min(placement.start_in, max(0.0, work.remaining)))
        return placement

    def keep_staying(self, work: EngineWork, placement: Placement) -> Placement | None:
        """The placement without replicas that take nothing; ``None``: place anew."""
        left = self.instance.list_unusable(placement, self.now())
        if not left:
            return placement
        kept = drop_replicas(placement, left)
        if kept is not None and kept.upstream != placement.upstream:
            # Another one answers now: nothing was granted there.
            if self.instance.limits.is_limited(kept.upstream):
                kept = None
        logger.info(
            "replicas of a placement left",
            job=work.job,
            left=sorted(left),
            staying=len(kept.upstreams) if kept is not None else 0,
        )
        if kept is not None:
            self._execute(self.instance.replace_job(work.job, kept, self.now()))
        return kept

    async def request_send(
        self, upstreams: list[UpstreamId], patience: float
    ) -> SendPermitReply:
        """Ask the leader for a send to one of some limited upstreams.

        Without an answer this front has its own turns, and tells what it sends.
        """
        self._sends += 1
        question = SendPermitRequest(SendId(self._sends), upstreams, patience)
        answer = await self._leader_calls.request_send(self.instance.leader, question)
        if answer is not None:
            return answer
        alone = self.instance.limits.grant(question, self.now())
        if alone.upstream is not None:
            self._execute(self.instance.record_uncoordinated_send(alone.upstream))
        return alone

    def note_first_token(self, job: JobId, load: LoadReading | None) -> None:
        """The first event of a job came, with the replica's own count of its load."""
        count = load.running + load.waiting if load is not None else None
        stage = JobStage(job, is_ended=False, load=count)
        self._execute(self.instance.record_stage(stage, self.now()))

    def note_job_ended(self, job: JobId) -> None:
        """A job ended, well or not."""
        stage = JobStage(job, is_ended=True)
        self._execute(self.instance.record_stage(stage, self.now()))

    async def inspect(self, placement: Placement) -> list[UpstreamId]:
        """Ask the replicas which of them is slow; return those that do not answer."""
        addresses = {helper.upstream: helper.address for helper in placement.helpers}
        addresses[placement.upstream] = placement.address
        assert self._inspector is not None
        inspection = await self._inspector.inspect(addresses, self.now())
        self._execute(self.instance.record_paces(inspection.paces, self.now()))
        for upstream in inspection.silent:
            self.note_replica_failure(upstream)
        return self._inspector.list_silent(addresses, self.now())

    def is_queueing(self, upstream: UpstreamId) -> bool:
        """Whether a replica said lately that requests wait there."""
        if self._inspector is None:
            return False
        return self._inspector.is_queueing(upstream, self.now())

    def hear_limit(self, heard: HeardLimit) -> None:
        """An upstream's answer named the requests a second that it takes, or none."""
        self._execute(self.instance.record_limit(heard, self.now()))

    def hear_backoff(self, upstream: UpstreamId, seconds: float) -> None:
        """An upstream turned a request away, and wants nothing for so long."""
        self.instance.backoffs.record(upstream, seconds, self.now())
        self.metrics.count_backoff()

    def hear_draining(self, upstream: UpstreamId) -> bool:
        """An upstream said in an answer that it leaves; whether that is news."""
        actions = self.instance.record_draining(upstream)
        self._execute(actions or [])
        return actions is not None

    def note_unknown_word(self, upstream: UpstreamId, name: str) -> None:
        """An upstream says something of itself by a header that nothing here reads."""
        word = name.lower()[:LONGEST_WORD]
        if word not in self._unknown_words:
            if len(self._unknown_words) >= MOST_UNKNOWN_WORDS:
                word = "other"
            else:
                self._unknown_words.add(word)
                logger.warning("unknown word", upstream=upstream, name=word)
        self.metrics.count_unknown_word(word)

    def note_all_closed(self) -> None:
        """A request is refused, since all upstreams that are left asked for a pause."""
        self.metrics.count_backoff_refusal()

    def note_limits_full(self) -> None:
        """A request is refused, since no upstream that might take it has room."""
        self.metrics.count_limit_refusal()

    def note_lost(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """An upstream ended, or cut the request off, while it ran it."""
        self.metrics.count_lost_request()
        self._execute(self.instance.record_crash(fingerprint, upstream, self.now()))

    def note_unanswered(self, fingerprint: Fingerprint, upstream: UpstreamId) -> None:
        """An attempt got no answer, and its connection did not end."""
        self.instance.record_unanswered(fingerprint, upstream, self.now())

    def note_answered(self, fingerprint: Fingerprint) -> None:
        """An upstream gave a whole answer to the request."""
        self._execute(self.instance.record_completed(fingerprint, self.now()))

    def record_rejection(self, upstream: UpstreamId) -> None:
        """An engine turned a request away that it had not run."""
        self._execute(self.instance.record_rejection(upstream, self.now()))

    def note_replica_failure(self, upstream: UpstreamId) -> None:
        """A replica could not be reached, or fell silent."""
        self._execute(self.instance.record_failure(upstream, self.now()))


@contextlib.asynccontextmanager
async def run_front(
    settings: GatewaySettings, metrics: GatewayMetrics
) -> AsyncIterator[FrontRuntime]:
    """Run a front's links and timers."""
    runtime = FrontRuntime(settings, metrics)
    task = asyncio.create_task(runtime.run())
    try:
        yield runtime
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await runtime.close()
