"""Messages between instances, besides those of the replicated log."""

from __future__ import annotations

import msgspec

from scalebend.core.consensus.messages import ConsensusMessage, Member, Members
from scalebend.core.control_state import ListedInstance, Result
from scalebend.core.list_history import ListUpdate
from scalebend.core.shares import Usage
from scalebend.models.configuration import AcceptedConfiguration
from scalebend.models.crashes import CrashRecord, PartRecord
from scalebend.models.ids import (
    ConfigurationVersion,
    CustomerId,
    Epoch,
    InstanceId,
    UpstreamId,
)
from scalebend.models.upstream import Announcement, CacheEvent
from scalebend.models.work import (
    Grant,
    LoadDigest,
    Refusal,
    Release,
    Renew,
    Reserve,
    Started,
)


class Hello(msgspec.Struct, frozen=True, tag=True):
    """Control instance to another: ask whether it belongs to a group."""

    member: Member
    has_group: bool


class HelloReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to :class:`Hello`."""

    member: Member
    has_group: bool
    may_found: bool = True
    """Whether the sender was told that this is the first start of the deployment."""

    instances: list[InstanceId] = msgspec.field(default_factory=list)
    """Instances of the sender's group, some of which the receiver may not know."""


class RelayReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to :class:`Hello` from a process without a disk, and so without a vote."""

    instances: list[InstanceId]
    """Control instances with a disk that the relay knows."""

    founder: InstanceId | None = None
    """The only instance that may found the group, if no seed has a disk."""


class FoundGroup(msgspec.Struct, frozen=True, tag="Found"):
    """Founder to the other control instances: the first member list of the group."""

    members: Members


class Join(msgspec.Struct, frozen=True, tag=True):
    """Control instance without a vote to the leader: add this disk to the group."""

    member: Member


class Propose(msgspec.Struct, frozen=True, tag=True):
    """Instance to control leader: commit this command."""

    proposal: str
    command: bytes


class ProposalReply(msgspec.Struct, frozen=True, tag="ProposalAnswer"):
    """Control instance to proposer: the result, or the current leader."""

    proposal: str
    result: Result | None
    leader: InstanceId | None


class Fetch(msgspec.Struct, frozen=True, tag=True):
    """Instance to another: request committed state newer than these versions."""

    version: ConfigurationVersion
    epoch: Epoch


class Published(msgspec.Struct, frozen=True, tag=True):
    """Committed state that is newer than requested; ``None`` for what is not."""

    configuration: AcceptedConfiguration | None
    instances: ListUpdate | None


class Announced(msgspec.Struct, frozen=True, tag=True):
    """Instance to owner: an upstream announced itself."""

    announcement: Announcement


class OpenRequestCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of open requests of a customer: at the sender, or elsewhere in a reply."""

    customer: CustomerId
    open: int


class UsageReport(msgspec.Struct, frozen=True, tag=True):
    """Instance to the home of these customers: local usage and open requests."""

    usages: list[Usage]
    open: list[OpenRequestCount]


class UsageReply(msgspec.Struct, frozen=True, tag="UsageAnswer"):
    """Home to instance: usage and open requests of all other instances."""

    usages: list[Usage]
    open: list[OpenRequestCount]


class Handover(msgspec.Struct, frozen=True, tag=True):
    """Old owner to new: reservations at a replica, which need not be rebuilt then."""

    upstream: UpstreamId
    renew: Renew


class FetchCatalog(msgspec.Struct, frozen=True, tag=True):
    """Instance to another: request its catalog, unless it equals the sender's."""

    checksum: int | None = msgspec.field(name="known", default=None)
    """Checksum of the sender's catalog; ``None`` while the sender has none."""


class CatalogPage(msgspec.Struct, frozen=True, tag=True):
    """The catalog of the sender."""

    announcements: list[Announcement]
    digests: list[LoadDigest]
    crashes: list[CrashRecord] = msgspec.field(default_factory=list)
    """Suspect requests: those during which upstreams crashed."""

    parts: list[PartRecord] = msgspec.field(default_factory=list)


PeerMessage = (
    ConsensusMessage
    | Hello
    | HelloReply
    | RelayReply
    | FoundGroup
    | Join
    | Propose
    | ProposalReply
    | Fetch
    | Published
    | Announced
    | UsageReport
    | UsageReply
    | Handover
    | FetchCatalog
    | CatalogPage
    | Reserve
    | Started
    | Release
    | Renew
    | Grant
    | Refusal
)


class Envelope(msgspec.Struct, frozen=True):
    """A message and its sender."""

    sender: InstanceId
    message: PeerMessage


class MemberRumor(msgspec.Struct, frozen=True, tag="m", array_like=True):
    """Last known state of an instance; higher incarnation wins, then higher rank."""

    listed: ListedInstance
    rank: int = 0


class UpstreamRumor(msgspec.Struct, frozen=True, tag="u", array_like=True):
    """An upstream's last announcement to its owner; ``is_gone`` once it expired."""

    announcement: Announcement
    is_gone: bool


class DigestRumor(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """Load of a replica; its owner raises ``sequence`` with each digest."""

    digest: LoadDigest
    sequence: int


class CacheRumor(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """A prefix cache event of an engine; a hint that may be lost."""

    upstream: UpstreamId
    event: CacheEvent


class CrashRumor(msgspec.Struct, frozen=True, tag="x", array_like=True):
    """A suspect request and the upstreams that crashed; none if it succeeded later.

    Or a part of prompts: in a field, since instances of older versions drop datagrams
    with rumors that they don't know. The record is then empty.
    """

    record: CrashRecord
    part: PartRecord | None = None


Rumor = MemberRumor | UpstreamRumor | DigestRumor | CacheRumor | CrashRumor


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat and rumors from one instance to another over UDP.

    A probe asks the receiver for a heartbeat.
    """

    sender: InstanceId
    incarnation: int
    is_heartbeat: bool
    version: ConfigurationVersion
    epoch: Epoch
    rumors: list[Rumor]
    suspects: list[InstanceId]
    is_probe: bool = False
