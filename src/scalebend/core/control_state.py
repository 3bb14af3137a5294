"""The replicated state machine: configuration, claims, instances, routing.

Every control instance applies the same committed commands in the same order. Commands
read no local clock: the time comes from the log entry.
"""

from __future__ import annotations

import msgspec

from scalebend.core.claims import (
    Claim,
    ClaimConflict,
    ClaimKnown,
    ClaimRecord,
    ClaimTable,
    ClaimTaken,
    Settle,
    Withdraw,
)
from scalebend.core.evacuations import add_zones, apply_order
from scalebend.models.configuration import (
    EMPTY_CONFIGURATION,
    AcceptedConfiguration,
    ConfigurationChange,
)
from scalebend.models.evacuations import (
    NO_EVACUATIONS,
    EvacuationOrder,
    Evacuations,
)
from scalebend.models.ids import (
    AvailabilityZone,
    ChangeId,
    ConfigurationVersion,
    Epoch,
    EvacuationRevision,
    InstanceId,
    Region,
    RoutingVersion,
)
from scalebend.models.routing import StoredRouting

MAX_REMEMBERED_CHANGES = 1_000
"""Accepted changes whose ids are kept to recognize a resent change."""

MAX_CLOCK_STEP_S = 60.0
"""Maximum step by which one entry may advance the state's clock.

Keeps a leader whose wall clock jumped ahead from expiring every claim at once.
"""


class ListedInstance(msgspec.Struct, frozen=True, order=True):
    """One instance in the committed list, with its addresses."""

    instance: InstanceId
    incarnation: int
    peers: str
    gossip: str
    region: Region
    availability_zone: AvailabilityZone


class InstanceList(msgspec.Struct, frozen=True):
    """Committed list of live instances; replica ownership is derived from it."""

    epoch: Epoch
    instances: list[ListedInstance]


EMPTY_LIST = InstanceList(Epoch(0), [])


class ApplyConfiguration(msgspec.Struct, frozen=True, tag="Apply"):
    """Command: replace the configuration."""

    change: ConfigurationChange


class SetInstances(msgspec.Struct, frozen=True, tag=True):
    """Command: replace the instance list if its epoch is still ``base``."""

    base: Epoch
    instances: list[ListedInstance]


class PutRouting(msgspec.Struct, frozen=True, tag=True):
    """Command: store a routing document unless its version is not above the stored."""

    routing: StoredRouting


class Barrier(msgspec.Struct, frozen=True, tag=True):
    """Command that carries an evacuation order or known zones, or has no effect.

    The commit of one without effect proves that a quorum was reached. The order is a
    field of this command since members of an earlier version, which could not decode
    an unknown one, ignore the field.
    """

    evacuation: EvacuationOrder | None = None
    zones: tuple[AvailabilityZone, ...] = ()
    """Zones to remember as known, named by upstreams or settings."""


