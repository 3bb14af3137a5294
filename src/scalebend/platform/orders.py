"""Orders to replicas that reserve KV cache memory and release it."""

from __future__ import annotations

import msgspec

ORDER_PATH = "/order"


class _Reserve(msgspec.Struct, rename="pascal"):
    op: str
    id: str
    tokens: int
    hold_ms: int
    wait: bool


class _Release(msgspec.Struct, rename="pascal"):
    op: str
    id: str


class _Order(msgspec.Struct, rename="pascal"):
    op: str
    id: str
    tokens: int = 0
    hold_ms: int = 0


class MemoryOrder(msgspec.Struct, frozen=True):
    """An order that creates, renews or releases a reservation of KV cache memory."""

    reservation: str
    tokens: int
    """Size of the reservation; 0 releases it."""

    lifetime_s: float
    """Seconds until the reservation expires."""


def encode_reservation(reservation: str, tokens: int, lifetime_s: float) -> bytes:
    """Return the body of an order to reserve memory, or be refused without waiting."""
    hold_ms = int(lifetime_s * 1000.0)
    return msgspec.json.encode(_Reserve("reserve", reservation, tokens, hold_ms, False))


def encode_release(reservation: str) -> bytes:
    """Return the body of an order to release a reservation."""
    return msgspec.json.encode(_Release("release", reservation))


def format_helper(address: str, reservation: str | None) -> str:
    """Return the value that names a prefill helper in a request header."""
    return f"{address}/{reservation}" if reservation is not None else address


def decode_order(data: bytes) -> MemoryOrder:
    """Return the order in ``data``; raise ``ValueError`` if it is invalid."""
    order = msgspec.json.decode(data, type=_Order)
    return MemoryOrder(order.id, order.tokens, order.hold_ms / 1000.0)
