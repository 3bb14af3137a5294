"""Priority levels of a service, and the priority of a request at its engines.

Answers seconds in which engines hold more prompts than they let in at once. See
docs/design/priorities.md.
"""

from __future__ import annotations

from bisect import bisect_left

from scalebend.models.ids import ServiceName
from scalebend.models.routing import Routing

QUICK_TARGET_S = 0.5
"""Requests with a latency target up to this go before others of their level."""

QUICK_URGENCY = 3
DEFAULT_URGENCY = 5
"""Priorities at the engines where all requests have the same level; 5 is what engines
assume for a request without one."""

MAX_LEVEL = 4
"""Last level that engines can tell from others: they know priorities from 0 to 9, and
each level takes two, for short and for longer latency targets."""

LEVEL_AGE_S = 4.0
"""Age in seconds that is worth one level: more than latency targets of one service
differ by, and less than callers wait, so that no level starves."""


def list_levels(routing: Routing) -> dict[ServiceName, tuple[int, ...]]:
    """List the priorities that requests to each service can have, in order.

    Empty if the document ranks no customers: then priorities are not in force.
    """
    ranks = [one.priority for one in routing.customers if one.priority is not None]
    if not ranks:
        return {}
    are_all_ranked = routing.needs_key and len(ranks) == len(routing.customers)
    found: dict[ServiceName, set[int]] = {}
    for route in routing.routes:
        levels = set(ranks)
        if route.is_public or not are_all_ranked:
            levels.add(route.priority)
        for split in route.services:
            found.setdefault(split.service, set()).update(levels)
    return {service: tuple(sorted(levels)) for service, levels in found.items()}


def compute_urgency(
    priority: int, levels: tuple[int, ...], target: float, age: float
) -> int:
    """Compute the priority at the engines, 0 to 9, the lowest first.

    ``priority`` is that of the customer, else of the route; ``levels`` are those of the
    service. ``target`` is the latency target and ``age`` the time since the request
    arrived, in seconds.
    """
    is_quick = target <= QUICK_TARGET_S
    if len(levels) < 2:
        return QUICK_URGENCY if is_quick else DEFAULT_URGENCY
    level = min(bisect_left(levels, priority), MAX_LEVEL)
    level = max(0, level - int(age / LEVEL_AGE_S))
    return 2 * level + (not is_quick)
