"""Messages between fronts and control instances, and among control instances."""

from __future__ import annotations

import msgspec

from scalebend.core.consensus.messages import ConsensusMessage
from scalebend.core.gateway.routing_store import RoutingNews
from scalebend.core.messages import FoundGroup, Hello, HelloReply, Join, RelayReply
from scalebend.models.crashes import CrashRecord
from scalebend.models.endpoints import EndpointNews, UpstreamOutcomes
from scalebend.models.gateway_settings import GatewayRole
from scalebend.models.ids import (
    Fingerprint,
    InstanceId,
    RoutingVersion,
    SendId,
    Term,
    UpstreamId,
)
from scalebend.models.placement import (
    BusyReplica,
    Declined,
    EngineWork,
    JobId,
    JobStage,
    OpenJob,
    Placement,
    ReplicaPace,
)
from scalebend.models.request_limits import HeardLimit, RequestLimit


class Introduce(msgspec.Struct, frozen=True, tag=True):
    """First message of a link: who dialled. ``incarnation`` differs at each start."""

    instance: InstanceId
    incarnation: int
    role: GatewayRole


class ControlNews(msgspec.Struct, frozen=True, tag=True):
    """Control instance to front, also as a heartbeat: who leads, and who there is."""

    instances: list[InstanceId]
    leader: InstanceId | None
    term: Term
    fronts: int
    busy: list[BusyReplica] = msgspec.field(default_factory=list)
    """From the leader: the busiest replicas, should it be lost."""


class KnownInstances(msgspec.Struct, frozen=True, tag=True):
    """Relay to whoever dialled, also as a heartbeat: control instances with a disk."""

    instances: list[InstanceId]


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Either end of a link to the other: still here."""


class Subscribe(msgspec.Struct, frozen=True, tag=True):
    """Front to control instance: send routing documents newer than ``held``."""

    held: RoutingVersion
    is_wanted: bool = True


class LeaseQuestion(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: which routing document is the newest from now on?"""

    asked_at: float
    is_urgent: bool = False
    """Whether the front holds no lease, and refuses requests until it has one."""


class LeaseAnswer(msgspec.Struct, frozen=True, tag=True):
    """Leader to front, once a quorum confirmed that it led after the question."""

    asked_at: float
    newest: RoutingVersion


class EndpointChanges(msgspec.Struct, frozen=True, tag=True):
    """Control instance to fronts: changes of upstreams, or all of them at first."""

    news: list[EndpointNews]


class Registrations(msgspec.Struct, frozen=True, tag=True):
    """Control instance to the others: registrations it took, changed or not."""

    news: list[EndpointNews]


class PlaceQuestion(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: where should this run?"""

    work: EngineWork


class PlaceAnswer(msgspec.Struct, frozen=True, tag=True):
    """Control instance to front; neither placement nor refusal if it does not lead."""

    job: JobId
    placement: Placement | None = None
    declined: Declined | None = None


class JobStages(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: how far jobs came."""

    stages: list[JobStage]


class ReplicaFailures(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: replicas that could not be reached or fell silent."""

    upstreams: list[UpstreamId]


class ReplicaPaces(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: how slow replicas say they are."""

    paces: list[ReplicaPace]


class OutcomesSeen(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: what became of attempts since the last such message."""

    outcomes: list[UpstreamOutcomes]


class EjectedUpstreams(msgspec.Struct, frozen=True, tag=True):
    """Leader to fronts when it changes: all upstreams that fail what they are sent."""

    upstreams: list[UpstreamId]


class CrashNews(msgspec.Struct, frozen=True, tag=True):
    """Any process to another: requests under which upstreams ended.

    ``cleared`` are requests that an upstream answered after all.
    """

    records: list[CrashRecord]
    cleared: list[Fingerprint]


class LimitsHeard(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: what answers of upstreams said of the requests they take."""

    heard: list[HeardLimit]


class LimitNews(msgspec.Struct, frozen=True, tag=True):
    """Leader to fronts: limits that changed; front to a new leader: all it knows."""

    limits: list[RequestLimit]


class RejectionSeen(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: an engine turned a request away that it had not run."""

    upstream: UpstreamId


class DrainingHeard(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: upstreams that said in answers that they leave."""

    upstreams: list[UpstreamId]


class FrontPlace(msgspec.Struct, frozen=True, tag=True):
    """Leader to front: which of how many fronts it is, should the leader be lost."""

    fronts: int
    number: int


class SendQuestion(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: to which of these limited upstreams may a request be sent?"""

    question: SendId
    upstreams: list[UpstreamId]
    patience: float
    """Seconds for which the request would wait."""


class SendAnswer(msgspec.Struct, frozen=True, tag=True):
    """Leader to front: send there after ``wait`` seconds.

    Without an upstream nothing may be sent; one has room after ``wait`` seconds.
    """

    question: SendId
    upstream: UpstreamId | None
    wait: float


class SentAlone(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: limited upstreams that were sent a request without its word."""

    upstreams: list[UpstreamId]


class OpenJobs(msgspec.Struct, frozen=True, tag=True):
    """Front to a new leader: the jobs it has open."""

    jobs: list[OpenJob]


LinkMessage = (
    ConsensusMessage
    | Introduce
    | ControlNews
    | KnownInstances
    | Heartbeat
    | Subscribe
    | LeaseQuestion
    | LeaseAnswer
    | EndpointChanges
    | Registrations
    | RoutingNews
    | PlaceQuestion
    | PlaceAnswer
    | JobStages
    | ReplicaFailures
    | ReplicaPaces
    | OutcomesSeen
    | EjectedUpstreams
    | OpenJobs
    | CrashNews
    | LimitsHeard
    | LimitNews
    | RejectionSeen
    | DrainingHeard
    | FrontPlace
    | SendQuestion
    | SendAnswer
    | SentAlone
    | Hello
    | HelloReply
    | RelayReply
    | FoundGroup
    | Join
)
