"""Replicas kept free for the first waiting request that lacks memory.

Small prompts would otherwise take each piece of memory as it is given back.
"""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.placement_plan import compute_memory
from scalebend.core.gateway.placement_queue import Waiting
from scalebend.core.gateway.service_room import EngineRoom
from scalebend.core.gateway.waiting_line import WaitingLine
from scalebend.core.gateway.work_kinds import is_quick
from scalebend.models.placement import Declined, EngineWork, Placement

KEEP_FREE_S = 2.0
"""Time for which replicas are kept free before they are chosen anew: about the duration
of a response, so that memory adds up there, and lost replicas are replaced."""


def place_around(
    line: WaitingLine,
    work: EngineWork,
    rank: float,
    room: EngineRoom,
    now: float,
    entry: Waiting | None = None,
) -> tuple[Placement | Declined, bool]:
    """Place a request outside the replicas kept free, and return whether any were.

    Quick prompts may use them: they take little memory and end soon.
    """
    kept_for = line.kept_for
    is_restricted = (
        kept_for is not None
        and kept_for is not entry
        and not is_quick(work, room.profile)
        and line.is_behind(work, rank, kept_for, now)
    )
    if is_restricted:
        excluded = (*work.excluded, *line.kept_free)
        work = msgspec.structs.replace(work, excluded=excluded)
    return room.place(work), is_restricted


def keep_free(line: WaitingLine, entry: Waiting, room: EngineRoom, now: float) -> None:
    """Keep replicas free until they can hold the first request that lacks memory."""
    if line.kept_for is entry and now - line.kept_since < KEEP_FREE_S:
        return
    line.stop_keeping()
    line.kept_for = entry
    entry.is_kept = True
    line.kept_since = now
    line.kept_free = tuple(room.list_freest(compute_memory(entry.work)))
