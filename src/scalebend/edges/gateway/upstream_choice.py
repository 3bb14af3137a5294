"""Chooses the upstream of each attempt, and counts the request there meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
import structlog

from scalebend.core.gateway.placement_aging import age_work
from scalebend.core.gateway.silences import MAX_PAUSE_S
from scalebend.core.gateway.timeouts import (
    compute_inspection_delay,
    compute_room_timeout,
)
from scalebend.edges.gateway.crash_evidence import CrashEvidence
from scalebend.edges.gateway.evacuated_services import refuse_evacuated
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.reservations import HelperUnresponsiveError, reserve_memory
from scalebend.edges.gateway.service_choice import choose_within_limits
from scalebend.models.calls import Call, ReportedLoad
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement

logger = structlog.get_logger(__name__)

DEFAULT_RETRY_AFTER_S = 0.25
"""``Retry-After`` of refused requests: engines finish several short requests in it."""

RETRY_AFTER_SPREAD_S = 0.25
"""Jitter of ``Retry-After`` for callers refused during one backoff, who would overload
the first available upstream if they retried together."""


class Target(msgspec.Struct, frozen=True):
    """Upstreams of one attempt."""

    upstream: UpstreamId
    address: str
    helpers: list[str]
    predicted: float | None = None
    job: JobId | None = None
    placement: Placement | None = None
    unavailable: UpstreamId | None = None
    """An unavailable upstream of the placement: the request must not be sent."""

    @property
    def upstreams(self) -> list[UpstreamId]:
        """All that are needed until the first event."""
        if self.placement is None:
            return [self.upstream]
        return self.placement.upstreams

    @property
    def decode_upstreams(self) -> list[UpstreamId]:
        """Those that are needed until the end; the other helpers only prefill."""
        helpers = self.placement.helpers if self.placement is not None else ()
        return [self.upstream, *(one.upstream for one in helpers if one.tokens)]

    def find_helper(self, address: str | None) -> UpstreamId | None:
        """Return the helper at ``address``, if there is one."""
        helpers = self.placement.helpers if self.placement is not None else ()
        for helper in helpers:
            if helper.address == address:
                return helper.upstream
        return None


def _build_unavailable_target(placement: Placement, unavailable: UpstreamId) -> Target:
    return Target(
        placement.upstream,
        placement.address,
        [],
        placement=placement,
        unavailable=unavailable,
    )


class UpstreamChoice:
    """Chooses the upstreams of the attempts of one call."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        evidence: CrashEvidence,
        excluded: set[UpstreamId],
    ) -> None:
        """``excluded`` is shared: it grows as attempts fail."""
        self._evidence = evidence
        self._runtime = runtime
        self._call = call
        self._excluded = excluded
        self._inspection_timer: asyncio.TimerHandle | None = None
        self._has_met_unavailable = False
        """Whether a replica of an earlier group was unavailable."""

        self.load: ReportedLoad | None = None
        """The load that the chosen upstream reported in its response."""

        self.has_failed = True
        """Whether the attempt failed; true until a response succeeded."""

        self.is_complete = False
        """Whether the attempt, or another one beside it, had a complete response."""

        self._has_first_event = False
        """Whether the upstream that was chosen sent an event."""

        self.retry_after = DEFAULT_RETRY_AFTER_S
        """Seconds after which the caller may retry, if nothing is chosen."""

    async def exclude_unresponsive(self, target: Target) -> None:
        """Exclude all replicas of a prefill group that do not respond now.

        Several often crash or pause together. If they were found one by one, by failed
        attempts, a long prompt would use up its attempts.
        """
        if target.placement is not None and target.placement.helpers:
            self._has_met_unavailable = True
            await self._inspect(target.placement)

    async def _inspect(self, placement: Placement) -> list[UpstreamId]:
        unresponsive = await self._runtime.inspect(placement)
        self._excluded.update(unresponsive)
        return unresponsive

    def record_first_token(self, target: Target) -> None:
        """Record the first event of a stream."""
        self._has_first_event = True
        if target.job is not None:
            self._cancel_inspection()
            self._runtime.record_first_token(target.job, self.load)

    @contextlib.asynccontextmanager
    async def choose(self) -> AsyncIterator[Target | None]:
        """Choose an upstream and count the request there until the block ends."""
        if not await self._wait_for_backoff():
            yield None
            return
        retry_after_s = refuse_evacuated(self._runtime, self._call)
        if retry_after_s is not None:
            self.retry_after = retry_after_s
            yield None
            return
        profile = self._runtime.instance.table.find_engine(self._call.service)
        if profile is not None and self._call.headers.prompt is not None:
            async with self._choose_engines() as target:
                yield target
            return
        async with self._choose_service() as target:
            yield target

    async def _wait_for_backoff(self) -> bool:
        """Wait for an upstream out of backoff; return whether that is soon enough."""
        runtime, call = self._runtime, self._call
        while True:
            now = runtime.now()
            wait = runtime.instance.compute_backoff(call.service, self._excluded, now)
            if wait <= 0.0:
                return True
            if wait > compute_room_timeout(call, now):
                break
            await asyncio.sleep(wait)
        self.retry_after = wait + runtime.chooser.uniform(0.0, RETRY_AFTER_SPREAD_S)
        runtime.record_backoff_refusal()
        logger.info(
            "all upstreams asked for a pause",
            request=call.headers.request,
            service=call.service,
            retry_after=round(self.retry_after, 3),
        )
        return False

    @contextlib.asynccontextmanager
    async def _choose_service(self) -> AsyncIterator[Target | None]:
        runtime = self._runtime
        instance = runtime.instance
        choice = await choose_within_limits(runtime, self._call, self._excluded)
        endpoint = choice.endpoint
        if endpoint is None:
            if choice.retry_after is not None:
                self.retry_after = choice.retry_after
            yield None
            return
        instance.balancer.record_sent(endpoint.upstream)
        self.load = None
        self.has_failed = True
        self.is_complete = self._has_first_event = False
        chosen_at = runtime.now()
        is_cancelled = False
        try:
            yield Target(endpoint.upstream, endpoint.address, [])
        except asyncio.CancelledError:
            is_cancelled = True
            raise
        finally:
            has_failed: bool | None = self.has_failed
            # Its caller left, or another attempt was faster.
            is_undecided = has_failed and (is_cancelled or self.is_complete)
            if is_undecided and not self._is_silent_for_long(chosen_at):
                has_failed = None
            instance.balancer.record_ended(
                endpoint.upstream,
                self.load,
                runtime.now(),
                has_failed=has_failed,
            )

    def _is_silent_for_long(self, chosen_at: float) -> bool:
        """Whether no event came for longer than a sound upstream pauses."""
        is_long = self._runtime.now() - chosen_at >= MAX_PAUSE_S
        return is_long and not self._has_first_event

    @contextlib.asynccontextmanager
    async def _choose_engines(self) -> AsyncIterator[Target | None]:
        runtime = self._runtime
        work = self._build_work()
        decision = await runtime.placements.place(work)
        if decision.waited > 0.0:
            work = age_work(work, decision.waited)
        placement = decision.placed
        if isinstance(placement, Declined):
            self._log_declined(work, placement, decision.leader)
            self.retry_after = placement.retry_after
            yield None
            return
        self._log_placement(work, placement, decision.leader)
        try:
            renewed = await runtime.placements.wait_for_start(work, placement)
            if isinstance(renewed, Declined):
                self._log_declined(work, renewed, decision.leader)
                self.retry_after = renewed.retry_after
                yield None
                return
            if renewed.upstreams != placement.upstreams:
                self._log_placement(work, renewed, decision.leader)
            placement = renewed
            kept = runtime.placements.drop_unusable(work, placement)
            if kept is None:
                yield _build_unavailable_target(placement, placement.upstream)
                return
            placement = kept
            if self._has_met_unavailable and placement.helpers:
                # A new member may have crashed, too. The lead replica would find it at
                # the cost of a retry.
                unresponsive = await self._inspect(placement)
                if unresponsive:
                    yield _build_unavailable_target(placement, unresponsive[0])
                    return
            if not await runtime.renew_send_permit(work, placement.upstreams):
                yield _build_unavailable_target(placement, placement.upstream)
                return
            async with contextlib.AsyncExitStack() as stack:
                reservation = reserve_memory(runtime, work, placement)
                try:
                    helpers = await stack.enter_async_context(reservation)
                except HelperUnresponsiveError as error:
                    yield _build_unavailable_target(placement, error.upstream)
                    return
                # The reservation may have taken longer than the permits count.
                if not await runtime.renew_send_permit(work, placement.upstreams):
                    yield _build_unavailable_target(placement, placement.upstream)
                    return
                self._inspection_timer = asyncio.get_running_loop().call_later(
                    compute_inspection_delay(
                        placement.first_token_in - placement.start_in
                    ),
                    lambda: runtime.spawn(runtime.inspect(placement)),
                )
                yield Target(
                    placement.upstream,
                    placement.address,
                    helpers,
                    placement.first_token_in - placement.start_in,
                    work.job,
                    placement,
                )
        finally:
            self._cancel_inspection()
            runtime.record_job_end(work.job, has_failed=not self.is_complete)

    @contextlib.asynccontextmanager
    async def choose_second(self) -> AsyncIterator[Target | None]:
        """Choose a replica for a second attempt; ``None`` if there is no idle room."""
        runtime = self._runtime
        work = msgspec.structs.replace(self._build_work(), is_second=True)
        try:
            placement = await runtime.placements.place_second(work)
            if placement is None:
                logger.info(
                    "no replica for a second attempt",
                    request=self._call.headers.request,
                    job=work.job,
                    leader=runtime.instance.leader,
                )
                yield None
                return
            self._log_placement(work, placement, runtime.instance.leader)
            yield Target(
                placement.upstream,
                placement.address,
                [],
                placement.first_token_in,
                work.job,
                placement,
            )
        finally:
            runtime.record_job_end(work.job)

    def _cancel_inspection(self) -> None:
        if self._inspection_timer is not None:
            self._inspection_timer.cancel()
            self._inspection_timer = None

    def _build_work(self) -> EngineWork:
        call = self._call
        route, prompt = call.route, call.headers.prompt
        assert prompt is not None
        now = self._runtime.now()
        return EngineWork(
            job=self._runtime.build_job_id(),
            service=call.service,
            prompt_tokens=prompt.prompt,
            output_tokens=prompt.max_output_tokens,
            expected_tokens=prompt.expected_output_tokens,
            target=route.target_latency,
            event_gap=route.event_gap or route.target_latency,
            remaining=call.deadline - now,
            excluded=tuple(self._excluded),
            is_suspect=self._evidence.is_suspect(),
            priority=call.priority,
            customer=call.customer,
            availability_zone=self._runtime.settings.availability_zone,
            fingerprint=self._evidence.identity.fingerprint,
            waited=now - call.arrived,
        )

    def _log_declined(
        self, work: EngineWork, declined: Declined, leader: InstanceId | None
    ) -> None:
        logger.info(
            "engines declined",
            request=self._call.headers.request,
            job=work.job,
            fingerprint=work.fingerprint,
            prompt=work.prompt_tokens,
            excluded=len(work.excluded),
            limited=self._runtime.instance.limits.count_limited(),
            retry_after=declined.retry_after,
            leader=leader,
        )

    def _log_placement(
        self, work: EngineWork, placement: Placement, leader: InstanceId | None
    ) -> None:
        logger.info(
            "engines chosen",
            request=self._call.headers.request,
            job=work.job,
            fingerprint=work.fingerprint,
            prompt=work.prompt_tokens,
            upstream=placement.upstream,
            address=placement.address,
            helpers=[helper.upstream for helper in placement.helpers],
            predicted=round(placement.first_token_in, 3),
            start_in=round(placement.start_in, 3),
            leader=leader,
            routing=self._runtime.instance.table.routing.version,
        )
