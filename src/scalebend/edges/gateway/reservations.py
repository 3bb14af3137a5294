"""Memory set aside on helping replicas while one long prompt is read and answered."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.upstream_client import build_timeout
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import EngineWork, Helper, Placement
from scalebend.platform.orders import (
    ORDER_PATH,
    encode_release,
    encode_reservation,
    format_helper,
)

logger = structlog.get_logger(__name__)

ORDER_TIMEOUT = 0.5
"""Seconds for one order to a replica: it takes no slot there."""

HOLD = 3.4
"""Seconds for which memory is set aside unless it is renewed. Whoever reserved may
die, and an order may be carried out long after its memory was given back; either way
the replica frees the memory within the four seconds that the platform allows."""

RENEW_PERIOD = 1.1
"""Seconds between two renewals, so that two may be lost."""

RELEASE_TRIES = 4
"""Times that memory is given back before it is left to lapse."""

JSON = {"Content-Type": "application/json"}


class HolderSilentError(Exception):
    """A replica that is to hold memory did not answer; nothing was sent to any."""

    def __init__(self, upstream: UpstreamId) -> None:
        super().__init__(upstream)
        self.upstream = upstream


@contextlib.asynccontextmanager
async def hold_memory(
    runtime: FrontRuntime, work: EngineWork, placement: Placement
) -> AsyncIterator[list[str]]:
    """Reserve what the placement asks for; yield the helpers as a request names them.

    A helper that refuses is named without a reservation: the request then fails
    there without having run, and is placed anew. Where one does not answer at all,
    raise :class:`HolderSilentError`: a request that is not sent is no retry.
    """
    holders = [helper for helper in placement.helpers if helper.tokens]
    renewing: asyncio.Task[None] | None = None
    try:
        if holders:
            statuses = await _reserve_all(runtime, work, holders)
            if None in statuses:
                raise HolderSilentError(holders[statuses.index(None)].upstream)
            renewing = asyncio.create_task(_renew(runtime, work, holders))
        yield [
            format_helper(helper.address, work.job if helper.tokens else None)
            for helper in placement.helpers
        ]
    finally:
        if renewing is not None:
            renewing.cancel()
        if holders:
            runtime.spawn(_release_all(runtime, work, holders))


async def _renew(
    runtime: FrontRuntime, work: EngineWork, holders: list[Helper]
) -> None:
    while True:
        await asyncio.sleep(RENEW_PERIOD)
        await _reserve_all(runtime, work, holders)


async def _reserve_all(
    runtime: FrontRuntime, work: EngineWork, holders: list[Helper]
) -> list[int | None]:
    """Status of each holder's answer, ``None`` where none came."""
    reserving = (_reserve(runtime, work, holder) for holder in holders)
    return await asyncio.gather(*reserving)


async def _reserve(
    runtime: FrontRuntime, work: EngineWork, helper: Helper
) -> int | None:
    hold = min(HOLD, runtime.settings.bounds.max_reservation_s)
    body = encode_reservation(work.job, helper.tokens, hold)
    status = await _order(runtime, helper, body)
    logger.info(
        "memory reserved",
        job=work.job,
        upstream=helper.upstream,
        tokens=helper.tokens,
        status=status,
    )
    return status


async def _release_all(
    runtime: FrontRuntime, work: EngineWork, holders: list[Helper]
) -> None:
    await asyncio.gather(*(_release(runtime, work, helper) for helper in holders))


async def _release(runtime: FrontRuntime, work: EngineWork, helper: Helper) -> None:
    body = encode_release(work.job)
    for _ in range(RELEASE_TRIES):
        status = await _order(runtime, helper, body)
        if status is not None:
            return
    logger.warning("memory not given back", job=work.job, upstream=helper.upstream)


async def _order(runtime: FrontRuntime, helper: Helper, body: bytes) -> int | None:
    """Return the status of the answer, ``None`` when none came."""
    url = f"http://{helper.address}{ORDER_PATH}"
    timeout = build_timeout(ORDER_TIMEOUT, ORDER_TIMEOUT)
    session = runtime.sessions.pooled
    try:
        async with session.post(
            url, data=body, headers=JSON, timeout=timeout
        ) as answer:
            return answer.status
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        logger.info("order unanswered", upstream=helper.upstream, error=str(error))
        return None
