"""Desired models against reported ones: which engine is told to load what.

Only the control leader plans. What an engine serves is read back from its own
announcements, never assumed from an answer, so an order that is lost, doubled or
answered late does no harm. Loads are paced over the whole fleet by the weight
store's limit. The fencing number of an order is the leader's term; for engines that
ignore it, a new leader first waits until no order of the old one can arrive.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import structlog

from scalebend.core.catalog import UpstreamRecord
from scalebend.models.configuration import Configuration, Model
from scalebend.models.ids import AvailabilityZone, ModelName, Term, UpstreamId
from scalebend.models.orders import Order, SendOrder
from scalebend.models.upstream import LoadedModel, UpstreamFamily, UpstreamState

logger = structlog.get_logger(__name__)

ORDER_TIMEOUT = 5.0
"""Seconds after which an order that was sent can no longer arrive."""

LEADER_LEASE = 1.5
"""Seconds after which an unseated leader has noticed and sends nothing."""

READ_BACK_TIME = 60.0
"""Seconds an engine may take to report what it was told to load."""

PLAN_PERIOD = 0.5


class _Outstanding(msgspec.Struct, frozen=True):
    order: Order
    sent: float


class OrderPlanner:
    """Plans orders while this instance leads."""

    def __init__(self) -> None:
        self._term: Term | None = None
        self._leads_since = 0.0
        self._loads = 0.0
        self._refilled = 0.0
        self._plan_at = 0.0
        self._count = 0
        self._outstanding: dict[UpstreamId, _Outstanding] = {}

    def advance(
        self,
        configuration: Configuration,
        records: Iterable[UpstreamRecord],
        term: Term | None,
        now: float,
    ) -> list[SendOrder]:
        """Return the orders to send now; ``term`` is ``None`` unless leading."""
        if term != self._term:
            self._begin_term(term, now)
        if term is None or now < self._plan_at:
            return []
        self._plan_at = now + PLAN_PERIOD
        self._refill(configuration, now)
        engines = [record for record in records if _takes_orders(record)]
        self._read_back(engines, now)
        orders = []
        for model in configuration.models:
            while (order := self._plan(model, configuration, engines, now)) is not None:
                orders.append(order)
        return orders

    def _begin_term(self, term: Term | None, now: float) -> None:
        self._term = term
        self._leads_since = now
        # The old leader may have used up the weight store's limit just now.
        self._loads = 0.0
        self._refilled = now
        self._outstanding.clear()

    def _refill(self, configuration: Configuration, now: float) -> None:
        per_second = configuration.weight_store_loads_per_minute / 60.0
        accrued = (now - self._refilled) * per_second
        self._loads = min(1.0, self._loads + accrued)
        self._refilled = now

    def _read_back(self, engines: list[UpstreamRecord], now: float) -> None:
        reported = {record.view.upstream: record for record in engines}
        for upstream, outstanding in list(self._outstanding.items()):
            record = reported.get(upstream)
            is_done = record is not None and _has_loaded(record, outstanding.order)
            is_late = now - outstanding.sent >= READ_BACK_TIME
            if is_done or is_late or record is None:
                del self._outstanding[upstream]

    def _plan(
        self,
        model: Model,
        configuration: Configuration,
        engines: list[UpstreamRecord],
        now: float,
    ) -> SendOrder | None:
        if self._loads < 1.0:
            return None
        wanted = LoadedModel(model.model, model.version, sorted(model.adapters))
        if self._count_serving(wanted, engines) >= model.replicas:
            return None
        choice = self._choose_engine(wanted, configuration, engines, now)
        if choice is None:
            return None
        self._loads -= 1.0
        self._count += 1
        order = Order(
            f"{self._term}/{self._count}",
            int(self._term or 0),
            [wanted],
            [loaded.model for loaded in choice.announcement.models],
        )
        upstream = choice.view.upstream
        self._outstanding[upstream] = _Outstanding(order, now)
        logger.info(
            "order planned",
            upstream=upstream,
            model=wanted.model,
            version=wanted.version,
            unload=order.unload,
            fencing_number=order.fencing_number,
        )
        return SendOrder(upstream, order)

    def _count_serving(self, wanted: LoadedModel, engines: list[UpstreamRecord]) -> int:
        serving = {r.view.upstream for r in engines if _serves(r, wanted)}
        coming = {
            upstream
            for upstream, outstanding in self._outstanding.items()
            if wanted in outstanding.order.load
        }
        return len(serving | coming)

    def _choose_engine(
        self,
        wanted: LoadedModel,
        configuration: Configuration,
        engines: list[UpstreamRecord],
        now: float,
    ) -> UpstreamRecord | None:
        needed = {m.model: m for m in configuration.models if m.replicas > 0}
        zones = [r.view.availability_zone for r in engines if _serves(r, wanted)]
        best: tuple[tuple[int, int, str], UpstreamRecord] | None = None
        for record in engines:
            upstream = record.view.upstream
            if upstream in self._outstanding or _serves(record, wanted):
                continue
            if not self._may_order(record, configuration, now):
                continue
            cost = self._compute_cost(record, wanted, needed, engines)
            if cost is None:
                continue
            rank = (cost, zones.count(record.view.availability_zone), upstream)
            if best is None or rank < best[0]:
                best = (rank, record)
        return best[1] if best is not None else None

    def _may_order(
        self, record: UpstreamRecord, configuration: Configuration, now: float
    ) -> bool:
        if record.announcement.fencing_number > (self._term or 0):
            return False
        kinds = {kind.kind: kind for kind in configuration.upstream_kinds}
        kind = kinds.get(record.announcement.kind)
        if kind is not None and kind.checks_fencing:
            return True
        return now - self._leads_since >= LEADER_LEASE + ORDER_TIMEOUT

    def _compute_cost(
        self,
        record: UpstreamRecord,
        wanted: LoadedModel,
        needed: dict[ModelName, Model],
        engines: list[UpstreamRecord],
    ) -> int | None:
        """Rank of giving up what the engine serves; ``None`` when it must not."""
        loaded = [m for m in record.announcement.models if m.model in needed]
        if not loaded:
            return 0
        zone = record.view.availability_zone
        if any(self._is_last(m.model, zone, record, engines) for m in loaded):
            has_other_way = any(
                not _serves_any(r, needed) and r.view.upstream not in self._outstanding
                for r in engines
            )
            if has_other_way or self._has_peer(record, engines):
                return None
            is_upgrade = [m.model for m in loaded] == [wanted.model]
            may_go = is_upgrade or self._is_surplus(loaded, needed, engines)
            return 3 if may_go else None
        if all(m.model == wanted.model for m in loaded):
            return 1
        return 2 if self._is_surplus(loaded, needed, engines) else None

    def _is_surplus(
        self,
        loaded: list[LoadedModel],
        needed: dict[ModelName, Model],
        engines: list[UpstreamRecord],
    ) -> bool:
        return all(
            self._count_all(m.model, engines) > needed[m.model].replicas for m in loaded
        )

    def _is_last(
        self,
        model: ModelName,
        zone: AvailabilityZone,
        record: UpstreamRecord,
        engines: list[UpstreamRecord],
    ) -> bool:
        return not any(
            other is not record
            and other.view.availability_zone == zone
            and other.view.upstream not in self._outstanding
            and any(m.model == model for m in other.announcement.models)
            for other in engines
        )

    def _has_peer(self, record: UpstreamRecord, engines: list[UpstreamRecord]) -> bool:
        """Whether another engine of the zone is being changed and will serve soon."""
        return any(
            other is not record
            and other.view.availability_zone == record.view.availability_zone
            and other.view.upstream in self._outstanding
            for other in engines
        )

    def _count_all(self, model: ModelName, engines: list[UpstreamRecord]) -> int:
        return sum(
            any(m.model == model for m in record.announcement.models)
            and record.view.upstream not in self._outstanding
            for record in engines
        )


def _takes_orders(record: UpstreamRecord) -> bool:
    announcement = record.announcement
    is_engine = announcement.family is UpstreamFamily.ENGINE
    return is_engine and announcement.state is UpstreamState.SERVING


def _serves(record: UpstreamRecord, wanted: LoadedModel) -> bool:
    return any(
        loaded.model == wanted.model
        and loaded.version == wanted.version
        and set(wanted.adapters) <= set(loaded.adapters)
        for loaded in record.announcement.models
    )


def _serves_any(record: UpstreamRecord, needed: dict[ModelName, Model]) -> bool:
    return any(loaded.model in needed for loaded in record.announcement.models)


def _has_loaded(record: UpstreamRecord, order: Order) -> bool:
    return all(_serves(record, loaded) for loaded in order.load)
