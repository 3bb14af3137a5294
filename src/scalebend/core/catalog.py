"""Catalog of the known upstreams: announcements, load digests, expiry."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec
import xxhash

from scalebend.core.routing import Candidate
from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.ids import AvailabilityZone, ModelName, ServiceName, UpstreamId
from scalebend.models.upstream import (
    Announcement,
    UpstreamFamily,
    UpstreamState,
)
from scalebend.models.work import LoadDigest, ReplicaView, Request
from scalebend.utils.addresses import parse_address

MAX_MEMORY_TOKENS = 1_000_000_000
MAX_PREFILL_TOKENS_PER_S = 1e9


class UpstreamRecord(Candidate, kw_only=True):
    """One upstream; its timeout counts from ``last_announced``."""

    announcement: Announcement
    last_announced: float


class _CandidateKey(NamedTuple):
    """What a request asks for: equal keys have the same candidates."""

    service: ServiceName | None
    model: ModelName | None
    adapter: str | None
    version: str | None


def build_view(announcement: Announcement) -> ReplicaView:
    """Return the static properties of an upstream that routing needs."""
    return ReplicaView(
        upstream=announcement.upstream,
        availability_zone=announcement.availability_zone,
        memory_tokens=announcement.memory_tokens,
        concurrency=announcement.concurrency,
        prefill_rate=announcement.prefill_rate,
        step_time=announcement.step_time,
    )


def check_announcement(announcement: Announcement) -> None:
    """Raise :class:`DocumentError` for invalid values."""
    faults = []
    if not announcement.upstream:
        faults.append(Fault("$.upstream", "expected a name"))
    try:
        parse_address(announcement.address)
    except ValueError as error:
        faults.append(Fault("$.address", str(error)))
    if announcement.incarnation < 1:
        faults.append(Fault("$.incarnation", "expected a number from 1"))
    if not 1 <= announcement.concurrency <= 100_000:
        faults.append(Fault("$.concurrency", "expected 1 to 100000"))
    if not 0.0 < announcement.step_time < 60.0:
        faults.append(Fault("$.step_time", "expected seconds above 0 and below 60"))
    if not 0.0 < announcement.prefill_rate <= MAX_PREFILL_TOKENS_PER_S:
        faults.append(Fault("$.prefill_rate", "expected tokens a second above 0"))
    faults += _check_memory_and_service(announcement)
    if min(msgspec.structs.astuple(announcement.load)) < 0:
        faults.append(Fault("$.load", "expected numbers from 0"))
    if faults:
        raise DocumentError(faults, kind=ErrorKind.INVALID_ANNOUNCEMENT)


def _check_memory_and_service(announcement: Announcement) -> list[Fault]:
    match announcement.family:
        case UpstreamFamily.ENGINE:
            if 1 <= announcement.memory_tokens <= MAX_MEMORY_TOKENS:
                return []
            expected = f"expected 1 to {MAX_MEMORY_TOKENS} tokens"
            return [Fault("$.memory_tokens", expected)]
        case UpstreamFamily.SERVICE:
            if announcement.service and not announcement.memory_tokens:
                return []
            return [Fault("$.service", "expected a service name and no memory_tokens")]


def build_idle_digest(view: ReplicaView) -> LoadDigest:
    """Return the load digest of an idle replica."""
    return LoadDigest(view.upstream, (), 0, view.memory_tokens, 0, ())


class Catalog:
    """Known upstreams, indexed for routing.

    An upstream expires ``timeout`` seconds after its last announcement.
    """

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._by_model: dict[ModelName, set[UpstreamId]] = {}
        self._by_service: dict[ServiceName, set[UpstreamId]] = {}
        self._local_availability_zones: set[AvailabilityZone] | None = None
        # Cached until an upstream is added, removed or changes what it serves.
        # New digests are seen at once, as the records are shared.
        self._candidates: dict[_CandidateKey, list[Candidate]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def compute_checksum(self) -> int:
        """Return a number that is equal for catalogs with the same incarnations."""
        summary = 0
        for upstream, record in self._records.items():
            name = f"{upstream}/{record.announcement.incarnation}"
            summary ^= xxhash.xxh3_64_intdigest(name.encode())
        return summary

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(list(self._records.values()))

    def get(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Return the upstream's record, or ``None`` if it is unknown."""
        return self._records.get(upstream)

    def apply_announcement(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement; return ``False`` if a newer one is known."""
        record = self._records.get(announcement.upstream)
        view = build_view(announcement)
        if record is None:
            record = UpstreamRecord(
                view=view,
                digest=build_idle_digest(view),
                role=announcement.role,
                announcement=announcement,
                last_announced=now,
            )
            self._records[announcement.upstream] = record
            self._index(announcement)
            return True
        known = record.announcement
        update = (announcement.incarnation, announcement.sequence)
        if update < (known.incarnation, known.sequence):
            return False
        record.last_announced = max(record.last_announced, now)
        if announcement.incarnation > known.incarnation:
            record.digest = build_idle_digest(view)
        if (announcement.models, announcement.service) != (known.models, known.service):
            self._unindex(known)
            self._index(announcement)
        if (announcement.state, announcement.role) != (known.state, known.role):
            self._candidates.clear()
        record.announcement = announcement
        record.view = view
        record.role = announcement.role
        return True

    def apply_digest(self, digest: LoadDigest) -> None:
        """Apply a load digest; ignored for an unknown upstream."""
        record = self._records.get(digest.upstream)
        if record is not None:
            record.digest = digest

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream, if known."""
        record = self._records.pop(upstream, None)
        if record is not None:
            self._unindex(record.announcement)

    def is_expired(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether a known upstream's last announcement is past the timeout."""
        record = self._records.get(upstream)
        return record is not None and now - record.last_announced >= self.timeout

    def set_local_availability_zones(
        self, availability_zones: set[AvailabilityZone]
    ) -> None:
        """Set the availability zones of this instance's region."""
        self._local_availability_zones = availability_zones
        self._candidates.clear()

    def list_candidates(
        self, request: Request, excluded: set[UpstreamId]
    ) -> list[Candidate]:
        """Return the replicas in service that serve what the request asks for.

        Without exclusions the list is the cached one: callers must not change it.
        """
        key = _CandidateKey(
            request.service, request.model, request.adapter, request.version
        )
        found = self._candidates.get(key)
        if found is None:
            found = self._find_candidates(request)
            self._candidates[key] = found
        if not excluded:
            return found
        return [c for c in found if c.view.upstream not in excluded]

    def _find_candidates(self, request: Request) -> list[Candidate]:
        if request.service is not None:
            names = self._by_service.get(request.service, set())
        elif request.model is not None:
            names = self._by_model.get(request.model, set())
        else:
            return []
        found: list[Candidate] = []
        for name in sorted(names):
            record = self._records[name]
            if not _is_served_by(record.announcement, request):
                continue
            availability_zone = record.view.availability_zone
            record.is_local_region = (
                self._local_availability_zones is None
                or availability_zone in self._local_availability_zones
            )
            found.append(record)
        return found

    def _index(self, announcement: Announcement) -> None:
        self._candidates.clear()
        for loaded in announcement.models:
            self._by_model.setdefault(loaded.model, set()).add(announcement.upstream)
        if announcement.service is not None:
            names = self._by_service.setdefault(announcement.service, set())
            names.add(announcement.upstream)

    def _unindex(self, announcement: Announcement) -> None:
        self._candidates.clear()
        for loaded in announcement.models:
            self._by_model.get(loaded.model, set()).discard(announcement.upstream)
        if announcement.service is not None:
            names = self._by_service.get(announcement.service, set())
            names.discard(announcement.upstream)


def _is_served_by(announcement: Announcement, request: Request) -> bool:
    if announcement.state is not UpstreamState.SERVING:
        return False
    if request.model is None:
        return True
    for loaded in announcement.models:
        if loaded.model != request.model:
            continue
        has_version = request.version in (None, loaded.version)
        has_adapter = request.adapter is None or request.adapter in loaded.adapters
        if has_version and has_adapter:
            return True
    return False
