"""``scalebend apply``."""

from __future__ import annotations

import asyncio
import hashlib
import json
from pathlib import Path

import msgspec

from scalebend.commands.check import print_faults
from scalebend.commands.client import AnswerError, fetch, report
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
        answer = asyncio.run(
            _apply(configuration, url, key, base, ChangeId(change), operator)
        )
    except AnswerError as error:
        return report(error)
    if as_json:
        print(json.dumps({"version": answer.version}))
    else:
        print(f"accepted as version {answer.version}")
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
        # The same file on the same base is the same change, also when it is sent
        # again because its answer was lost.
        content = msgspec.json.encode((base, configuration))
        change = ChangeId(hashlib.sha256(content).hexdigest()[:32])
    body = ConfigurationChange(
        ConfigurationVersion(base), change, configuration, operator
    )
    return await fetch("POST", path, key, ApplyResponse, msgspec.json.encode(body))
