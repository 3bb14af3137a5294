"""Discards responses that are not proven to be the upstream's own."""

from __future__ import annotations

import aiohttp
import structlog

from scalebend.core.gateway.response_proof import Verdict
from scalebend.edges.gateway.attempt_result import AttemptResult
from scalebend.edges.gateway.upstream_client import close_connection
from scalebend.models.calls import Call, Outcome
from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)


def discard_response(
    call: Call,
    upstream: UpstreamId,
    response: aiohttp.ClientResponse,
    verdict: Verdict,
) -> AttemptResult:
    """Discard a response and its connection, on which the order of responses is lost.

    The attempt counts as interrupted: the request may have run.
    """
    close_connection(response)
    logger.warning(
        "response not proven",
        request=call.headers.request,
        upstream=upstream,
        status=response.status,
        reason=verdict.value,
    )
    return AttemptResult(Outcome.INTERRUPTED, detail=verdict.value)
