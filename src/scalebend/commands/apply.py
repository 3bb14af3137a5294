"""``scalebend apply``: replaces the configuration of the cluster."""

from __future__ import annotations

import asyncio
import hashlib
import json
from pathlib import Path

import msgspec

from scalebend.commands.check import print_faults
from scalebend.commands.client import CallError, fetch, report_error
from scalebend.edges.admin import ApplyResponse
from scalebend.edges.settings_file import read_configuration
from scalebend.exceptions import DocumentError
from scalebend.models.configuration import (
    AcceptedConfiguration,
    Configuration,
    ConfigurationChange,
)
from scalebend.models.ids import ChangeId, ConfigurationVersion


def run(
    *,
    file: Path,
    url: str,
    key: str,
    base: int | None,
    change: str,
    operator: str,
    as_json: bool,
) -> int:
    """Apply the configuration in ``file``."""
    try:
        configuration = read_configuration(file)
    except DocumentError as error:
        print_faults(file, error)
        return 2
    try:
        applied = asyncio.run(
            _apply(configuration, url, key, base, ChangeId(change), operator)
        )
    except CallError as error:
        return report_error(error)
    if as_json:
        print(json.dumps({"version": applied.version}))
    else:
        print(f"accepted as version {applied.version}")
    return 0


async def _apply(
    configuration: Configuration,
    url: str,
    key: str,
    base: int | None,
    change: ChangeId,
    operator: str,
) -> ApplyResponse:
    path = f"{url}/admin/configuration"
    if base is None:
        current = await fetch("GET", path, key, AcceptedConfiguration)
        base = current.version
    if not change:
        # Derived from the content, so that a retry after a lost response is recognized
        # as the same change.
        content = msgspec.json.encode((base, configuration))
        change = ChangeId(hashlib.sha256(content).hexdigest()[:32])
    body = ConfigurationChange(
        ConfigurationVersion(base), change, configuration, operator
    )
    return await fetch("POST", path, key, ApplyResponse, msgspec.json.encode(body))
