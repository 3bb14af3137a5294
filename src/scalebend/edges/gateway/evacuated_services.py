"""Refuses requests whose service has upstreams in evacuated zones alone."""

from __future__ import annotations

import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call

logger = structlog.get_logger(__name__)

EVACUATED_RETRY_S = 1.0
"""``Retry-After``: a zone given back is used again within this time. Nobody knows when
that is, so the request isn't held."""

RETRY_SPREAD_S = 0.5
"""Jitter, so that callers refused together do not return together."""


def refuse_evacuated(runtime: FrontRuntime, call: Call) -> float | None:
    """Return after how many seconds to retry, or ``None`` if the service is in use.

    The request is not sent again; an earlier attempt may have run.
    """
    instance = runtime.instance
    if not instance.directory.is_evacuated(call.service):
        return None
    retry_after = EVACUATED_RETRY_S + runtime.chooser.uniform(0.0, RETRY_SPREAD_S)
    runtime.metrics.count_evacuation_refusal()
    logger.info(
        "all upstreams evacuated",
        request=call.headers.request,
        service=call.service,
        revision=instance.evacuations.newest.revision,
        retry_after=round(retry_after, 3),
    )
    return retry_after
