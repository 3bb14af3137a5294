"""Work for engines, and where it was placed. Times in seconds, sizes in tokens."""

from __future__ import annotations

from typing import NewType

import msgspec

from scalebend.models.ids import InstanceId, ServiceName, UpstreamId

JobId = NewType("JobId", str)
"""One attempt of one request at the engines, unique over all fronts."""


def build_job_id(front: InstanceId, incarnation: int, number: int) -> JobId:
    """Return a name that no other attempt of any front has."""
    # Also names reserved memory, where a colon or slash would be a separator.
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
    """Most tokens that may come out."""

    expected_tokens: int
    """Tokens that the caller estimates will come out."""

    target: float
    """Time to the first token within which the answer counts as in time."""

    event_gap: float
    """Longest pause between events that counts as in time."""

    remaining: float
    """Time until the request ends whatever happens."""

    excluded: tuple[UpstreamId, ...] = ()
    """Replicas that this request must not be sent to again."""

    is_suspect: bool = False
    """Whether a replica ended under this request, and none has answered it since."""


class Helper(msgspec.Struct, frozen=True, array_like=True):
    """A replica that reads a part; it holds ``tokens`` of memory if above 0."""

    upstream: UpstreamId
    address: str
    tokens: int = 0


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Replicas for one job; the first one writes the answer."""

    upstream: UpstreamId
    address: str
    helpers: tuple[Helper, ...]
    first_token_in: float
    """Predicted time to the first token, the pause before sending included."""

    start_in: float = 0.0
    """Pause before sending, until earlier reading on these replicas is done."""

    @property
    def upstreams(self) -> list[UpstreamId]:
        """All replicas that take part, the one that writes first."""
        return [self.upstream, *(helper.upstream for helper in self.helpers)]


class Declined(msgspec.Struct, frozen=True, array_like=True):
    """Nothing may take the work now; it may come back after ``retry_after``."""

    retry_after: float


class Decision(msgspec.Struct, frozen=True):
    """What a front is to do with a piece of work, and who decided."""

    placed: Placement | Declined
    leader: InstanceId | None
    """The leader that placed it; ``None`` when the front decided alone."""


class JobStage(msgspec.Struct, frozen=True, array_like=True):
    """How far a job came: its first token was seen, or it ended."""

    job: JobId
    is_ended: bool
    load: int | None = None
    """Requests that ran and waited at the first replica, by its own count."""


class OpenJob(msgspec.Struct, frozen=True, array_like=True):
    """A job that a front has open, for a scheduler that must learn of it."""

    work: EngineWork
    placement: Placement
    is_writing: bool
    age: float = 0.0
    """Seconds since it was placed."""


class ReplicaReport(msgspec.Struct, frozen=True):
    """What a replica tells of itself, some hundred milliseconds old."""

    pace: float
    """How many times slower than usual it works; 1 for a sound one."""

    waiting: int
    running: int
    born: int | None = None
    """Unix millisecond of its start; ``None`` if it tells none."""


class ReplicaPace(msgspec.Struct, frozen=True, array_like=True):
    """How many times slower than usual a replica works."""

    upstream: UpstreamId
    pace: float


class BusyReplica(msgspec.Struct, frozen=True, array_like=True):
    """Load of a replica, as its scheduler believes."""

    upstream: UpstreamId
    reading: float
    """Seconds of reading that wait there."""

    writing: int
    """Requests that write there or are about to."""

    event_gap: float
    """Shortest event gap promised to one of them; 0 when there is none."""

    pace: float = 1.0
    """How many times slower than usual it works."""
