"""News of upstreams: from announcements to the owner, and by rumor to all others."""

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
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import UpstreamId
from scalebend.models.upstream import Announcement, CacheEvent, Load
from scalebend.models.work import LoadDigest

logger = structlog.get_logger(__name__)

DIGEST_REPEATS = 2
CACHE_REPEATS = 3
LONGEST_CACHE_EVENT = 64
"""Hashes in a cache event that is passed on; a longer one is left out as a gap."""

NewsAction = EntryAction | OwnerAction


class UpstreamNews:
    """Keeps catalog, owners and entry up to date, and passes news on."""

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
        self._sent_records: dict[UpstreamId, Announcement] = {}

    # As owner

    def take_announced(
        self, announcement: Announcement, now: float
    ) -> list[NewsAction]:
        """An upstream of this instance announced itself."""
        if not self._catalog.take_announcement(announcement, now):
            return []
        for event in announcement.cache_events:
            self._take_cache_event(announcement.upstream, event)
        self._spread_record(announcement, is_gone=False)
        record = self._catalog.get(announcement.upstream)
        assert record is not None
        owner = self._owners.get_or_create(record, now)
        if owner is None:
            return []
        return list(owner.apply_announcement(announcement, now))

    def advance(self, now: float) -> list[NewsAction]:
        """Run the owners' timers; drop upstreams that fell silent."""
        actions: list[NewsAction] = []
        for record in self._entry.crashes.take_updates():
            self._spread_crash(record)
        self._entry.crashes.ledger.expire(now)
        for upstream, owner in self._owners:
            if self._catalog.is_silent(upstream, now):
                actions += self._lose(upstream, now)
                continue
            actions += owner.advance(now)
            self._spread_digest(owner)
        return actions

    def _lose(self, upstream: UpstreamId, now: float) -> list[NewsAction]:
        record = self._catalog.get(upstream)
        assert record is not None
        logger.warning("upstream fell silent", upstream=upstream)
        self._spread_record(record.announcement, is_gone=True)
        return self._drop(upstream, now)

    def _take_cache_event(self, upstream: UpstreamId, event: CacheEvent) -> None:
        self._entry.placement.prefixes.apply_event(upstream, event)
        if len(event.stored) + len(event.evicted) <= LONGEST_CACHE_EVENT:
            subject = f"c/{upstream}/{event.sequence}"
            rumor = CacheRumor(upstream, event)
            self._membership.rumors.put(subject, rumor, CACHE_REPEATS)

    def _spread_record(self, announcement: Announcement, *, is_gone: bool) -> None:
        upstream = announcement.upstream
        known = self._sent_records.get(upstream)
        plain = msgspec.structs.replace(
            announcement, sequence=0, running=[], cache_events=[], load=Load()
        )
        if known == plain and not is_gone:
            return
        self._sent_records[upstream] = plain
        carried = msgspec.structs.replace(plain, sequence=announcement.sequence)
        self._pass_on(carried, is_gone=is_gone)
        if is_gone:
            del self._sent_records[upstream]

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

    # As one of all

    def take_rumor(self, rumor: Rumor, now: float) -> list[NewsAction]:
        """Take news that another instance passed on."""
        match rumor:
            case UpstreamRumor(announcement, is_gone):
                return self._take_upstream_rumor(announcement, is_gone, now)
            case DigestRumor():
                self._take_digest_rumor(rumor)
            case CacheRumor(upstream, event):
                self._entry.placement.prefixes.apply_event(upstream, event)
            case CrashRumor(record):
                self._take_crash(record, now)
        return []

    def _take_crash(self, record: CrashRecord, now: float) -> None:
        """Learn what another instance saw, and pass on what is new."""
        if not record.ended:
            if self._entry.crashes.ledger.clear([record.fingerprint]):
                self._spread_crash(record)
            return
        for merged in self._entry.crashes.ledger.merge([record], now):
            self._spread_crash(merged)

    def _spread_crash(self, record: CrashRecord) -> None:
        self._membership.spread(f"x/{record.fingerprint}", CrashRumor(record))

    def _take_upstream_rumor(
        self, announcement: Announcement, is_gone: bool, now: float
    ) -> list[NewsAction]:
        upstream = announcement.upstream
        record = self._catalog.get(upstream)
        news = (announcement.incarnation, announcement.sequence)
        known = (0, -1)
        if record is not None:
            known = (record.announcement.incarnation, record.announcement.sequence)
        if news < known:
            return []
        if self._owners.is_mine(upstream):
            # The owner's own knowledge comes from announcements; a rumor only
            # tells it of an upstream that it has not heard yet.
            if record is None and not is_gone:
                self._catalog.take_announcement(announcement, now)
            return []
        if is_gone:
            if record is None:
                return []
            self._pass_on(announcement, is_gone=True)
            return self._drop(upstream, now)
        if news > known:
            self._catalog.take_announcement(announcement, now)
            self._pass_on(announcement, is_gone=False)
        return []

    def _take_digest_rumor(self, rumor: DigestRumor) -> None:
        upstream = rumor.digest.upstream
        if self._owners.is_mine(upstream):
            return
        if self._digest_sequences.get(upstream, -1) >= rumor.sequence:
            return
        self._digest_sequences[upstream] = rumor.sequence
        self._entry.apply_digest(rumor.digest)
        self._membership.rumors.put(f"d/{upstream}", rumor, DIGEST_REPEATS)

    def _pass_on(self, announcement: Announcement, *, is_gone: bool) -> None:
        rumor = UpstreamRumor(announcement, is_gone)
        self._membership.spread(f"u/{announcement.upstream}", rumor)

    def _drop(self, upstream: UpstreamId, now: float) -> list[NewsAction]:
        self._catalog.remove(upstream)
        self._owners.drop(upstream)
        self._sent_digests.pop(upstream, None)
        self._digest_sequences.pop(upstream, None)
        return list(self._entry.handle_upstream_gone(upstream, now))

    # The catalog as a whole, for an instance that starts

    def build_page(self) -> CatalogPage:
        """All upstreams known here."""
        return CatalogPage(
            [
                msgspec.structs.replace(
                    record.announcement, running=[], cache_events=[]
                )
                for record in self._catalog
            ],
            [record.digest for record in self._catalog],
            self._entry.crashes.ledger.list_records(),
        )

    def take_page(self, page: CatalogPage, now: float) -> list[NewsAction]:
        """Take all upstreams that another instance knows."""
        self.has_catalog = True
        actions: list[NewsAction] = []
        for announcement in page.announcements:
            actions += self._take_upstream_rumor(announcement, False, now)
        self._entry.crashes.ledger.merge(page.crashes, now)
        for digest in page.digests:
            if not self._owners.is_mine(digest.upstream):
                self._entry.apply_digest(digest)
        return actions
