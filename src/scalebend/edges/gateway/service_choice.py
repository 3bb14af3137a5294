"""Chooses an upstream of a service without engines, within its rate limits."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec
import structlog

from scalebend.core.gateway.slow_start import CEILING_PERMIT_LIFETIME_S
from scalebend.core.gateway.timeouts import compute_room_timeout
from scalebend.edges.gateway.evacuated_services import refuse_evacuated
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, UpstreamId

logger = structlog.get_logger(__name__)

MAX_REQUESTED_UPSTREAMS = 16
"""Rate-limited upstreams in one request for a send permit, to bound its size. If one in
eight has a permit left, seven of eight random samples include one."""


class ServiceChoice(msgspec.Struct, frozen=True):
    """The upstream that may be sent the request now, or when there will be one."""

    endpoint: Endpoint | None
    retry_after: float | None = None
    """Seconds until a send permit is free, if only rate limits prevent the send, or
    until the service may be in use again, if only evacuations do."""


async def choose_within_limits(
    runtime: FrontRuntime, call: Call, excluded: set[UpstreamId]
) -> ServiceChoice:
    """Return the least loaded usable upstream; wait a little if none is available.

    Only rate-limited ones need a send permit of the leader, a round trip.
    """
    instance = runtime.instance
    full: set[UpstreamId] = set()
    retry_after: float | None = None
    while True:
        usable = instance.directory.list_usable(call.service)
        in_backoff = instance.backoffs.list_in_backoff(runtime.now())
        cold = set(instance.limits.starts.list_cold(runtime.now()))
        unavailable = excluded.union(in_backoff)
        avoided_zones = instance.paths.list_avoided(call.headers.request)
        endpoint = _choose_warm_first(
            runtime, usable, unavailable | full, cold, avoided_zones
        )
        if endpoint is None:
            if full:
                # The zone of the last upstream may be evacuated while a permit is due.
                evacuated_s = refuse_evacuated(runtime, call)
                if evacuated_s is not None:
                    return ServiceChoice(None, evacuated_s)
                _log_full(call, full, retry_after)
                runtime.record_limit_refusal()
            return ServiceChoice(None, retry_after)
        if not instance.limits.needs_permit(endpoint.upstream):
            return ServiceChoice(endpoint)
        candidates = {
            one.upstream: one for one in usable if one.upstream not in unavailable
        }
        limited = [one for one in candidates if instance.limits.needs_permit(one)]
        if endpoint.upstream not in cold:
            limited = [one for one in limited if one not in cold]
        has_others = len(limited) < len(candidates)
        timeout_s = 0.0 if has_others else compute_room_timeout(call, runtime.now())
        requested = _sample_limited(runtime, limited, endpoint.upstream)
        asked_at = runtime.now()
        permit = await runtime.request_send_permit(requested, timeout_s)
        if permit.upstream is not None:
            await asyncio.sleep(permit.wait)
            is_late = runtime.now() > asked_at + permit.wait + CEILING_PERMIT_LIFETIME_S
            if is_late and instance.limits.starts.applies_to(call.service):
                continue
            if instance.may_send(permit.upstream, runtime.now()):
                return ServiceChoice(candidates[permit.upstream])
        full.update(limited)
        retry_after = permit.wait


def _choose_warm_first(
    runtime: FrontRuntime,
    usable: Iterable[Endpoint],
    excluded: set[UpstreamId],
    cold: set[UpstreamId],
    avoided_zones: frozenset[AvailabilityZone],
) -> Endpoint | None:
    """Return the least loaded upstream; a cold one if there is no other."""
    for avoided in (excluded | cold, excluded):
        endpoint = runtime.instance.balancer.choose(
            usable,
            avoided,
            runtime.settings.availability_zone,
            runtime.chooser,
            runtime.now(),
            avoided_zones,
        )
        if endpoint is not None:
            return endpoint
    return None


def _sample_limited(
    runtime: FrontRuntime, limited: list[UpstreamId], first: UpstreamId
) -> list[UpstreamId]:
    """Return ``first`` and a random sample of the other limited upstreams."""
    others = [one for one in limited if one != first]
    count = min(len(others), MAX_REQUESTED_UPSTREAMS - 1)
    return [first, *runtime.chooser.sample(others, count)]


def _log_full(call: Call, full: set[UpstreamId], retry_after: float | None) -> None:
    logger.info(
        "limited upstreams are full",
        request=call.headers.request,
        upstreams=sorted(full),
        retry_after=retry_after,
    )
