"""Repairs placements whose replicas start to drain before the prefill starts.

Placing the prompt anew would lose its scheduled start each time that a replica drains,
and leave the scheduled time on the other replicas unused. Instead, the remaining
replicas take over the prefill.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Helper, Placement

MIN_REMAINING_SHARE = 0.5
"""Share of the replicas that must remain: with fewer, parts would be more than twice as
long as planned and delay the events of decoding jobs."""


def drop_replicas(placement: Placement, draining: set[UpstreamId]) -> Placement | None:
    """Return the placement without the ``draining`` replicas.

    Returns ``None`` if the work must be placed anew.
    """
    if any(
        helper.tokens for helper in placement.helpers if helper.upstream in draining
    ):
        # KV cache memory was planned there; other free memory is not known here.
        return None
    remaining = [
        helper for helper in placement.helpers if helper.upstream not in draining
    ]
    lead = Helper(placement.upstream, placement.address)
    if placement.upstream in draining:
        leads = [helper for helper in remaining if not helper.tokens]
        if not leads:
            return None
        lead = leads[0]
        remaining.remove(lead)
    count_before = 1 + len(placement.helpers)
    count_after = 1 + len(remaining)
    if count_after < MIN_REMAINING_SHARE * count_before:
        return None
    prefill_time = placement.first_token_in - placement.start_in
    return msgspec.structs.replace(
        placement,
        upstream=lead.upstream,
        address=lead.address,
        helpers=tuple(remaining),
        first_token_in=placement.start_in + prefill_time * count_before / count_after,
    )
