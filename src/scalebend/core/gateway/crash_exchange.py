"""Distributes crash records of suspect requests between fronts and control instances.

A front reports a crash to the leader immediately, and the instance that receives the
report sends it to all fronts and to the other control instances. All fronts must know
soon, because callers retry at another front within milliseconds. Records survive the
loss of any process: fronts report theirs again to a new leader, and a front that starts
receives all records.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from scalebend.core.control_member import ToInstance
from scalebend.core.crash_ledger import CrashLedger
from scalebend.core.gateway.control_actions import ControlAction, ToFront
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.core.part_ledger import PartLedger
from scalebend.models.crashes import CrashRecord, PartRecord
from scalebend.models.ids import Fingerprint, InstanceId, PartId

SEND_INTERVAL_S = 0.02
"""Minimum interval of messages to all fronts. One crash makes all requests on the
upstream suspect, and several fronts report them; the first report is sent immediately
and the rest in one message. One message for each of eight suspect requests would be
2,400 messages at 300 fronts instead of 600."""


class CrashExchange:
    """The crash ledgers of one control instance, and the pending updates."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self.parts = PartLedger()
        self._pending_parts: dict[PartId, PartRecord] = {}
        self._pending: dict[Fingerprint, CrashRecord] = {}
        self._pending_cleared: dict[Fingerprint, None] = {}
        self._uninformed_fronts: dict[InstanceId, None] = {}
        """Newly linked fronts that have not received the records yet."""

        self._send_at = -math.inf

    def restore(self, records: list[CrashRecord], now: float) -> None:
        """Restore records from before a restart; quarantines start again in full."""
        self.ledger.merge(records, now)

    def restore_parts(self, records: list[PartRecord], now: float) -> None:
        """The same for parts of prompts."""
        self.parts.merge(records, now)

    def expire(self, now: float) -> None:
        """Forget old records."""
        self.ledger.expire(now)
        self.parts.expire(now)

    def add_front(self, front: InstanceId) -> None:
        """Add a newly linked front."""
        self._uninformed_fronts[front] = None

    def remove_front(self, front: InstanceId) -> None:
        """Remove a front whose link was lost."""
        self._uninformed_fronts.pop(front, None)

    def receive(self, updates: CrashUpdates, now: float) -> None:
        """Apply the report of a front and queue what is new for all."""
        for record in self.ledger.merge(updates.records, now):
            self._pending[record.fingerprint] = record
        for fingerprint in self.ledger.clear(updates.cleared):
            self._pending.pop(fingerprint, None)
            self._pending_cleared[fingerprint] = None
        for part in self.parts.merge(updates.parts, now):
            self._pending_parts[part.part] = part

    def receive_from_peer(self, updates: CrashUpdates, now: float) -> None:
        """Apply an update of a peer, which sends it to the fronts itself."""
        self.ledger.merge(updates.records, now)
        self.ledger.clear(updates.cleared)
        self.parts.merge(updates.parts, now)

    def is_due(self, now: float) -> bool:
        """Whether there is anything to send now."""
        return self._may_send_updates(now) or bool(self._uninformed_fronts)

    def _may_send_updates(self, now: float) -> bool:
        has_any = self._pending or self._pending_cleared or self._pending_parts
        return bool(has_any) and now >= self._send_at

    def send_due(
        self,
        fronts: Iterable[InstanceId],
        peers: Iterable[InstanceId],
        now: float,
        *,
        is_leader: bool,
    ) -> list[ControlAction]:
        """Send pending updates; the leader also sends new fronts all records."""
        actions: list[ControlAction] = []
        if self._may_send_updates(now):
            self._send_at = now + SEND_INTERVAL_S
            updates = CrashUpdates(
                list(self._pending.values()),
                list(self._pending_cleared),
                list(self._pending_parts.values()),
            )
            self._pending.clear()
            self._pending_parts.clear()
            self._pending_cleared.clear()
            actions += [ToFront(front, updates) for front in fronts]
            actions += [ToInstance(peer, updates) for peer in peers]  # type: ignore[arg-type]
        if is_leader and self._uninformed_fronts:
            everything = self._list_everything()
            if everything is not None:
                actions += [
                    ToFront(front, everything) for front in self._uninformed_fronts
                ]
            self._uninformed_fronts.clear()
        return actions

    def sync_peer(self, peer: InstanceId) -> list[ControlAction]:
        """Return all records to send over a new link to a control instance."""
        everything = self._list_everything()
        if everything is None:
            return []
        return [ToInstance(peer, everything)]  # type: ignore[arg-type]

    def _list_everything(self) -> CrashUpdates | None:
        records = self.ledger.list_records()
        parts = self.parts.list_records()
        return CrashUpdates(records, [], parts) if records or parts else None
