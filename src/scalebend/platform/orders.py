"""Orders to replicas that set memory aside and give it back."""

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
    """An order on the memory that ``ticket`` names."""

    ticket: str
    tokens: int
    """0 when the memory is given back."""

    hold: float
    """Seconds for which it is set aside."""


def encode_reservation(ticket: str, tokens: int, hold: float) -> bytes:
    """Body of the order that sets memory aside for ``hold`` seconds, or refuses."""
    hold_ms = int(hold * 1000.0)
    return msgspec.json.encode(_Reserve("reserve", ticket, tokens, hold_ms, False))


def encode_release(ticket: str) -> bytes:
    """Body of the order that gives memory back."""
    return msgspec.json.encode(_Release("release", ticket))


def format_helper(address: str, ticket: str | None) -> str:
    """Return how a replica that helps to read a prompt is named in a request."""
    return f"{address}/{ticket}" if ticket is not None else address


def decode_order(data: bytes) -> MemoryOrder:
    """Return the order in ``data``; raise ``ValueError`` when it is none."""
    order = msgspec.json.decode(data, type=_Order)
    return MemoryOrder(order.id, order.tokens, order.hold_ms / 1000.0)
