"""Updates of upstreams: announced to the owner, spread to all others as rumors."""

from __future__ import annotations

import msgspec
import structlog

from scalebend.core.catalog import Catalog
from scalebend.core.entry import Entry
from scalebend.core.flow import EntryAction
from scalebend.core.membership import Membership
from scalebend.core.messages import (
    CacheRumor,
    CatalogPage,
    CrashRumor,
    DigestRumor,
    Rumor,
    UpstreamRumor,
)
from scalebend.core.owner import OwnerAction, ReplicaOwner
from scalebend.core.ownership import ReplicaOwners
from scalebend.models.crashes import CrashRecord, PartRecord
from scalebend.models.ids import Fingerprint, UpstreamId
from scalebend.models.upstream import Announcement, CacheEvent, Load
from scalebend.models.work import LoadDigest

logger = structlog.get_logger(__name__)

DIGEST_REPEATS = 2
"""Times that an instance forwards a digest rumor; its owner sends it once more."""

CACHE_REPEATS = 3
"""Times that the owner sends a cache event rumor."""

MAX_CACHE_EVENT_HASHES = 64
"""Maximum number of hashes in a cache event that is sent. A longer one is not sent, and
the other instances see a gap in the sequence."""

CRASHES_PER_RUMOR = 4
"""Crashes of a part of prompts in one rumor, so that it fits a datagram."""

_NO_CRASH = CrashRecord(Fingerprint(""), ())

UpdateAction = EntryAction | OwnerAction


