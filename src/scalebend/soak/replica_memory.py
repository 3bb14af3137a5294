"""KV cache memory that a stand-in replica reserves on order."""

from __future__ import annotations

from aiohttp import web

from scalebend.models.ids import UpstreamId
from scalebend.platform.orders import MemoryOrder
from scalebend.soak.documents import ENGINE
from scalebend.soak.observations import Observations, Reservation


class ReplicaMemory:
    """Reservations of one replica, over its incarnations."""

    def __init__(self, observations: Observations) -> None:
        self._observations = observations
        self._reservations: dict[str, Reservation] = {}
        self._tokens: dict[str, int] = {}

    def find(self, name: str, now: float) -> Reservation | None:
        """Return the reservation with a name, unless it has expired."""
        reservation = self._reservations.get(name)
        return None if reservation is None or reservation.until <= now else reservation

    def apply(self, order: MemoryOrder, owner: UpstreamId, now: float) -> web.Response:
        """Carry out an order to reserve or release memory of ``owner``."""
        for name, reservation in list(self._reservations.items()):
            if reservation.until <= now:
                del self._reservations[name]
        known = self._reservations.get(order.reservation)
        if order.tokens == 0:
            if known is not None:
                known.until = now
                del self._reservations[order.reservation]
            return web.json_response({})
        used = sum(self._tokens[name] for name in self._reservations)
        if known is None and used + order.tokens > ENGINE.memory_tokens:
            return web.json_response({}, status=409)
        if known is None:
            known = Reservation(owner, order.reservation, now, now, now)
            self._reservations[order.reservation] = known
            self._tokens[order.reservation] = order.tokens
            self._observations.reservations.append(known)
        known.until = now + order.lifetime_s
        return web.json_response({})

    def clear(self, now: float) -> None:
        """End all reservations."""
        for reservation in self._reservations.values():
            reservation.until = min(reservation.until, now)
        self._reservations.clear()
