"""Chooses where an attempt of one call goes, and counts the request there meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
import structlog

from scalebend.core.gateway.timeouts import (
    compute_inspection_delay,
    compute_room_timeout,
)
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.reservations import HolderSilentError, hold_memory
from scalebend.edges.gateway.service_choice import choose_with_room
from scalebend.models.calls import Call, ReportedLoad
from scalebend.models.ids import Fingerprint, InstanceId, UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement

logger = structlog.get_logger(__name__)

RETRY_LATER = 0.25
"""Seconds after which a refused caller may come back: engines end several short
requests in that time."""


RETURN_SPREAD = 0.25
"""Seconds over which callers come back that were refused for one pause: together they
would fill the upstream that is open first."""


class Target(msgspec.Struct, frozen=True):
    """Where one attempt goes."""

    upstream: UpstreamId
    address: str
    helpers: list[str]
    predicted: float | None = None
    job: JobId | None = None
    placement: Placement | None = None
    lost: UpstreamId | None = None
    """One that takes part and cannot, so that nothing is to be sent there."""

    @property
    def upstreams(self) -> list[UpstreamId]:
        """All that take part until the first event."""
        if self.placement is None:
            return [self.upstream]
        return self.placement.upstreams

    @property
    def holders(self) -> list[UpstreamId]:
        """Those that take part until the end: the others only read."""
        helpers = self.placement.helpers if self.placement is not None else ()
        return [self.upstream, *(one.upstream for one in helpers if one.tokens)]

    def find_helper(self, address: str | None) -> UpstreamId | None:
        """The helper at ``address``, if there is one."""
        helpers = self.placement.helpers if self.placement is not None else ()
        for helper in helpers:
            if helper.address == address:
                return helper.upstream
        return None


def _build_unsent(placement: Placement, lost: UpstreamId) -> Target:
    return Target(
        placement.upstream, placement.address, [], placement=placement, lost=lost
    )


class UpstreamChoice:
    """Choices for one call, one after the other."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        fingerprint: Fingerprint,
        excluded: set[UpstreamId],
    ) -> None:
        """``excluded`` grows while attempts fail."""
        self._fingerprint = fingerprint
        self._runtime = runtime
        self._call = call
        self._excluded = excluded
        self._lateness: asyncio.TimerHandle | None = None
        self.load: ReportedLoad | None = None
        """The chosen upstream's own count of its load, once it answered."""

        self.has_failed = True
        """Whether the attempt gave no answer to pass on, as far as known."""

        self.retry_after = RETRY_LATER
        """Seconds after which the caller may come back, if nothing is chosen."""

    async def exclude_silent(self, target: Target) -> None:
        """One of a group was lost: leave out all of it that do not answer now.

        A crash often takes several. Found one by one, by attempts that fail, they would
        cost a long prompt all its attempts.
        """
        if target.placement is not None and target.placement.helpers:
            silent = await self._runtime.inspect(target.placement)
            self._excluded.update(silent)

    def note_first_token(self, target: Target) -> None:
        """The first event of a stream came."""
        if target.job is not None:
            self._stop_lateness()
            self._runtime.note_first_token(target.job, self.load)

    @contextlib.asynccontextmanager
    async def choose(self) -> AsyncIterator[Target | None]:
        """Choose an upstream and count the request there until the block ends."""
        if not await self._wait_until_open():
            yield None
            return
        profile = self._runtime.instance.table.find_engine(self._call.service)
        if profile is not None and self._call.headers.prompt is not None:
            async with self._choose_engines() as target:
                yield target
            return
        async with self._choose_service() as target:
            yield target

    async def _wait_until_open(self) -> bool:
        """Whether an upstream takes requests now, or soon enough to wait for it."""
        runtime, call = self._runtime, self._call
        while True:
            now = runtime.now()
            wait = runtime.instance.compute_backoff(call.service, self._excluded, now)
            if wait <= 0.0:
                return True
            if wait > compute_room_timeout(call, now):
                break
            await asyncio.sleep(wait)
        self.retry_after = wait + runtime.chooser.uniform(0.0, RETURN_SPREAD)
        runtime.note_all_closed()
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
        room = await choose_with_room(runtime, self._call, self._excluded)
        endpoint = room.endpoint
        if endpoint is None:
            if room.retry_after is not None:
                self.retry_after = room.retry_after
            yield None
            return
        instance.balancer.record_sent(endpoint.upstream)
        self.load = None
        self.has_failed = True
        try:
            yield Target(endpoint.upstream, endpoint.address, [])
        finally:
            instance.balancer.record_ended(
                endpoint.upstream,
                self.load,
                runtime.now(),
                has_failed=self.has_failed,
            )

    @contextlib.asynccontextmanager
    async def _choose_engines(self) -> AsyncIterator[Target | None]:
        runtime = self._runtime
        work = self._build_work()
        decision = await runtime.place(work)
        placement = decision.placed
        if isinstance(placement, Declined):
            self._log_declined(work, placement, decision.leader)
            self.retry_after = placement.retry_after
            yield None
            return
        self._log_placement(work, placement, decision.leader)
        try:
            turn = await runtime.wait_for_turn(work, placement)
            if isinstance(turn, Declined):
                self._log_declined(work, turn, decision.leader)
                self.retry_after = turn.retry_after
                yield None
                return
            if turn.upstreams != placement.upstreams:
                self._log_placement(work, turn, decision.leader)
            placement = turn
            kept = runtime.keep_staying(work, placement)
            if kept is None:
                yield _build_unsent(placement, placement.upstream)
                return
            placement = kept
            async with contextlib.AsyncExitStack() as stack:
                holding = hold_memory(runtime, work, placement)
                try:
                    helpers = await stack.enter_async_context(holding)
                except HolderSilentError as error:
                    yield _build_unsent(placement, error.upstream)
                    return
                self._lateness = asyncio.get_running_loop().call_later(
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
            self._stop_lateness()
            runtime.note_job_ended(work.job)

    def _stop_lateness(self) -> None:
        if self._lateness is not None:
            self._lateness.cancel()
            self._lateness = None

    def _build_work(self) -> EngineWork:
        call = self._call
        route, prompt = call.route, call.headers.prompt
        assert prompt is not None
        return EngineWork(
            job=self._runtime.build_job_id(),
            service=call.service,
            prompt_tokens=prompt.prompt,
            output_tokens=prompt.max_output_tokens,
            expected_tokens=prompt.expected_output_tokens,
            target=route.target_latency,
            event_gap=route.event_gap or route.target_latency,
            remaining=call.deadline - self._runtime.now(),
            excluded=tuple(self._excluded),
            is_suspect=self._runtime.instance.crashes.is_suspect(self._fingerprint),
        )

    def _log_declined(
        self, work: EngineWork, declined: Declined, leader: InstanceId | None
    ) -> None:
        logger.info(
            "engines declined",
            request=self._call.headers.request,
            job=work.job,
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
            prompt=work.prompt_tokens,
            upstream=placement.upstream,
            address=placement.address,
            helpers=[helper.upstream for helper in placement.helpers],
            predicted=round(placement.first_token_in, 3),
            start_in=round(placement.start_in, 3),
            leader=leader,
            routing=self._runtime.instance.table.routing.version,
        )
