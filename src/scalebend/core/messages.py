"""Messages between instances, besides those of the replicated log."""

from __future__ import annotations

import msgspec

from scalebend.core.consensus.messages import ConsensusMessage, Member, Members
from scalebend.core.control_state import ListedInstance, Result
from scalebend.core.list_history import ListUpdate
from scalebend.core.shares import Usage
from scalebend.models.configuration import AcceptedConfiguration
from scalebend.models.crashes import CrashRecord
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
    """Control instance to another: do you belong to a group yet?"""

    member: Member
    has_group: bool


class HelloReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`Hello`."""

    member: Member
    has_group: bool
    may_found: bool = True
    """Whether the sender was told that the deployment starts for the first time."""

    instances: list[InstanceId] = msgspec.field(default_factory=list)
    """Instances of the sender's group, where the asker may not know them all."""


class RelayReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to :class:`Hello` of a process that has no disk, and so no vote."""

    instances: list[InstanceId]
    """Control instances with a disk that the relay knows."""

    founder: InstanceId | None = None
    """The one instance that may found the group, where no seed has a disk."""


class Found(msgspec.Struct, frozen=True, tag=True):
    """Founder to the other control instances: this is the first member list."""

    members: Members


class Join(msgspec.Struct, frozen=True, tag=True):
    """Control instance without a vote to the leader: take this disk in."""

    member: Member


class Propose(msgspec.Struct, frozen=True, tag=True):
    """Instance to control leader: commit this command."""

    proposal: str
    command: bytes


class ProposalAnswer(msgspec.Struct, frozen=True, tag=True):
    """Control instance to proposer: the result, or who leads instead."""

    proposal: str
    result: Result | None
    leader: InstanceId | None


class Fetch(msgspec.Struct, frozen=True, tag=True):
    """Instance to another: send what is newer than this."""

    version: ConfigurationVersion
    epoch: Epoch


class Published(msgspec.Struct, frozen=True, tag=True):
    """Committed state, as far as it is newer than was asked."""

    configuration: AcceptedConfiguration | None
    instances: ListUpdate | None


class Announced(msgspec.Struct, frozen=True, tag=True):
    """Instance to owner: an upstream announced itself."""

    announcement: Announcement


class CustomerOpen(msgspec.Struct, frozen=True, array_like=True):
    """Open requests of a customer at the sender (or, answered, elsewhere)."""

    customer: CustomerId
    open: int


class UsageReport(msgspec.Struct, frozen=True, tag=True):
    """Instance to the home of these customers: local use and open requests."""

    usages: list[Usage]
    open: list[CustomerOpen]


class UsageReply(msgspec.Struct, frozen=True, tag="UsageAnswer"):
    """Home to instance: what all others used and have open."""

    usages: list[Usage]
    open: list[CustomerOpen]


class Handover(msgspec.Struct, frozen=True, tag=True):
    """Old owner to new: the replica's holds, so that it need not be rebuilt."""

    upstream: UpstreamId
    renew: Renew


class FetchCatalog(msgspec.Struct, frozen=True, tag=True):
    """Instance to another: send all upstreams you know, unless they are these."""

    known: int | None = None
    """:meth:`scalebend.core.catalog.Catalog.summarise` of the sender's; ``None`` from
    one that starts."""


class CatalogPage(msgspec.Struct, frozen=True, tag=True):
    """Upstreams known to the sender."""

    announcements: list[Announcement]
    digests: list[LoadDigest]
    crashes: list[CrashRecord] = msgspec.field(default_factory=list)
    """Requests under which upstreams ended."""


PeerMessage = (
    ConsensusMessage
    | Hello
    | HelloReply
    | RelayReply
    | Found
    | Join
    | Propose
    | ProposalAnswer
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
    """A message with the instance that sent it."""

    sender: InstanceId
    message: PeerMessage


class MemberRumor(msgspec.Struct, frozen=True, tag="m", array_like=True):
    """What is last known of an instance; a higher incarnation or rank wins."""

    listed: ListedInstance
    rank: int = 0


class UpstreamRumor(msgspec.Struct, frozen=True, tag="u", array_like=True):
    """What an owner last heard of an upstream; ``is_gone`` after its silence."""

    announcement: Announcement
    is_gone: bool


class DigestRumor(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """Load of a replica; ``sequence`` rises with each reading of its owner."""

    digest: LoadDigest
    sequence: int


class CacheRumor(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """A cache event of an engine: a hint, sent few times."""

    upstream: UpstreamId
    event: CacheEvent


class CrashRumor(msgspec.Struct, frozen=True, tag="x", array_like=True):
    """A request under which upstreams ended; none named: one answered it after all."""

    record: CrashRecord


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
