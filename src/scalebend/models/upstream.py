"""What upstreams announce about themselves."""

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


class UpstreamKindName(Enum):
    """The two families of upstream."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class EngineRole(Enum):
    """What part of a request an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class LoadedModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that an engine has in memory."""

    model: ModelName
    version: str = "1"
    adapters: list[str] = msgspec.field(default_factory=list)


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load as the upstream sees it; ``memory_used`` in tokens of KV cache."""

    running: int = 0
    waiting: int = 0
    memory_used: int = 0


class CacheEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Prefix blocks (64-bit hashes) that entered or left an engine's cache.

    ``sequence`` rises by one with each event; a gap means that events were lost.
    """

    sequence: int
    stored: list[int] = msgspec.field(default_factory=list)
    evicted: list[int] = msgspec.field(default_factory=list)


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream's heartbeat: ``POST /upstreams/announce``.

    ``memory_tokens`` is the KV memory in tokens; ``prefill_rate`` in tokens a
    second; ``step_time`` in seconds per generated token. ``running`` lists the
    attempts it holds memory for. ``sequence`` rises with each announcement of one
    incarnation.
    """

    upstream: UpstreamId
    family: UpstreamKindName
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
