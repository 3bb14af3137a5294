"""Faults of a soak run."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import AvailabilityZone
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import RequestKind
from scalebend.standins.proxy import Direction


class DiskMode(Enum):
    """How sync calls of a process behave."""

    HEALTHY = "sound"
    STALLED = "stalled"
    FULL = "full"


class ReplicaMode(Enum):
    """How a stand-in replica handles requests."""

    HEALTHY = "sound"
    RESETTING = "broken"
    """Runs the request, then resets the connection; in streams, within an event."""

    FAILING = "failing"
    """Runs the request and responds with an error of its own, status 500."""

    FULL = "full"
    """Rejects the request and reports that it did not run."""

    EXTRA_RESPONSE = "extra"
    """Sends a second response after the complete one."""

    FOREIGN_ID = "foreign"
    """Responds with the id of another request."""

    POURING = "pouring"
    """Runs the request and sends bytes without end that are no answer."""


class SilencePlace(Enum):
    """Where a single response falls silent."""

    HEAD = "head"
    """Before its head."""

    FIRST_EVENT = "first-event"
    """Between the head and the first event."""

    MIDWAY = "midway"
    """Between two events."""


class Kill(msgspec.Struct, frozen=True, tag=True):
    """Kills processes together and restarts them after ``down`` seconds."""

    processes: tuple[ProcessName, ...]
    down: float
    has_power_loss: bool = False
    """Whether unsynced bytes are lost as well."""

    loses_disk: bool = False


class Stop(msgspec.Struct, frozen=True, tag=True):
    """Terminates a process as planned and restarts it once it has ended."""

    process: ProcessName


class Pause(msgspec.Struct, frozen=True, tag=True):
    """Suspends a process for ``lasts`` seconds."""

    process: ProcessName
    lasts: float


class Reload(msgspec.Struct, frozen=True, tag=True):
    """Makes a process read its settings file again, by SIGHUP."""

    process: ProcessName


class PartitionFronts(msgspec.Struct, frozen=True, tag=True):
    """Partitions fronts from all replicas for ``lasts`` seconds.

    Callers, control instances and other fronts still reach them.
    """

    fronts: tuple[ProcessName, ...]
    is_refused: bool
    """Whether new connections are refused; otherwise they get no reply."""

    is_reset: bool
    """Whether open connections are reset; otherwise they fall silent."""

    lasts: float


class Impair(msgspec.Struct, frozen=True, tag=True):
    """Holds back or delays the bytes on connections to ``target``.

    Affects the connections of one dialler, or all if it is ``None``; ``delay`` and
    ``lasts`` are in seconds.
    """

    target: ProcessName
    dialler: ProcessName | None
    holds: Direction | None
    delay: float
    lasts: float


class Reset(msgspec.Struct, frozen=True, tag=True):
    """Resets all connections to ``target``."""

    target: ProcessName


class Disorder(msgspec.Struct, frozen=True, tag=True):
    """Makes the disk of a process misbehave, or its time of day jump and jump back.

    ``clock_step`` and ``lasts`` are in seconds.
    """

    process: ProcessName
    disk: DiskMode
    clock_step: float
    lasts: float


class Misbehave(msgspec.Struct, frozen=True, tag=True):
    """Makes a replica mishandle requests for ``lasts`` seconds."""

    replica: int
    mode: ReplicaMode
    lasts: float


class Silence(msgspec.Struct, frozen=True, tag=True):
    """Makes sound replicas do nothing for ``lasts`` seconds and then go on."""

    replicas: tuple[int, ...]
    lasts: float


class SilentResponses(msgspec.Struct, frozen=True, tag=True):
    """Makes single responses of a sound replica silent for ``lasts`` seconds each.

    Affected are the next ``count`` responses that reach ``place`` within a second.
    """

    replica: int
    place: SilencePlace
    count: int
    lasts: float


class Drain(msgspec.Struct, frozen=True, tag="Leave"):
    """Drains and deregisters a replica; a new incarnation takes its place."""

    replica: int
    by_responses: bool = msgspec.field(default=False, name="by_answers")
    """Whether only its responses announce it, while its registrations do not."""


class Crash(msgspec.Struct, frozen=True, tag=True):
    """Ends a replica without notice; a new one follows after ``down`` seconds."""

    replica: int
    down: float


class RateLimitFault(msgspec.Struct, frozen=True, tag="Limit"):
    """Makes replicas announce a rate limit.

    ``rate`` is in requests per second at each replica, from all fronts together.
    """

    replicas: tuple[int, ...]
    rate: float
    lasts: float


class Reject(msgspec.Struct, frozen=True, tag="Tire"):
    """Makes replicas reject all requests and ask for a backoff, in seconds."""

    replicas: tuple[int, ...]
    backoff: float = msgspec.field(name="pause")
    lasts: float


class Evacuate(msgspec.Struct, frozen=True, tag=True):
    """Evacuates an availability zone, and withdraws that after ``lasts`` seconds."""

    availability_zone: AvailabilityZone
    lasts: float


class GuiltyPrompts(msgspec.Struct, frozen=True, tag=True):
    """Sends requests whose prompts share a part that crashes replicas.

    A replica crashes when it begins to respond to one of them.
    """

    part: str
    kind: RequestKind
    lasts: float


class Change(msgspec.Struct, frozen=True, tag=True):
    """Sends ``count`` new routing documents in quick succession."""

    count: int
    revokes: bool


Fault = (
    Kill
    | Stop
    | Pause
    | PartitionFronts
    | Impair
    | Reset
    | Disorder
    | Misbehave
    | Drain
    | Crash
    | RateLimitFault
    | Reject
    | Change
    | Evacuate
    | GuiltyPrompts
    | Reload
    | Silence
    | SilentResponses
)
