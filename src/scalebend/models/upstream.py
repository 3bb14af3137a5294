"""Announcements of upstreams."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import (
    AvailabilityZone,
    Incarnation,
    ModelName,
    ServiceName,
    UpstreamId,
)


class UpstreamFamily(Enum):
    """The two families of upstream."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(Enum):
    """Whether an upstream accepts new work."""

    SERVING = "serving"
    DRAINING = "leaving"


class EngineRole(Enum):
    """Phases of a request that an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class LoadedModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that an engine has loaded."""

    model: ModelName
    version: str = "1"
    adapters: list[str] = msgspec.field(default_factory=list)


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load as the upstream reports it; ``memory_used`` in tokens of KV cache."""

    running: int = 0
    waiting: int = 0
    memory_used: int = 0


class CacheEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Blocks (64-bit hashes) added to or evicted from an engine's prefix cache.

    ``sequence`` rises by one with each event; a gap means that events were lost.
    """

    sequence: int
    stored: list[int] = msgspec.field(default_factory=list)
    evicted: list[int] = msgspec.field(default_factory=list)


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream's heartbeat: ``POST /upstreams/announce``.

    ``memory_tokens`` is the KV cache memory in tokens; ``prefill_rate`` is in tokens
    per second, ``step_time`` in seconds per generated token. ``running`` lists the
    attempts that hold memory. ``sequence`` rises with each announcement of one
    incarnation.
    """

    upstream: UpstreamId
    family: UpstreamFamily
    address: str
    incarnation: Incarnation
    availability_zone: AvailabilityZone
    sequence: int = 0
    kind: str = ""
    state: UpstreamState = UpstreamState.SERVING
    models: list[LoadedModel] = msgspec.field(default_factory=list)
    service: ServiceName | None = None
    memory_tokens: int = 0
    concurrency: int = 64
    role: EngineRole = EngineRole.BOTH
    prefill_rate: float = 20_000.0
    step_time: float = 0.02
    load: Load = Load()
    running: list[str] = msgspec.field(default_factory=list)
    cache_events: list[CacheEvent] = msgspec.field(default_factory=list)
    fencing_number: int = 0
