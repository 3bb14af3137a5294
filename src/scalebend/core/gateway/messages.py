"""Messages between fronts and control instances, and among control instances."""

from __future__ import annotations

import msgspec

from scalebend.core.consensus.messages import ConsensusMessage
from scalebend.core.gateway.routing_store import RoutingUpdate
from scalebend.core.messages import FoundGroup, Hello, HelloReply, Join, RelayReply
from scalebend.models.crashes import CrashRecord, PartRecord
from scalebend.models.endpoints import EndpointUpdate, UpstreamOutcomes
from scalebend.models.evacuations import Evacuations
from scalebend.models.gateway_settings import GatewayRole
from scalebend.models.ids import (
    Fingerprint,
    InstanceId,
    RoutingVersion,
    SendPermitId,
    Term,
    UpstreamId,
)
from scalebend.models.paths import PathReport, ZonePath
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
from scalebend.models.rate_limits import ObservedLimit, RateLimit
from scalebend.models.tunnels import TunnelPeer


class Introduce(msgspec.Struct, frozen=True, tag=True):
    """First message of a link: the dialling process; each start has its incarnation."""

    instance: InstanceId
    incarnation: int
    role: GatewayRole
    knows_evacuations: bool = False
    """Whether its version applies the evacuation orders in the replicated log."""

    peer: TunnelPeer | None = None
    """Of a front that opens tunnels for others: where, and in which zone."""


class ControlStatus(msgspec.Struct, frozen=True, tag="ControlNews"):
    """Control instance to front, also as a heartbeat: the leader and the instances."""

    instances: list[InstanceId]
    leader: InstanceId | None
    term: Term
    fronts: int
    busy: list[BusyReplica] = msgspec.field(default_factory=list)
    """From the leader: the busiest replicas, for uncoordinated placement."""

    evacuations: Evacuations | None = None
    """The committed evacuations; ``None`` before the first."""

    degraded_paths: list[ZonePath] = msgspec.field(default_factory=list)
    """From the leader: paths between zones that it avoids, for the same."""


class KnownInstances(msgspec.Struct, frozen=True, tag=True):
    """Relay to its peer, also as a heartbeat: control instances that have a disk."""

    instances: list[InstanceId]


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Either end of a link to the other."""


class Subscribe(msgspec.Struct, frozen=True, tag=True):
    """Front to control instance: send routing documents newer than ``held``."""

    held: RoutingVersion
    is_wanted: bool = True


class LeaseRequest(msgspec.Struct, frozen=True, tag="LeaseQuestion"):
    """Front to leader: request for a lease on the newest routing document."""

    asked_at: float
    is_urgent: bool = False
    """Whether the front has no valid lease and so rejects requests."""


class LeaseReply(msgspec.Struct, frozen=True, tag="LeaseAnswer"):
    """Leader to front, once a quorum confirmed its lead after the request."""

    asked_at: float
    newest: RoutingVersion


class EndpointChanges(msgspec.Struct, frozen=True, tag=True):
    """Control instance to fronts: changed upstreams; all of them at first."""

    changes: list[EndpointUpdate] = msgspec.field(name="news")


class Registrations(msgspec.Struct, frozen=True, tag=True):
    """Control instance to the others: registrations it received, changed or not."""

    registrations: list[EndpointUpdate] = msgspec.field(name="news")


class PlacementRequest(msgspec.Struct, frozen=True, tag="PlaceQuestion"):
    """Front to leader: request to place a job."""

    work: EngineWork
    may_wait: bool = False
    """Whether the front awaits further replies while the job is queued."""


class PlacementReply(msgspec.Struct, frozen=True, tag="PlaceAnswer"):
    """Control instance to front: placement or refusal; neither if not the leader."""

    job: JobId
    placement: Placement | None = None
    declined: Declined | None = None
    is_queued: bool = False
    """Whether the job waits at the leader; a placement is then only planned, and
    another reply follows."""

    queued: float | None = None
    """Seconds until a queued job is expected to start, if known."""


class JobStages(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: first tokens and ends of jobs."""

    stages: list[JobStage]