Command = (
    ApplyConfiguration | SetInstances | PutRouting | Barrier | Claim | Settle | Withdraw
)


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Result: the change became configuration ``version``."""

    version: ConfigurationVersion


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """Result: the base is outdated; ``winner`` is the current configuration."""

    winner: AcceptedConfiguration
    requested_base: ConfigurationVersion


class Done(msgspec.Struct, frozen=True, tag=True):
    """Result of other commands: the current version and epoch."""

    version: ConfigurationVersion
    epoch: Epoch


class RoutingResult(msgspec.Struct, frozen=True, tag="RoutingHeld"):
    """Result: version of the routing document that is stored now."""

    version: RoutingVersion


class EvacuationResult(msgspec.Struct, frozen=True, tag=True):
    """Result: revision of the evacuations that are stored now."""

    revision: EvacuationRevision


Result = (
    Accepted
    | Conflict
    | Done
    | RoutingResult
    | ClaimTaken
    | ClaimKnown
    | ClaimConflict
    | EvacuationResult
)


class _StoredState(msgspec.Struct):
    """Encoded form of the whole state in a snapshot."""

    configuration: AcceptedConfiguration
    changes: dict[ChangeId, ConfigurationVersion]
    instances: InstanceList
    claims: list[ClaimRecord]
    clock: float
    routing: StoredRouting | None = None
    evacuations: Evacuations = NO_EVACUATIONS
    zones: tuple[AvailabilityZone, ...] = ()


class ControlState:
    """State that the control group has agreed on."""

    def __init__(self) -> None:
        self.configuration = EMPTY_CONFIGURATION
        self.instances = EMPTY_LIST
        self.routing: StoredRouting | None = None
        self.evacuations = NO_EVACUATIONS
        self.zones: tuple[AvailabilityZone, ...] = ()
        """Availability zones that orders may name, the newest last."""

        self.claims = ClaimTable()
        self._changes: dict[ChangeId, ConfigurationVersion] = {}
        self._clock = 0.0

    def apply(self, data: bytes, at: float) -> Result:
        """Apply a committed command; ``at`` is its entry's wall clock in seconds."""
        self._advance_clock(at)
        command = decode_command(data)
        match command:
            case ApplyConfiguration(change):
                return self._apply_change(change)
            case SetInstances():
                self._set_instances(command)
            case PutRouting(routing):
                return self._put_routing(routing)
            case Barrier(EvacuationOrder() as order):
                self.zones = add_zones(self.zones, [order.availability_zone])
                self.evacuations = apply_order(self.evacuations, order, at)
                return EvacuationResult(self.evacuations.revision)
            case Barrier(zones=zones):
                self.zones = add_zones(self.zones, zones)
            case Claim() | Settle() | Withdraw():
                return self.claims.apply(command, self._clock)
        return Done(self.configuration.version, self.instances.epoch)

    def export(self) -> bytes:
        """Encode the whole state for a snapshot."""
        stored = _StoredState(
            self.configuration,
            self._changes,
            self.instances,
            self.claims.export(),
            self._clock,
            self.routing,
            self.evacuations,
            self.zones,
        )
        return msgspec.msgpack.encode(stored)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        stored = msgspec.msgpack.decode(data, type=_StoredState)
        self.configuration = stored.configuration
        self.instances = stored.instances
        self.claims.restore(stored.claims)
        self._changes = stored.changes
        self._clock = stored.clock
        self.routing = stored.routing
        self.evacuations = stored.evacuations
        self.zones = stored.zones

    def _apply_change(self, change: ConfigurationChange) -> Result:
        known = self._changes.get(change.change)
        if known is not None:
            return Accepted(known)
        if change.base != self.configuration.version:
            return Conflict(self.configuration, change.base)
        version = ConfigurationVersion(self.configuration.version + 1)
        self.configuration = AcceptedConfiguration(
            version, change.change, change.operator, change.configuration
        )
        self._changes[change.change] = version
        while len(self._changes) > MAX_REMEMBERED_CHANGES:
            del self._changes[next(iter(self._changes))]
        return Accepted(version)

    def _put_routing(self, routing: StoredRouting) -> Result:
        # Ignores a document that is not newer, so that a resend changes nothing.
        if self.routing is None or routing.version > self.routing.version:
            self.routing = routing
        return RoutingResult(self.routing.version)

    def _set_instances(self, command: SetInstances) -> None:
        if command.base == self.instances.epoch:
            epoch = Epoch(self.instances.epoch + 1)
            self.instances = InstanceList(epoch, command.instances)

    def _advance_clock(self, at: float) -> None:
        if not self._clock:
            self._clock = at
            return
        self._clock = max(self._clock, min(at, self._clock + MAX_CLOCK_STEP_S))


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


_DECODER = msgspec.msgpack.Decoder(Command)


def decode_command(data: bytes) -> Command:
    """Decode a command from the log."""
    return _DECODER.decode(data)
