"""Chooses an upstream of a plain service, within the limits that upstreams named."""

from __future__ import annotations

import asyncio

import msgspec
import structlog

from scalebend.core.gateway.timeouts import compute_room_timeout
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)

MOST_ASKED = 16
"""Limited upstreams that the leader is asked for at once: a question of half a kilobyte
where a whole large service is in need. If one in eight has room, seven of eight
questions drawn by chance find one."""


class Room(msgspec.Struct, frozen=True):
    """An upstream that may be sent the request now, or when there will be one."""

    endpoint: Endpoint | None
    retry_after: float | None = None
    """Seconds until a limited upstream has room, if that is what is missing."""


async def choose_with_room(
    runtime: FrontRuntime, call: Call, excluded: set[UpstreamId]
) -> Room:
    """The least loaded upstream that takes the request; waits a little if none does.

    A limited one is asked for at the leader, which costs a round trip; others are not.
    """
    instance = runtime.instance
    full: set[UpstreamId] = set()
    retry_after: float | None = None
    while True:
        usable = instance.directory.list_usable(call.service)
        closed = instance.backoffs.list_in_backoff(runtime.now())
        endpoint = instance.balancer.choose(
            usable,
            excluded.union(full, closed),
            runtime.settings.availability_zone,
            runtime.chooser,
            runtime.now(),
        )
        if endpoint is None:
            if full:
                _log_full(call, full, retry_after)
                runtime.note_limits_full()
            return Room(None, retry_after)
        if not instance.limits.is_limited(endpoint.upstream):
            return Room(endpoint)
        left_out = excluded.union(closed)
        names = {one.upstream: one for one in usable if one.upstream not in left_out}
        limited = [one for one in names if instance.limits.is_limited(one)]
        has_others = len(limited) < len(names)
        patience = 0.0 if has_others else compute_room_timeout(call, runtime.now())
        asked = _draw(runtime, limited, endpoint.upstream)
        granted = await runtime.request_send(asked, patience)
        if granted.upstream is not None:
            await asyncio.sleep(granted.wait)
            if instance.may_send(granted.upstream, runtime.now()):
                return Room(names[granted.upstream])
        full.update(limited)
        retry_after = granted.wait


def _draw(
    runtime: FrontRuntime, limited: list[UpstreamId], first: UpstreamId
) -> list[UpstreamId]:
    """Some of the limited upstreams, by chance, behind the one that was chosen."""
    others = [one for one in limited if one != first]
    count = min(len(others), MOST_ASKED - 1)
    return [first, *runtime.chooser.sample(others, count)]


def _log_full(call: Call, full: set[UpstreamId], retry_after: float | None) -> None:
    logger.info(
        "limited upstreams are full",
        request=call.headers.request,
        upstreams=sorted(full),
        retry_after=retry_after,
    )
