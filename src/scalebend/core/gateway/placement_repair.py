"""Keeps a placement whose turn is near when some of its replicas begin to leave.

Placing anew would send the prompt to the end of the line again, each time that one of
its many replicas leaves, while the reading that was planned for it leaves a hole on the
others. So the replicas that stay read what the others would have read.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Helper, Placement

LEAST_LEFT = 0.5
"""Part of the replicas that must stay: with fewer, parts would be more than twice as
long as planned, and events of whoever writes there would come late."""


def drop_replicas(placement: Placement, left: set[UpstreamId]) -> Placement | None:
    """The placement without the replicas in ``left``; ``None`` to place anew."""
    if any(helper.tokens for helper in placement.helpers if helper.upstream in left):
        # Memory was planned there, and nothing here tells who else has it.
        return None
    staying = [helper for helper in placement.helpers if helper.upstream not in left]
    first = Helper(placement.upstream, placement.address)
    if placement.upstream in left:
        writers = [helper for helper in staying if not helper.tokens]
        if not writers:
            return None
        first = writers[0]
        staying.remove(first)
    before = 1 + len(placement.helpers)
    after = 1 + len(staying)
    if after < LEAST_LEFT * before:
        return None
    reading = placement.first_token_in - placement.start_in
    return msgspec.structs.replace(
        placement,
        upstream=first.upstream,
        address=first.address,
        helpers=tuple(staying),
        first_token_in=placement.start_in + reading * before / after,
    )
