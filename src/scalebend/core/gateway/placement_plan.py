"""One piece of work to place, with what is computed from it alone.

Constants that the choices of a single replica and of a prefill group share; times in
seconds.
"""

from __future__ import annotations

import msgspec

from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, UpstreamId
from scalebend.models.placement import EngineWork
from scalebend.models.routing import EngineProfile

MAX_HELPERS = 16
"""Prefill helpers that one prompt may have; a limit of the platform."""

TARGET_SHARE = 0.6
"""Share of the target for the first token that a placement may plan to use."""

REPLICA_COST_S = 0.015
UNCOORDINATED_REPLICA_COST_S = 0.080
"""Seconds by which each further replica must bring the end of the prefill forward;
larger for uncoordinated schedulers, whose large groups would overlap."""

MAX_GROUP_CANDIDATES = 64
"""Replicas that are considered for one group when few are idle: nearly four times as
many as a group may have, so that the others would hardly be chosen."""

MEMORY_MARGIN_TOKENS = 4_000
"""KV cache memory of an engine that is never planned for."""

NO_REPLICA_RETRY_S = 0.25
NO_MEMORY_RETRY_S = 0.5
"""`Retry-After` of a declined request if no replica is known or no memory is free."""


def compute_memory(work: EngineWork) -> int:
    """Compute the KV cache memory of a prompt and its response, with the margin."""
    return work.prompt_tokens + work.output_tokens + MEMORY_MARGIN_TOKENS


class Plan(msgspec.Struct, frozen=True):
    """One piece of work and what is computed from it alone; times in seconds."""

    work: EngineWork
    profile: EngineProfile
    prefill_time: float
    """Time that one engine takes for the whole prefill."""

    first_event_delay: float
    """Time from the end of the prefill to the first event."""

    memory_tokens: int
    """KV cache memory for the prompt and its response, with a margin."""

    max_part_s: float
    """Longest prefill of one part while replicas are free."""

    reserved_quick_slots: float
    """Slots that are reserved for quick requests."""

    excluded: frozenset[UpstreamId] = frozenset()
    """Replicas that must not be used."""

    is_uncoordinated: bool = False
    """Whether other schedulers place at the same time without seeing these choices."""

    front_zone: AvailabilityZone | None = None
    """Zone of the front that sends the work; ``None`` if it is unknown."""

    avoided_zones: frozenset[AvailabilityZone] = frozenset()
    """Zones to which the front's path is degraded."""

    @property
    def replica_cost_s(self) -> float:
        """Seconds by which each further replica must shorten the prefill."""
        return UNCOORDINATED_REPLICA_COST_S if self.is_uncoordinated else REPLICA_COST_S

    def is_avoided(self, endpoint: Endpoint) -> bool:
        """Whether the front's path to a replica is degraded."""
        return endpoint.availability_zone in self.avoided_zones

    def is_near(self, endpoint: Endpoint) -> bool:
        """Whether a replica is in the zone of the front."""
        return endpoint.availability_zone == self.front_zone
