"""Reconciles the configured models with those that engines serve, by load orders.

Only the control leader plans orders. The models that an engine serves are taken from
its announcements, never from the response to an order, so lost, duplicated or late
orders are harmless. The weight store's limit paces loads over the whole fleet. The
fencing number of an order is the leader's term; for engines that ignore it, a new
leader first waits until no order of the previous leader can arrive.
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

ORDER_TIMEOUT_S = 5.0
"""Timeout of sending an order, after which it can no longer arrive."""

LEADER_LEASE_S = 1.5
"""Time after which a replaced leader has stopped sending orders."""

LOAD_REPORT_TIMEOUT_S = 60.0
"""Time for an engine to announce a model that it was ordered to load."""

PLAN_INTERVAL_S = 0.5


class _Outstanding(msgspec.Struct, frozen=True):
    order: Order
    sent_at: float


class OrderPlanner:
    """Plans orders while this instance is the control leader."""

    def __init__(self) -> None:
        self._term: Term | None = None
        self._leader_since = 0.0
        self._available_loads = 0.0
        self._refilled_at = 0.0
        self._next_plan_at = 0.0
        self._order_count = 0
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
        if term is None or now < self._next_plan_at:
            return []
        self._next_plan_at = now + PLAN_INTERVAL_S
        self._refill(configuration, now)
        engines = [record for record in records if _may_receive_orders(record)]
        self._drop_settled_orders(engines, now)
        orders = []
        for model in configuration.models:
            while (
                order := self._plan_order(model, configuration, engines, now)
            ) is not None:
                orders.append(order)
        return orders

    def _begin_term(self, term: Term | None, now: float) -> None:
        self._term = term
        self._leader_since = now
        # The previous leader may have just used up the weight store's limit.
        self._available_loads = 0.0
        self._refilled_at = now
        self._outstanding.clear()

    def _refill(self, configuration: Configuration, now: float) -> None:
        per_second = configuration.weight_store_loads_per_minute / 60.0
        accrued = (now - self._refilled_at) * per_second
        self._available_loads = min(1.0, self._available_loads + accrued)
        self._refilled_at = now

    def _drop_settled_orders(self, engines: list[UpstreamRecord], now: float) -> None:
        reported = {record.view.upstream: record for record in engines}
        for upstream, outstanding in list(self._outstanding.items()):
            record = reported.get(upstream)
            has_loaded = record is not None and _has_loaded(record, outstanding.order)
            is_expired = now - outstanding.sent_at >= LOAD_REPORT_TIMEOUT_S
            if has_loaded or is_expired or record is None:
                del self._outstanding[upstream]

    def _plan_order(
        self,
        model: Model,
        configuration: Configuration,
        engines: list[UpstreamRecord],
        now: float,
    ) -> SendOrder | None:
        if self._available_loads < 1.0:
            return None
        wanted_load = LoadedModel(model.model, model.version, sorted(model.adapters))
        if self._count_serving(wanted_load, engines) >= model.replicas:
            return None
        choice = self._choose_engine(wanted_load, configuration, engines, now)
        if choice is None:
            return None
        self._available_loads -= 1.0
        self._order_count += 1
        order = Order(
            f"{self._term}/{self._order_count}",
            int(self._term or 0),
            [wanted_load],
            [loaded.model for loaded in choice.announcement.models],
        )
        upstream = choice.view.upstream
        self._outstanding[upstream] = _Outstanding(order, now)
        logger.info(
            "order planned",
            upstream=upstream,
            model=wanted_load.model,
            version=wanted_load.version,
            unload=order.unload,
            fencing_number=order.fencing_number,
        )
        return SendOrder(upstream, order)

    def _count_serving(
        self, wanted_load: LoadedModel, engines: list[UpstreamRecord]
    ) -> int:
        serving = {r.view.upstream for r in engines if _serves(r, wanted_load)}
        pending = {
            upstream
            for upstream, outstanding in self._outstanding.items()
            if wanted_load in outstanding.order.load
        }
        return len(serving | pending)

    def _choose_engine(
        self,
        wanted_load: LoadedModel,
        configuration: Configuration,
        engines: list[UpstreamRecord],
        now: float,
    ) -> UpstreamRecord | None:
        wanted_models = {m.model: m for m in configuration.models if m.replicas > 0}
        zones = [r.view.availability_zone for r in engines if _serves(r, wanted_load)]
        best: tuple[tuple[int, int, str], UpstreamRecord] | None = None
        for record in engines:
            upstream = record.view.upstream
            if upstream in self._outstanding or _serves(record, wanted_load):
                continue
            if not self._may_send_order(record, configuration, now):
                continue
            cost = self._compute_cost(record, wanted_load, wanted_models, engines)
            if cost is None:
                continue
            rank = (cost, zones.count(record.view.availability_zone), upstream)
            if best is None or rank < best[0]:
                best = (rank, record)
        return best[1] if best is not None else None

    def _may_send_order(
        self, record: UpstreamRecord, configuration: Configuration, now: float
    ) -> bool:
        if record.announcement.fencing_number > (self._term or 0):
            return False
        kinds = {kind.kind: kind for kind in configuration.upstream_kinds}
        kind = kinds.get(record.announcement.kind)
        if kind is not None and kind.checks_fencing:
            return True
        return now - self._leader_since >= LEADER_LEASE_S + ORDER_TIMEOUT_S

    def _compute_cost(
        self,
        record: UpstreamRecord,
        wanted_load: LoadedModel,
        wanted_models: dict[ModelName, Model],
        engines: list[UpstreamRecord],
    ) -> int | None:
        """Return the cost of unloading the engine's models; ``None`` if not allowed."""
        loaded = [m for m in record.announcement.models if m.model in wanted_models]
        if not loaded:
            return 0
        zone = record.view.availability_zone
        if any(self._is_last_in_zone(m.model, zone, record, engines) for m in loaded):
            has_alternative = any(
                not _serves_any(r, wanted_models)
                and r.view.upstream not in self._outstanding
                for r in engines
            )
            if has_alternative or self._has_pending_change(record, engines):
                return None
            is_upgrade = [m.model for m in loaded] == [wanted_load.model]
            may_go = is_upgrade or self._is_surplus(loaded, wanted_models, engines)
            return 3 if may_go else None
        if all(m.model == wanted_load.model for m in loaded):
            return 1
        return 2 if self._is_surplus(loaded, wanted_models, engines) else None

    def _is_surplus(
        self,
        loaded: list[LoadedModel],
        wanted_models: dict[ModelName, Model],
        engines: list[UpstreamRecord],
    ) -> bool:
        return all(
            self._count_all(m.model, engines) > wanted_models[m.model].replicas
            for m in loaded
        )

    def _is_last_in_zone(
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

    def _has_pending_change(
        self, record: UpstreamRecord, engines: list[UpstreamRecord]
    ) -> bool:
        """Whether an order for another engine of the availability zone is pending."""
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


def _may_receive_orders(record: UpstreamRecord) -> bool:
    announcement = record.announcement
    is_engine = announcement.family is UpstreamFamily.ENGINE
    return is_engine and announcement.state is UpstreamState.SERVING


def _serves(record: UpstreamRecord, wanted_load: LoadedModel) -> bool:
    return any(
        loaded.model == wanted_load.model
        and loaded.version == wanted_load.version
        and set(wanted_load.adapters) <= set(loaded.adapters)
        for loaded in record.announcement.models
    )


def _serves_any(record: UpstreamRecord, wanted_models: dict[ModelName, Model]) -> bool:
    return any(loaded.model in wanted_models for loaded in record.announcement.models)


def _has_loaded(record: UpstreamRecord, order: Order) -> bool:
    return all(_serves(record, loaded) for loaded in order.load)