class ReplicaFailures(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: replicas that are unreachable or unresponsive."""

    upstreams: list[UpstreamId]
    overdue: list[UpstreamId] = msgspec.field(default_factory=list)
    """Replicas at which a first token is overdue."""


class ReplicaPaces(msgspec.Struct, frozen=True, tag=True):
    """Front to leader: the paces that replicas reported."""

    paces: list[ReplicaPace]


class AttemptOutcomes(msgspec.Struct, frozen=True, tag="OutcomesSeen"):
    """Front to leader: outcomes of attempts since the last such message."""

    outcomes: list[UpstreamOutcomes]
    paths: PathReport | None = None
    """Evidence on paths between zones: in a field, since instances of older versions
    close links on which they receive a message that they don't know."""


class EjectedUpstreams(msgspec.Struct, frozen=True, tag=True):
    """Leader to fronts on each change: all upstreams that are ejected as outliers."""

    upstreams: list[UpstreamId]


class CrashUpdates(msgspec.Struct, frozen=True, tag="CrashNews"):
    """Any process to another: requests and parts under which upstreams crashed.

    ``cleared`` are requests that an upstream completed later.
    """

    records: list[CrashRecord]
    cleared: list[Fingerprint]
    parts: list[PartRecord] = msgspec.field(default_factory=list)


class ObservedLimits(msgspec.Struct, frozen=True, tag="LimitsHeard"):
    """Front to leader: rate limits that upstreams named in responses."""

    heard: list[ObservedLimit]


class LimitUpdates(msgspec.Struct, frozen=True, tag="LimitNews"):
    """Leader to fronts: changed rate limits; front to a new leader: all it knows."""

    limits: list[RateLimit]


class RejectionReport(msgspec.Struct, frozen=True, tag="RejectionSeen"):
    """Front to leader: an engine rejected a request without running it."""

    upstream: UpstreamId


class DrainingReport(msgspec.Struct, frozen=True, tag="DrainingHeard"):
    """Front to leader: upstreams that announced a drain in responses."""

    upstreams: list[UpstreamId]


class FrontNumber(msgspec.Struct, frozen=True, tag="FrontPlace"):
    """Leader to front: its number among all fronts, used if the leader is lost."""

    fronts: int
    number: int
    slots: int = 0
    """Number of slots of fronts; 0 if no service has a slow start."""

    slot: int | None = None
    """Slot of this front, see :mod:`scalebend.core.gateway.front_slots`."""


class FrontPeers(msgspec.Struct, frozen=True, tag=True):
    """Leader to a front that accepts tunnels: all fronts that open some for it.

    Fronts of older versions accept none and would close the link.
    """

    peers: list[TunnelPeer]


class SendPermitRequest(msgspec.Struct, frozen=True, tag="SendQuestion"):
    """Front to leader: request to send to one of these rate-limited upstreams."""

    request_id: SendPermitId = msgspec.field(name="question")
    upstreams: list[UpstreamId]
    timeout_s: float = msgspec.field(name="patience")
    """How long the request may wait."""


class SendPermitReply(msgspec.Struct, frozen=True, tag="SendAnswer"):
    """Leader to front: permit to send to ``upstream`` after ``wait`` seconds.

    Without an upstream there is no permit; one has capacity after ``wait`` seconds.
    """

    request_id: SendPermitId = msgspec.field(name="question")
    upstream: UpstreamId | None
    wait: float
    is_undecided: bool = False
    """Whether the leader leaves it to the front: it may not grant yet, or no more."""


class UncoordinatedSends(msgspec.Struct, frozen=True, tag="SentAlone"):
    """Front to leader: rate-limited upstreams that got a request without a permit."""

    upstreams: list[UpstreamId]


class OpenJobs(msgspec.Struct, frozen=True, tag=True):
    """Front to a new leader: its open jobs."""

    jobs: list[OpenJob]


LinkMessage = (
    ConsensusMessage
    | Introduce
    | ControlStatus
    | KnownInstances
    | Heartbeat
    | Subscribe
    | LeaseRequest
    | LeaseReply
    | EndpointChanges
    | Registrations
    | RoutingUpdate
    | PlacementRequest
    | PlacementReply
    | JobStages
    | ReplicaFailures
    | ReplicaPaces
    | AttemptOutcomes
    | EjectedUpstreams
    | OpenJobs
    | CrashUpdates
    | ObservedLimits
    | LimitUpdates
    | RejectionReport
    | DrainingReport
    | FrontNumber
    | FrontPeers
    | SendPermitRequest
    | SendPermitReply
    | UncoordinatedSends
    | Hello
    | HelloReply
    | RelayReply
    | FoundGroup
    | Join
)