class UpstreamUpdates:
    """Applies upstream updates to catalog, owners and entry, and spreads them."""

    def __init__(
        self,
        catalog: Catalog,
        owners: ReplicaOwners,
        entry: Entry,
        membership: Membership,
    ) -> None:
        self.has_catalog = False
        self._catalog = catalog
        self._owners = owners
        self._entry = entry
        self._membership = membership
        self._digest_count = 0
        self._sent_digests: dict[UpstreamId, LoadDigest] = {}
        self._digest_sequences: dict[UpstreamId, int] = {}
        self._sent_announcements: dict[UpstreamId, Announcement] = {}

    # Upstreams that this instance owns

    def apply_announcement(
        self, announcement: Announcement, now: float
    ) -> list[UpdateAction]:
        """Apply an announcement of an upstream that this instance owns."""
        if not self._apply_to_catalog(announcement, now):
            return []
        for event in announcement.cache_events:
            self._apply_cache_event(announcement.upstream, event)
        self._spread_announcement(announcement, is_gone=False)
        record = self._catalog.get(announcement.upstream)
        assert record is not None
        owner = self._owners.get_or_create(record, now)
        if owner is None:
            return []
        return list(owner.apply_announcement(announcement, now))

    def spread_again(self) -> None:
        """Spread the next announcement of each upstream, even if nothing changed.

        To be called with the first instance list. Until then each instance counts as
        the owner of all upstreams, and owners do not forward rumors of theirs.
        """
        logger.info("announcements spread again", upstreams=len(self._catalog))
        self._sent_announcements.clear()

    def advance(self, now: float) -> list[UpdateAction]:
        """Run the owners' timers; remove upstreams whose announcements expired."""
        actions: list[UpdateAction] = []
        self._entry.crashes.void_lost_connections(self._catalog, now)
        for record in self._entry.crashes.pop_updates():
            self._spread_crash(record)
        for part in self._entry.crashes.pop_part_updates():
            self._spread_part(part)
        self._entry.crashes.expire(now)
        for upstream, owner in self._owners:
            if self._catalog.is_expired(upstream, now):
                actions += self._handle_expired_upstream(upstream, now)
                continue
            actions += owner.advance(now)
            self._spread_digest(owner)
        return actions

    def _handle_expired_upstream(
        self, upstream: UpstreamId, now: float
    ) -> list[UpdateAction]:
        record = self._catalog.get(upstream)
        assert record is not None
        logger.warning("upstream fell silent", upstream=upstream)
        self._spread_announcement(record.announcement, is_gone=True)
        return self._remove(upstream, now)

    def _apply_cache_event(self, upstream: UpstreamId, event: CacheEvent) -> None:
        self._entry.placement.prefixes.apply_event(upstream, event)
        if len(event.stored) + len(event.evicted) <= MAX_CACHE_EVENT_HASHES:
            subject = f"c/{upstream}/{event.sequence}"
            rumor = CacheRumor(upstream, event)
            self._membership.rumors.put(subject, rumor, CACHE_REPEATS)

    def _spread_announcement(
        self, announcement: Announcement, *, is_gone: bool
    ) -> None:
        upstream = announcement.upstream
        known = self._sent_announcements.get(upstream)
        stripped = msgspec.structs.replace(
            announcement, sequence=0, running=[], cache_events=[], load=Load()
        )
        if known == stripped and not is_gone:
            return
        self._sent_announcements[upstream] = stripped
        outgoing = msgspec.structs.replace(stripped, sequence=announcement.sequence)
        self._spread_upstream_rumor(outgoing, is_gone=is_gone)
        if is_gone:
            del self._sent_announcements[upstream]

    def _spread_digest(self, owner: ReplicaOwner) -> None:
        digest = owner.build_digest()
        if self._sent_digests.get(digest.upstream) == digest:
            return
        self._sent_digests[digest.upstream] = digest
        self._digest_count += 1
        self._entry.apply_digest(digest)
        sequence = (self._owners.epoch << 32) + self._digest_count
        rumor = DigestRumor(digest, sequence)
        subject = f"d/{digest.upstream}"
        self._membership.rumors.put(subject, rumor, DIGEST_REPEATS + 1)

    # Rumors of other instances

    def apply_rumor(self, rumor: Rumor, now: float) -> list[UpdateAction]:
        """Apply a rumor of another instance, and forward it if it is new."""
        match rumor:
            case UpstreamRumor(announcement, is_gone):
                return self._apply_upstream_rumor(announcement, is_gone, now)
            case DigestRumor():
                self._apply_digest_rumor(rumor)
            case CacheRumor(upstream, event):
                self._entry.placement.prefixes.apply_event(upstream, event)
            case CrashRumor(part=PartRecord() as part):
                for merged in self._entry.crashes.parts.merge([part], now):
                    self._spread_part(merged)
            case CrashRumor(record):
                self._apply_crash(record, now)
        return []

    def _apply_crash(self, record: CrashRecord, now: float) -> None:
        """Merge the crash record of another instance, and forward what is new."""
        if not record.upstreams:
            if self._entry.crashes.ledger.clear([record.fingerprint]):
                self._spread_crash(record)
            return
        for merged in self._entry.crashes.ledger.merge([record], now):
            self._spread_crash(merged)

    def _spread_crash(self, record: CrashRecord) -> None:
        self._membership.spread(f"x/{record.fingerprint}", CrashRumor(record))

    def _spread_part(self, record: PartRecord) -> None:
        for number, piece in enumerate(record.split(CRASHES_PER_RUMOR)):
            rumor = CrashRumor(_NO_CRASH, piece)
            self._membership.spread(f"y/{record.part}/{number}", rumor)

    def _apply_upstream_rumor(
        self, announcement: Announcement, is_gone: bool, now: float
    ) -> list[UpdateAction]:
        upstream = announcement.upstream
        record = self._catalog.get(upstream)
        update = (announcement.incarnation, announcement.sequence)
        known = (0, -1)
        if record is not None:
            known = (record.announcement.incarnation, record.announcement.sequence)
        if update < known:
            return []
        if self._owners.is_local(upstream):
            # The owner relies on announcements; a rumor only adds an upstream that
            # has not announced itself here yet.
            if record is None and not is_gone:
                self._apply_to_catalog(announcement, now)
            return []
        if is_gone:
            if record is None:
                return []
            self._spread_upstream_rumor(announcement, is_gone=True)
            return self._remove(upstream, now)
        if update > known:
            self._apply_to_catalog(announcement, now)
            self._spread_upstream_rumor(announcement, is_gone=False)
        return []

    def _apply_to_catalog(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement; return ``False`` if a newer one is known."""
        record = self._catalog.get(announcement.upstream)
        known = record.announcement if record is not None else None
        is_applied = self._catalog.apply_announcement(announcement, now)
        if is_applied and known is not None and known.address == announcement.address:
            self._entry.placement.record_restart(known, announcement, now)
        return is_applied

    def _apply_digest_rumor(self, rumor: DigestRumor) -> None:
        upstream = rumor.digest.upstream
        if self._owners.is_local(upstream):
            return
        if self._digest_sequences.get(upstream, -1) >= rumor.sequence:
            return
        self._digest_sequences[upstream] = rumor.sequence
        self._entry.apply_digest(rumor.digest)
        self._membership.rumors.put(f"d/{upstream}", rumor, DIGEST_REPEATS)

    def _spread_upstream_rumor(
        self, announcement: Announcement, *, is_gone: bool
    ) -> None:
        rumor = UpstreamRumor(announcement, is_gone)
        self._membership.spread(f"u/{announcement.upstream}", rumor)

    def _remove(self, upstream: UpstreamId, now: float) -> list[UpdateAction]:
        self._catalog.remove(upstream)
        self._owners.drop(upstream)
        self._sent_digests.pop(upstream, None)
        self._digest_sequences.pop(upstream, None)
        return list(self._entry.handle_upstream_gone(upstream, now))

    # The whole catalog, for an instance that starts or missed rumors

    def build_page(self) -> CatalogPage:
        """Return the whole catalog, with load digests and crash records."""
        return CatalogPage(
            [
                msgspec.structs.replace(
                    record.announcement, running=[], cache_events=[]
                )
                for record in self._catalog
            ],
            [record.digest for record in self._catalog],
            self._entry.crashes.ledger.list_records(),
            self._entry.crashes.parts.list_records(),
        )

    def apply_page(self, page: CatalogPage, now: float) -> list[UpdateAction]:
        """Merge the catalog of another instance."""
        self.has_catalog = True
        actions: list[UpdateAction] = []
        for announcement in page.announcements:
            actions += self._apply_upstream_rumor(announcement, False, now)
        self._entry.crashes.ledger.merge(page.crashes, now)
        self._entry.crashes.parts.merge(page.parts, now)
        for digest in page.digests:
            if not self._owners.is_local(digest.upstream):
                self._entry.apply_digest(digest)
        return actions
