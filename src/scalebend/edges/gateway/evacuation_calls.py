"""Calls of operators that evacuate availability zones, at a control instance."""

from __future__ import annotations

import structlog
from aiohttp import web

from scalebend.edges.gateway.control_runtime import ControlRuntime
from scalebend.exceptions import ScalebendError
from scalebend.models.evacuations import EvacuationOrder
from scalebend.platform.evacuations import (
    ACKNOWLEDGEMENT,
    decode_order,
    encode_evacuations,
)

logger = structlog.get_logger(__name__)


async def read_order(request: web.BaseRequest) -> EvacuationOrder:
    """Return the order of a call; raise :class:`RequestError` if it is malformed."""
    body = await request.content.read(1)
    return decode_order(request.method, request.rel_url.raw_path, body)


async def handle_order(
    runtime: ControlRuntime, order: EvacuationOrder
) -> web.StreamResponse:
    """As leader, respond to an order once a quorum has it on disk."""
    started_at = runtime.now()
    kind = "withdraw" if order.is_withdrawn else "evacuate"
    before = runtime.instance.evacuations.newest.revision
    try:
        revision = await runtime.order_evacuation(order)
    except ScalebendError as error:
        runtime.metrics.count_evacuation_order(kind, error.kind.value)
        raise
    runtime.metrics.count_evacuation_order(kind, "acknowledged")
    logger.info(
        "evacuation acknowledged",
        order=kind,
        zone=order.availability_zone,
        revision=revision,
        before=before,
        seconds=round(runtime.now() - started_at, 3),
    )
    return web.Response(body=ACKNOWLEDGEMENT, content_type="application/json")


async def handle_list(runtime: ControlRuntime) -> web.StreamResponse:
    """As leader, respond with the evacuations once the lead is confirmed."""
    await runtime.confirm_lead()
    evacuations = runtime.instance.member.state.evacuations
    return web.Response(
        body=encode_evacuations(evacuations), content_type="application/json"
    )
