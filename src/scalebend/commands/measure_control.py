"""``scalebend measure-control``: cost of control traffic per instance, by size."""

from __future__ import annotations

import asyncio
import json

import msgspec

from scalebend.edges.logs import configure_logs
from scalebend.measuring.control_cost import (
    ControlCost,
    SocketCost,
    measure_control_cost,
    measure_socket_cost,
)
from scalebend.models.settings import LogFormat, Logging

SIZES = [(9, 20, 10), (30, 46, 150), (90, 138, 460), (390, 600, 2_000)]
"""Counts of instances, upstreams and customers."""


def run(*, largest: int, as_json: bool) -> int:
    """Measure all sizes up to ``largest`` instances and print a table."""
    configure_logs(Logging(LogFormat.JSON, "critical"))
    socket = asyncio.run(measure_socket_cost())
    sizes = [size for size in SIZES if size[0] <= largest]
    if as_json:
        costs = [measure_control_cost(*size) for size in sizes]
        print(json.dumps(msgspec.to_builtins([socket, *costs])))
        return 0
    print(
        f"socket: {socket.datagram * 1e6:.0f} µs a datagram, "
        f"{socket.message * 1e6:.0f} µs a message, both sides"
    )
    print(
        "instances upstreams customers  datagrams/s  messages/s  bytes/s  "
        "core %  with sockets %  memory MiB  live seen"
    )
    for size in sizes:
        print(_format_row(measure_control_cost(*size), socket), flush=True)
    return 0


def _format_row(cost: ControlCost, socket: SocketCost) -> str:
    sockets = cost.datagrams * socket.datagram + cost.messages * socket.message
    total_bytes = cost.datagram_bytes + cost.message_bytes
    return (
        f"{cost.instances:<9} {cost.upstreams:<9} {cost.customers:<10} "
        f"{cost.datagrams:<12.1f} {cost.messages:<11.2f} {total_bytes:<8.0f} "
        f"{cost.processor * 100:<7.2f} {(cost.processor + sockets) * 100:<15.2f} "
        f"{cost.memory:<11.2f} {cost.live_seen:.1f}"
    )
