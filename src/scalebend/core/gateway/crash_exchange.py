"""Spreads what fronts saw of requests under which upstreams ended.

A front tells the leader at once, and whoever is told tells all fronts and the other
control instances, so that the next arrival is judged alike wherever it comes: callers
send again a few milliseconds after a failure, to another front. Fronts tell a new
leader again what they know, and a front that starts is told everything, so nothing is
lost with any one process.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from scalebend.core.control_member import ToInstance
from scalebend.core.crash_ledger import CrashLedger
from scalebend.core.gateway.control_actions import ControlAction, ToFront
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, InstanceId

SPREAD_PERIOD = 0.02
"""Seconds from one message to all fronts to the next: an upstream that ends blames all
that it ran, eight at once, and each front that waited for it tells so. The first goes
on at once; with each alone a crash would cost 2,400 messages at 300 fronts, not 600."""


class CrashExchange:
    """The ledger of one control instance, and what is to be told of it."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self._news: dict[Fingerprint, CrashRecord] = {}
        self._cleared: dict[Fingerprint, None] = {}
        self._untold: dict[InstanceId, None] = {}
        """Fronts that were linked and not told yet."""

        self._send_at = -math.inf

    def restore(self, records: list[CrashRecord], now: float) -> None:
        """Take what was known before a restart of this instance; holds begin anew."""
        self.ledger.merge(records, now)

    def add_front(self, front: InstanceId) -> None:
        """A front was linked."""
        self._untold[front] = None

    def remove_front(self, front: InstanceId) -> None:
        """The link to a front was lost."""
        self._untold.pop(front, None)

    def take(self, news: CrashUpdates, now: float) -> None:
        """A front told what it saw."""
        for record in self.ledger.merge(news.records, now):
            self._news[record.fingerprint] = record
        for fingerprint in self.ledger.clear(news.cleared):
            self._news.pop(fingerprint, None)
            self._cleared[fingerprint] = None

    def take_from_peer(self, news: CrashUpdates, now: float) -> None:
        """Another control instance told, which tells the fronts itself."""
        self.ledger.merge(news.records, now)
        self.ledger.clear(news.cleared)

    def is_due(self, now: float) -> bool:
        """Whether there is anything to tell by now."""
        return self._may_tell_news(now) or bool(self._untold)

    def _may_tell_news(self, now: float) -> bool:
        return bool(self._news or self._cleared) and now >= self._send_at

    def send_due(
        self,
        fronts: Iterable[InstanceId],
        peers: Iterable[InstanceId],
        now: float,
        *,
        is_leader: bool,
    ) -> list[ControlAction]:
        """Tell what is new; the leader tells fronts that are new everything."""
        actions: list[ControlAction] = []
        if self._may_tell_news(now):
            self._send_at = now + SPREAD_PERIOD
            news = CrashUpdates(list(self._news.values()), list(self._cleared))
            self._news.clear()
            self._cleared.clear()
            actions += [ToFront(front, news) for front in fronts]
            actions += [ToInstance(peer, news) for peer in peers]  # type: ignore[arg-type]
        if is_leader and self._untold:
            records = self.ledger.list_records()
            if records:
                everything = CrashUpdates(records, [])
                actions += [ToFront(front, everything) for front in self._untold]
            self._untold.clear()
        return actions

    def introduce(self, peer: InstanceId) -> list[ControlAction]:
        """A link to another control instance is up: tell it all records."""
        records = self.ledger.list_records()
        if not records:
            return []
        return [ToInstance(peer, CrashUpdates(records, []))]  # type: ignore[arg-type]
