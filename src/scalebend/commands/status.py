"""``scalebend status``: prints the state of the cluster as one instance sees it."""

from __future__ import annotations

import asyncio

import msgspec

from scalebend.commands.client import CallError, fetch, report_error
from scalebend.edges.admin import Status


def run(*, url: str, key: str, as_json: bool) -> int:
    """Print the state that an instance reports."""
    try:
        status = asyncio.run(fetch("GET", f"{url}/admin/status", key, Status))
    except CallError as error:
        return report_error(error)
    if as_json:
        print(msgspec.json.encode(status).decode())
        return 0
    ready = "ready" if status.is_ready else f"not ready: {status.reason}"
    print(f"{status.instance}: {ready}; leader {status.leader or 'not known'}")
    print(f"configuration version {status.version}, instance list {status.epoch}")
    if status.is_control:
        voters = ", ".join(status.voters) or "none yet"
        print(f"control voters: {voters}; this one votes: {status.is_voter}")
    for item in status.instances:
        print(
            f"  {item.instance:<20} {item.availability_zone:<14} {item.state:<8} "
            f"version {item.version:<6} heard {item.last_contact_age_s:.1f} s ago"
        )
    for upstream in status.upstreams:
        print(
            f"  {upstream.upstream:<20} {upstream.family:<8} {upstream.state:<8} "
            f"owner {upstream.owner or '-':<14} free {upstream.free_tokens} of "
            f"{upstream.memory_tokens}, queued {upstream.queued}"
        )
    return 0
