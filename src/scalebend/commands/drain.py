"""``scalebend drain``: drains an instance."""

from __future__ import annotations

import asyncio

from scalebend.commands.client import CallError, fetch, report_error


def run(*, url: str, key: str) -> int:
    """Ask an instance to finish its open requests and stop."""
    try:
        asyncio.run(fetch("POST", f"{url}/admin/drain", key, object))
    except CallError as error:
        return report_error(error)
    print("the instance stops once its open requests are finished")
    return 0
