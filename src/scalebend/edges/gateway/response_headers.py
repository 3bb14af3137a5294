"""Applies the status that an upstream reports in the headers of a response."""

from __future__ import annotations

import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call, ResponseHeaders
from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit, RateLimit

logger = structlog.get_logger(__name__)


def apply_response_head(
    runtime: FrontRuntime, call: Call, known: RateLimit, headers: ResponseHeaders
) -> None:
    """Apply the head of the upstream's own response to ``call``.

    ``known`` is the rate limit known when the request was sent.
    """
    for name in headers.unknown_headers:
        runtime.record_unknown_header(known.upstream, name)
    _record_limit(runtime, known, headers)
    _record_backoff(runtime, call, known.upstream, headers)
    if headers.is_draining and runtime.record_draining(known.upstream):
        logger.info(
            "draining heard", request=call.headers.request, upstream=known.upstream
        )


def _record_limit(
    runtime: FrontRuntime, known: RateLimit, headers: ResponseHeaders
) -> None:
    """Record the rate limit; only a request that ran shows that there is none."""
    if headers.rate_limit is None:
        return
    if headers.has_not_run and headers.rate_limit == UNLIMITED:
        return
    observed = ObservedLimit(known.upstream, headers.rate_limit, known.revision)
    runtime.record_limit(observed)


def _record_backoff(
    runtime: FrontRuntime, call: Call, upstream: UpstreamId, headers: ResponseHeaders
) -> None:
    if headers.has_unreadable_backoff:
        logger.info(
            "backoff not readable", request=call.headers.request, upstream=upstream
        )
    if headers.backoff is None:
        return
    logger.info(
        "backoff heard",
        request=call.headers.request,
        upstream=upstream,
        seconds=headers.backoff,
    )
    runtime.record_backoff(upstream, headers.backoff)
