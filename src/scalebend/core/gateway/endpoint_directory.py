"""Directory of registered upstreams, merged from several control instances.

A control instance receives some registrations directly and the rest from the other
control instances; fronts receive changes from all of them. Registrations of one
incarnation are ordered by their sequence number. A draining or deregistered incarnation
never becomes ready again.

An upstream that restarts under its name is a new incarnation. It ends the previous one
immediately, and updates about earlier incarnations are ignored from then on.

An address belongs to the id that registered there last, because an upstream that
crashed does not deregister and another one may use its address before its registration
expires. A delayed registration can take over the address of the live upstream, but only
until that upstream has registered again a few times.
"""

from __future__ import annotations

import msgspec
import structlog

from scalebend.core.evacuations import MAX_ZONES
from scalebend.core.gateway.cold_reports import ColdReports
from scalebend.models.endpoints import (
    Deregistration,
    Endpoint,
    EndpointUpdate,
    build_upstream_id,
    get_upstream_name,
)
from scalebend.models.ids import (
    AvailabilityZone,
    ServiceName,
    UpstreamId,
    UpstreamName,
)

logger = structlog.get_logger(__name__)

GONE_RETENTION_S = 60.0
"""How long ids that are gone are kept, so that delayed registrations of them are
ignored; the platform may deliver a registration seconds late."""

REGISTRATIONS_TO_REGAIN_ADDRESS = 2
"""Registrations after which an id regains its address; a single one may be delayed."""


class _Known(msgspec.Struct):
    endpoint: Endpoint
    last_seen_at: float
    is_gone: bool = False
    takeover_registrations: int | None = None
    """Registrations since another id took the address; ``None`` if none did."""


