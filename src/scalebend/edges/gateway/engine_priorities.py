"""Priority at the engines of each attempt of a front."""

from __future__ import annotations

import structlog

from scalebend.core.gateway.priorities import compute_urgency
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.upstream_choice import Target
from scalebend.models.calls import Call

logger = structlog.get_logger(__name__)


def choose_urgency(runtime: FrontRuntime, call: Call, target: Target) -> int | None:
    """Choose the priority at the engines, 0 to 9, the lowest first.

    Return ``None`` for services without engines.
    """
    if target.job is None:
        return None
    levels = runtime.instance.table.priority_levels.get(call.service, ())
    age = runtime.now() - call.arrived
    urgency = compute_urgency(call.priority, levels, call.route.target_latency, age)
    runtime.metrics.count_engine_priority(urgency)
    if len(levels) > 1:
        logger.info(
            "engine priority chosen",
            request=call.headers.request,
            job=target.job,
            upstream=target.upstream,
            customer=call.customer,
            priority=call.priority,
            levels=levels,
            target=call.route.target_latency,
            age=round(age, 3),
            urgency=urgency,
        )
    return urgency
