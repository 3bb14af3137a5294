"""Takes what an upstream says of itself in the head of an answer."""

from __future__ import annotations

import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call, ResponseHeaders
from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit, RateLimit

logger = structlog.get_logger(__name__)


def hear_answer(
    runtime: FrontRuntime, call: Call, known: RateLimit, read: ResponseHeaders
) -> None:
    """Take the head of an answer to ``call``; ``known`` is from before it was sent.

    An answer to another request tells nothing: it may be older than what is known.
    """
    if read.request not in (None, call.headers.request):
        return
    for name in read.unknown_headers:
        runtime.note_unknown_word(known.upstream, name)
    _hear_limit(runtime, known, read)
    _hear_backoff(runtime, call, known.upstream, read)
    if read.is_draining and runtime.hear_draining(known.upstream):
        logger.info(
            "draining heard", request=call.headers.request, upstream=known.upstream
        )


def _hear_limit(runtime: FrontRuntime, known: RateLimit, read: ResponseHeaders) -> None:
    """That there is no limit follows only from an answer to a request that ran."""
    if read.rate_limit is None:
        return
    if read.has_not_run and read.rate_limit == UNLIMITED:
        return
    heard = ObservedLimit(known.upstream, read.rate_limit, known.revision)
    runtime.hear_limit(heard)


def _hear_backoff(
    runtime: FrontRuntime, call: Call, upstream: UpstreamId, read: ResponseHeaders
) -> None:
    if read.has_unreadable_backoff:
        logger.info(
            "backoff not readable", request=call.headers.request, upstream=upstream
        )
    if read.backoff is None:
        return
    logger.info(
        "backoff heard",
        request=call.headers.request,
        upstream=upstream,
        seconds=read.backoff,
    )
    runtime.hear_backoff(upstream, read.backoff)