class EndpointDirectory:
    """Upstreams by id, with the time of the last registration of each."""

    def __init__(
        self,
        registration_timeout_s: float,
        registrations_to_regain_address: int = REGISTRATIONS_TO_REGAIN_ADDRESS,
    ) -> None:
        """Create an empty directory.

        ``registration_timeout_s`` is the time without a registration after which an
        upstream is gone. Fronts set ``registrations_to_regain_address`` to 1, so that
        the last update wins: they receive each change once, from control instances
        that have already counted registrations.
        """
        self._registration_timeout_s = registration_timeout_s
        self._registrations_to_regain_address = registrations_to_regain_address
        self._known: dict[UpstreamId, _Known] = {}
        self._newest: dict[UpstreamName, UpstreamId] = {}
        """The latest incarnation of each upstream, including those that are gone."""

        self._by_service: dict[ServiceName, dict[UpstreamId, Endpoint]] = {}
        self._by_address: dict[str, UpstreamId] = {}
        self._usable: dict[ServiceName, tuple[Endpoint, ...]] = {}
        """Cache of :meth:`list_usable`, until the upstreams of a service change."""

        self.zones: set[AvailabilityZone] = set()
        """Zones of all upstreams ever known, also of those that are forgotten."""

        self._evacuated: frozenset[AvailabilityZone] = frozenset()
        self.cold = ColdReports()
        """Which upstreams stated that they are cold, and for how long."""

    def get(self, upstream: UpstreamId) -> Endpoint | None:
        """Return the endpoint, or ``None`` if it is unknown or gone."""
        known = self._known.get(upstream)
        return known.endpoint if known is not None and not known.is_gone else None

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Whether new requests may be sent to the upstream."""
        endpoint = self.get(upstream)
        if endpoint is None or endpoint.is_draining:
            return False
        return endpoint.availability_zone not in self._evacuated

    def set_evacuated(self, zones: frozenset[AvailabilityZone]) -> None:
        """Replace the zones whose upstreams get no new requests."""
        self._evacuated = zones
        self._usable.clear()

    def is_evacuated(self, service: ServiceName) -> bool:
        """Whether only the evacuation of zones keeps a service from new requests."""
        return not self.list_usable(service) and bool(self._by_service.get(service))

    def has_zone(self, zone: AvailabilityZone) -> bool:
        """Whether any upstream was in the zone, also if :attr:`zones` is full."""
        return zone in self.zones or any(
            not known.is_gone and known.endpoint.availability_zone == zone
            for known in self._known.values()
        )

    def find_zone(self, address: str) -> AvailabilityZone | None:
        """Return the zone of the upstream at an address, if known."""
        endpoint = self.find_at(address)
        return endpoint.availability_zone if endpoint is not None else None

    def find_at(self, address: str) -> Endpoint | None:
        """Return the upstream at an address, if known."""
        upstream = self._by_address.get(address)
        return self.get(upstream) if upstream is not None else None

    def is_lost(self, upstream: UpstreamId) -> bool:
        """Whether the upstream is gone without having announced that it drains."""
        known = self._known.get(upstream)
        return known is not None and known.is_gone and not known.endpoint.is_draining

    def get_newest(self, name: UpstreamName) -> UpstreamId | None:
        """Return the latest known incarnation of an upstream, even if it is gone."""
        return self._newest.get(name)

    def find_successor(self, upstream: UpstreamId) -> Endpoint | None:
        """Return the latest incarnation of an upstream; ``None`` if that is gone."""
        newest = self.get_newest(get_upstream_name(upstream))
        return self.get(newest) if newest is not None else None

    def list_usable(self, service: ServiceName) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may receive new requests.

        Returns the same object until one of them changes.
        """
        usable = self._usable.get(service)
        if usable is None:
            usable = tuple(
                endpoint
                for endpoint in self._by_service.get(service, {}).values()
                if endpoint.availability_zone not in self._evacuated
            )
            self._usable[service] = usable
        return usable

    def list_ids(self) -> list[UpstreamId]:
        """List the ids of all upstreams that are not gone."""
        return [u for u, known in self._known.items() if not known.is_gone]

    def list_updates(self) -> list[EndpointUpdate]:
        """List the full state, for a process that has none yet."""
        return [EndpointUpdate(k.endpoint, k.is_gone) for k in self._known.values()]

    def restore(
        self, updates: list[EndpointUpdate], lifetime_s: float, now: float
    ) -> None:
        """Restore the state from before a restart.

        Upstreams that do not register again within ``lifetime_s`` expire.
        """
        for one in updates:
            self.merge(one, now)
        for known in self._known.values():
            if not known.is_gone:
                known.last_seen_at = now - self._registration_timeout_s + lifetime_s

    def register(self, endpoint: Endpoint, now: float) -> EndpointUpdate | None:
        """Apply a registration; return the update to publish if anything changed."""
        if self._is_superseded(endpoint):
            return None
        known = self._known.get(endpoint.upstream)
        if known is None:
            self._start_incarnation(endpoint, now)
            self._known[endpoint.upstream] = _Known(endpoint, now)
            self.cold.record(endpoint, now)
            self._assign_address(endpoint)
            return self._publish(endpoint, is_gone=False)
        if known.takeover_registrations is not None and not self._regains_address(
            known, endpoint
        ):
            return None
        known.last_seen_at = now
        # An upstream that only timed out comes back; a deregistered one does not.
        has_timed_out = known.is_gone and not known.endpoint.is_draining
        if known.is_gone and not has_timed_out:
            return None
        if endpoint.sequence < known.endpoint.sequence:
            # The registration is late, but draining is final.
            if endpoint.is_draining:
                return self.record_draining(endpoint.upstream)
            return None
        is_draining = known.endpoint.is_draining or endpoint.is_draining
        merged = msgspec.structs.replace(endpoint, is_draining=is_draining)
        is_newer = endpoint.sequence > known.endpoint.sequence
        has_cold_changed = is_newer and self.cold.record(endpoint, now)
        is_same = _is_same_but_for_sequence(merged, known.endpoint)
        has_changed = has_timed_out or has_cold_changed or not is_same
        known.endpoint = merged
        known.is_gone = False
        return self._publish(merged, is_gone=False) if has_changed else None

    def _is_superseded(self, endpoint: Endpoint) -> bool:
        """Whether a later incarnation of the upstream is known."""
        newest = self._newest.get(endpoint.name)
        if newest is None or not endpoint.is_before(self._known[newest].endpoint):
            return False
        logger.info(
            "earlier incarnation ignored",
            upstream=endpoint.upstream,
            newest=newest,
            sequence=endpoint.sequence,
        )
        return True

    def _start_incarnation(self, endpoint: Endpoint, now: float) -> None:
        """Record a new incarnation and remove the previous one."""
        before = self._newest.get(endpoint.name)
        self._newest[endpoint.name] = endpoint.upstream
        if before is None or before == endpoint.upstream:
            return
        logger.info(
            "upstream started again",
            upstream=endpoint.upstream,
            before=before,
            address=endpoint.address,
        )
        self.remove(before, now)

    def _assign_address(self, endpoint: Endpoint) -> None:
        """Assign the address to the endpoint; its previous holder is gone."""
        before = self._by_address.get(endpoint.address)
        self._by_address[endpoint.address] = endpoint.upstream
        known = self._known.get(before) if before is not None else None
        if known is None or before == endpoint.upstream or known.is_gone:
            return
        if known.endpoint.address != endpoint.address:
            return
        known.is_gone = True
        known.takeover_registrations = 0
        logger.info(
            "address taken over",
            address=endpoint.address,
            upstream=endpoint.upstream,
            before=before,
        )
        self._publish(known.endpoint, is_gone=True)

    def _regains_address(self, known: _Known, endpoint: Endpoint) -> bool:
        """Count a registration of an id that lost its address.

        Returns whether the id has registered often enough to regain the address.
        """
        is_late = endpoint.sequence < known.endpoint.sequence
        is_same = endpoint.sequence == known.endpoint.sequence
        if not is_late and (not is_same or self._registrations_to_regain_address == 1):
            known.takeover_registrations = (known.takeover_registrations or 0) + 1
            is_draining = known.endpoint.is_draining or endpoint.is_draining
            known.endpoint = msgspec.structs.replace(endpoint, is_draining=is_draining)
        if (known.takeover_registrations or 0) < self._registrations_to_regain_address:
            return False
        known.takeover_registrations = None
        self._assign_address(endpoint)
        return True

    def remove(self, upstream: UpstreamId, now: float) -> EndpointUpdate | None:
        """Mark an incarnation as permanently gone."""
        known = self._known.get(upstream)
        if known is None:
            return None
        is_change = not known.is_gone or not known.endpoint.is_draining
        known.endpoint = msgspec.structs.replace(known.endpoint, is_draining=True)
        known.is_gone = True
        known.last_seen_at = now
        return self._publish(known.endpoint, is_gone=True) if is_change else None

    def record_draining(self, upstream: UpstreamId) -> EndpointUpdate | None:
        """Record that an incarnation announced, outside a registration, that it drains.

        An incarnation that timed out does not come back after that.
        """
        known = self._known.get(upstream)
        if known is None or known.endpoint.is_draining:
            return None
        known.endpoint = msgspec.structs.replace(known.endpoint, is_draining=True)
        return self._publish(known.endpoint, is_gone=known.is_gone)

    def deregister(
        self, departure: Deregistration, now: float
    ) -> EndpointUpdate | None:
        """Deregister an upstream; without ``born``, its latest incarnation."""
        if departure.born is not None:
            upstream = build_upstream_id(departure.name, departure.born)
            return self.remove(upstream, now)
        newest = self._newest.get(departure.name)
        return self.remove(newest, now) if newest is not None else None

    def merge(self, update: EndpointUpdate, now: float) -> EndpointUpdate | None:
        """Apply an update of another process; return the update that is new here."""
        if not update.is_gone:
            return self.register(update.endpoint, now)
        if self._is_superseded(update.endpoint):
            return None
        upstream = update.endpoint.upstream
        known = self._known.get(upstream)
        if known is None:
            self._start_incarnation(update.endpoint, now)
            self._known[upstream] = _Known(update.endpoint, now, is_gone=True)
            self._record_zone(update.endpoint)
            return update
        if update.endpoint.is_draining:
            return self.remove(upstream, now)
        if known.is_gone or known.endpoint.sequence > update.endpoint.sequence:
            return None
        known.is_gone = True
        return self._publish(known.endpoint, is_gone=True)

    def expire(self, now: float) -> list[EndpointUpdate]:
        """Mark timed-out upstreams as gone, forget old ones; return the changes."""
        timed_out = [
            known
            for known in self._known.values()
            if not known.is_gone
            and now - known.last_seen_at > self._registration_timeout_s
        ]
        for known in timed_out:
            known.is_gone = True
        self._forget(now)
        return [self._publish(known.endpoint, is_gone=True) for known in timed_out]

    def _forget(self, now: float) -> None:
        old = [
            upstream
            for upstream, known in self._known.items()
            if known.is_gone and now - known.last_seen_at > GONE_RETENTION_S
        ]
        for upstream in old:
            endpoint = self._known.pop(upstream).endpoint
            self.cold.forget(upstream)
            if self._by_address.get(endpoint.address) == upstream:
                del self._by_address[endpoint.address]
            if self._newest.get(endpoint.name) == upstream:
                del self._newest[endpoint.name]

    def _publish(self, endpoint: Endpoint, *, is_gone: bool) -> EndpointUpdate:
        self._record_zone(endpoint)
        self._usable.pop(endpoint.service, None)
        usable = self._by_service.setdefault(endpoint.service, {})
        if is_gone or endpoint.is_draining:
            usable.pop(endpoint.upstream, None)
        else:
            usable[endpoint.upstream] = endpoint
        return EndpointUpdate(endpoint, is_gone)

    def _record_zone(self, endpoint: Endpoint) -> None:
        if len(self.zones) < MAX_ZONES:
            self.zones.add(endpoint.availability_zone)


def _is_same_but_for_sequence(one: Endpoint, other: Endpoint) -> bool:
    """Whether two registrations differ at most in sequence number and cold time."""
    same = msgspec.structs.replace(one, sequence=other.sequence, cold_s=other.cold_s)
    return same == other
