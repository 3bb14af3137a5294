"""Decides what becomes of requests whose upstream announces nothing any more.

A paused upstream sends nothing for a while and goes on. A request that nobody else may
run is waited for until its connection ends or its deadline passes.
"""

from __future__ import annotations

from collections.abc import Sequence

from scalebend.core.flow import Flow
from scalebend.core.routing import Candidate


def may_send_again(
    flow: Flow, candidates: Sequence[Candidate], max_attempts: int
) -> bool:
    """Whether one of the other ``candidates`` may run the request instead."""
    if not flow.request.is_idempotent or flow.has_delivered:
        return False
    return flow.try_count < max_attempts and bool(candidates)
