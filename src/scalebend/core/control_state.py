"""The replicated state machine: configuration, claims, instances, desired orders.

Every control instance applies the same committed commands in the same order. No
command looks at a clock: the time is the one in the log entry.
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
from scalebend.models.configuration import (
    EMPTY_CONFIGURATION,
    AcceptedConfiguration,
    ConfigurationChange,
)
from scalebend.models.ids import (
    AvailabilityZone,
    ChangeId,
    ConfigurationVersion,
    Epoch,
    InstanceId,
    Region,
    RoutingVersion,
)
from scalebend.models.routing import StoredRouting

REMEMBERED_CHANGES = 1_000
"""Accepted changes whose id is remembered, to answer a resend."""


LONGEST_CLOCK_STEP = 60.0
"""Seconds by which one entry may move the state's clock.

A leader whose wall clock jumped ahead must not expire every claim at once.
"""


class ListedInstance(msgspec.Struct, frozen=True, order=True):
    """One instance of the committed list, with its addresses."""

    instance: InstanceId
    incarnation: int
    peers: str
    gossip: str
    region: Region
    availability_zone: AvailabilityZone


class InstanceList(msgspec.Struct, frozen=True):
    """Live instances; replica ownership is derived from it."""

    epoch: Epoch
    instances: list[ListedInstance]


EMPTY_LIST = InstanceList(Epoch(0), [])


class Apply(msgspec.Struct, frozen=True, tag=True):
    """Command: replace the configuration."""

    change: ConfigurationChange


class SetInstances(msgspec.Struct, frozen=True, tag=True):
    """Command: replace the instance list, if ``base`` is still its epoch."""

    base: Epoch
    instances: list[ListedInstance]


class PutRouting(msgspec.Struct, frozen=True, tag=True):
    """Command: take this routing document, unless a higher version is held."""

    routing: StoredRouting


class Barrier(msgspec.Struct, frozen=True, tag=True):
    """Command: nothing; its commit proves that a quorum was reached."""


Command = Apply | SetInstances | PutRouting | Barrier | Claim | Settle | Withdraw


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Result: the change with this id is the configuration of ``version``."""

    version: ConfigurationVersion


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """Result: another change took the base version first; it is given whole."""

    winner: AcceptedConfiguration
    requested_base: ConfigurationVersion


class Done(msgspec.Struct, frozen=True, tag=True):
    """Result: nothing to report; carries the state's numbers for a fresh read."""

    version: ConfigurationVersion
    epoch: Epoch


class RoutingHeld(msgspec.Struct, frozen=True, tag=True):
    """Result: the version of the routing document that holds now."""

    version: RoutingVersion


Result = (
    Accepted | Conflict | Done | RoutingHeld | ClaimTaken | ClaimKnown | ClaimConflict
)


class _Exported(msgspec.Struct):
    configuration: AcceptedConfiguration
    changes: dict[ChangeId, ConfigurationVersion]
    instances: InstanceList
    claims: list[ClaimRecord]
    clock: float
    routing: StoredRouting | None = None


class ControlState:
    """State that the control group agreed on."""

    def __init__(self) -> None:
        self.configuration = EMPTY_CONFIGURATION
        self.instances = EMPTY_LIST
        self.routing: StoredRouting | None = None
        self.claims = ClaimTable()
        self._changes: dict[ChangeId, ConfigurationVersion] = {}
        self._clock = 0.0

    def apply(self, data: bytes, at: float) -> Result:
        """Apply one committed command."""
        self._advance_clock(at)
        command = decode_command(data)
        match command:
            case Apply(change):
                return self._apply_change(change)
            case SetInstances():
                self._set_instances(command)
            case PutRouting(routing):
                return self._put_routing(routing)
            case Barrier():
                pass
            case Claim() | Settle() | Withdraw():
                return self.claims.apply(command, self._clock)
        return Done(self.configuration.version, self.instances.epoch)

    def export(self) -> bytes:
        """Return the whole state for a snapshot."""
        exported = _Exported(
            self.configuration,
            self._changes,
            self.instances,
            self.claims.export(),
            self._clock,
            self.routing,
        )
        return msgspec.msgpack.encode(exported)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot's."""
        exported = msgspec.msgpack.decode(data, type=_Exported)
        self.configuration = exported.configuration
        self.instances = exported.instances
        self.claims.restore(exported.claims)
        self._changes = exported.changes
        self._clock = exported.clock
        self.routing = exported.routing

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
        while len(self._changes) > REMEMBERED_CHANGES:
            del self._changes[next(iter(self._changes))]
        return Accepted(version)

    def _put_routing(self, routing: StoredRouting) -> Result:
        # The highest version holds; one that is not above it changes nothing.
        if self.routing is None or routing.version > self.routing.version:
            self.routing = routing
        return RoutingHeld(self.routing.version)

    def _set_instances(self, command: SetInstances) -> None:
        if command.base == self.instances.epoch:
            epoch = Epoch(self.instances.epoch + 1)
            self.instances = InstanceList(epoch, command.instances)

    def _advance_clock(self, at: float) -> None:
        if not self._clock:
            self._clock = at
            return
        self._clock = max(self._clock, min(at, self._clock + LONGEST_CLOCK_STEP))


def encode_command(command: Command) -> bytes:
    """Return the form in which a command stands in the log."""
    return msgspec.msgpack.encode(command)


_DECODER = msgspec.msgpack.Decoder(Command)


def decode_command(data: bytes) -> Command:
    """Read a command from the log."""
    return _DECODER.decode(data)
