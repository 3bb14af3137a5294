"""``scalebend evacuate``: evacuates an availability zone, or shows evacuated ones."""

from __future__ import annotations

import asyncio

import msgspec

from scalebend.commands.client import CallError, fetch, report_error
from scalebend.platform.evacuations import EVACUATIONS_PATH, build_order_path


def run(*, zone: str, withdraw: bool, url: str, as_json: bool) -> int:
    """Order the evacuation of ``zone`` or its end; without a zone, show all."""
    method = "GET"
    path = EVACUATIONS_PATH
    if zone:
        method = "DELETE" if withdraw else "POST"
        path = build_order_path(zone)
    try:
        answer = asyncio.run(fetch(method, f"{url}{path}", "", msgspec.Raw))
    except CallError as error:
        return report_error(error)
    if as_json or not zone:
        print(bytes(answer).decode())
    else:
        print(f"{zone}: {'in use again' if withdraw else 'evacuated'}")
    return 0
