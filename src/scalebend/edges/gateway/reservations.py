"""Reserves KV cache memory on prefill helpers while a long prompt is processed."""

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

ORDER_TIMEOUT_S = 0.5
"""Timeout of one order to a replica, which needs no slot there."""

RESERVATION_LIFETIME_S = 3.4
"""Lifetime of a reservation that is not renewed. A front may crash, or an order may
arrive after its release; either way the replica frees the memory within the 4 s that
the platform allows."""

RENEW_INTERVAL_S = 1.1
"""Interval of renewals: two in a row may be lost."""

MAX_RELEASE_ATTEMPTS = 4
"""After these, the reservation is left to expire."""

JSON_HEADERS = {"Content-Type": "application/json"}


class HelperUnresponsiveError(Exception):
    """A helper did not respond to a reservation; the request was not sent."""

    def __init__(self, upstream: UpstreamId) -> None:
        super().__init__(upstream)
        self.upstream = upstream


@contextlib.asynccontextmanager
async def reserve_memory(
    runtime: FrontRuntime, work: EngineWork, placement: Placement
) -> AsyncIterator[list[str]]:
    """Reserve the memory of a placement; yield the helpers in the form of the header.

    A helper that rejects the reservation is named nevertheless: the request then fails
    there without having run, and is placed anew. If one does not respond at all, raise
    :class:`HelperUnresponsiveError`: a request that is not sent uses no retry budget.
    """
    holders = [helper for helper in placement.helpers if helper.tokens]
    renewal: asyncio.Task[None] | None = None
    try:
        if holders:
            statuses = await _reserve_all(runtime, work, holders)
            if None in statuses:
                raise HelperUnresponsiveError(holders[statuses.index(None)].upstream)
            renewal = asyncio.create_task(_renew(runtime, work, holders))
        yield [
            format_helper(helper.address, work.job if helper.tokens else None)
            for helper in placement.helpers
        ]
    finally:
        if renewal is not None:
            renewal.cancel()
        if holders:
            runtime.spawn(_release_all(runtime, work, holders))


async def _renew(
    runtime: FrontRuntime, work: EngineWork, holders: list[Helper]
) -> None:
    while True:
        await asyncio.sleep(RENEW_INTERVAL_S)
        await _reserve_all(runtime, work, holders)


async def _reserve_all(
    runtime: FrontRuntime, work: EngineWork, holders: list[Helper]
) -> list[int | None]:
    """Return the status of each response, ``None`` where there was none."""
    reserving = (_reserve(runtime, work, holder) for holder in holders)
    return await asyncio.gather(*reserving)


async def _reserve(
    runtime: FrontRuntime, work: EngineWork, helper: Helper
) -> int | None:
    life_s = min(RESERVATION_LIFETIME_S, runtime.settings.bounds.max_reservation_s)
    body = encode_reservation(work.job, helper.tokens, life_s)
    status = await _send_order(runtime, helper, body)
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
    for _ in range(MAX_RELEASE_ATTEMPTS):
        status = await _send_order(runtime, helper, body)
        if status is not None:
            return
    logger.warning("memory not given back", job=work.job, upstream=helper.upstream)


async def _send_order(runtime: FrontRuntime, helper: Helper, body: bytes) -> int | None:
    """Return the status of the response, ``None`` if there was none."""
    url = f"http://{helper.address}{ORDER_PATH}"
    timeout = build_timeout(ORDER_TIMEOUT_S, ORDER_TIMEOUT_S)
    session = runtime.sessions.pooled
    try:
        async with session.post(
            url, data=body, headers=JSON_HEADERS, timeout=timeout
        ) as response:
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        logger.info("order unanswered", upstream=helper.upstream, error=str(error))
        return None
