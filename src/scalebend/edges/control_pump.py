"""Persists the output of a control member before it is sent and applied."""

from __future__ import annotations

from collections.abc import Callable

from scalebend.core.consensus.messages import Ready
from scalebend.core.control_member import ControlMember
from scalebend.storage.journal import Journal

Finish = Callable[[Ready], None]


def pump_control(
    member: ControlMember, journal: Journal, finish: Finish, now: float
) -> None:
    """Persist and sync what ``member`` wrote before ``finish`` sends and applies it."""
    while True:
        ready = member.collect_ready(now)
        if ready.is_empty and not member.has_outgoing:
            break
        if ready.snapshot is not None:
            hard_state, tail = member.read_tail(ready.snapshot)
            journal.store_snapshot(ready.snapshot, hard_state, tail)
        elif ready.persist is not None:
            journal.write(ready.persist)
        finish(ready)
    snapshot = member.build_due_snapshot()
    if snapshot is not None:
        hard_state, tail = member.read_tail(snapshot)
        journal.store_snapshot(snapshot, hard_state, tail)
        member.replica.compact(snapshot)
