"""Work for engines and its placement. Times in seconds, sizes in tokens."""

from __future__ import annotations

from typing import NewType

import msgspec

from scalebend.models.ids import (
    AvailabilityZone,
    CustomerId,
    Fingerprint,
    InstanceId,
    ServiceName,
    UpstreamId,
)

JobId = NewType("JobId", str)
"""Id of one attempt of a request at the engines, unique over all fronts."""


def build_job_id(front: InstanceId, incarnation: int, number: int) -> JobId:
    """Build the id of an attempt, unique over all fronts."""
    # The id also names reservations, where a colon or slash would be a separator.
    return JobId(f"{front.replace(':', '-')}-{incarnation:x}-{number}")


def is_job_of(front: InstanceId, job: JobId) -> bool:
    """Whether ``front`` placed this job."""
    return job.startswith(f"{front.replace(':', '-')}-")


class EngineWork(msgspec.Struct, frozen=True, array_like=True):
    """A request as the scheduler sees it."""

    job: JobId
    service: ServiceName
    prompt_tokens: int
    output_tokens: int
    """Maximum number of output tokens."""

    expected_tokens: int
    """Output tokens that the caller expects."""

    target: float
    """Time to the first token within which the response is on time."""

    event_gap: float
    """Longest gap between events that is still on time."""

    remaining: float
    """Time until the request's deadline."""

    excluded: tuple[UpstreamId, ...] = ()
    """Replicas that must not receive this request again."""

    is_suspect: bool = False
    """Whether a replica crashed during this request and none has completed it since."""

    priority: int = 0
    """Rank of the customer, or else of the route; 0 is the most urgent."""

    customer: CustomerId | None = None
    availability_zone: AvailabilityZone | None = None
    """Zone of the front that will send the request."""

    fingerprint: Fingerprint | None = None
    """Identifies the request when its caller sends it again after a refusal."""

    waited: float = 0.0
    """Seconds since the request arrived at the front."""

    is_second: bool = False
    """Whether it is a second attempt while the first one runs: only into idle room."""


class Helper(msgspec.Struct, frozen=True, array_like=True):
    """A prefill helper: computes a part, and reserves ``tokens`` of memory if not 0."""

    upstream: UpstreamId
    address: str
    tokens: int = 0


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Replicas for one job; the lead replica, ``upstream``, decodes the response."""

    upstream: UpstreamId
    address: str
    helpers: tuple[Helper, ...]
    first_token_in: float
    """Predicted time to the first token, ``start_in`` included."""

    start_in: float = 0.0
    """Delay before sending, until earlier prefill on these replicas is done."""

    @property
    def upstreams(self) -> list[UpstreamId]:
        """All replicas that take part, the lead replica first."""
        return [self.upstream, *(helper.upstream for helper in self.helpers)]


class Declined(msgspec.Struct, frozen=True, array_like=True):
    """No replica may take the work now; retry after ``retry_after`` seconds."""

    retry_after: float
    lacks_memory: bool = False
    """Whether only memory is missing that running jobs will give back."""


class Decision(msgspec.Struct, frozen=True):
    """Outcome of placing a piece of work, and who decided it."""

    placed: Placement | Declined
    leader: InstanceId | None
    """The leader that placed it; ``None`` for an uncoordinated placement."""

    waited: float = 0.0
    """Seconds for which the work waited until then."""


class JobStage(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job: its first token was seen, or it ended."""

    job: JobId
    is_ended: bool
    load: int | None = None
    """Requests running and waiting at the lead replica, as it reports them."""

    has_failed: bool = False
    """Whether it ended without a complete response."""


class OpenJob(msgspec.Struct, frozen=True, array_like=True):
    """An open job of a front, for a scheduler that does not know it yet."""

    work: EngineWork
    placement: Placement
    is_decoding: bool = msgspec.field(name="is_writing")
    age: float = 0.0
    """Seconds since it was placed."""


class ReplicaReport(msgspec.Struct, frozen=True):
    """Status that a replica reports; some hundred milliseconds old."""

    pace: float
    """How many times slower than usual it works; 1 for a healthy one."""

    waiting: int
    running: int
    born: int | None = None
    """Start in Unix milliseconds; ``None`` if it stated none."""


class ReplicaPace(msgspec.Struct, frozen=True, array_like=True):
    """How many times slower than usual a replica works."""

    upstream: UpstreamId
    pace: float


class BusyReplica(msgspec.Struct, frozen=True, array_like=True):
    """Load of a replica, as its scheduler estimates it."""

    upstream: UpstreamId
    prefill_s: float = msgspec.field(name="reading")
    """Seconds of pending prefill."""

    decoding: int = msgspec.field(name="writing")
    """Requests that decode there or are about to."""

    event_gap: float
    """Shortest event gap promised to one of them; 0 if there is none."""

    pace: float = 1.0
    """How many times slower than usual it works."""
