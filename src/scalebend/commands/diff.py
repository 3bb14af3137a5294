"""``scalebend diff``: compares a file with the configuration in force."""

from __future__ import annotations

import asyncio
import difflib
import json
from pathlib import Path

import msgspec

from scalebend.commands.check import print_faults
from scalebend.commands.client import CallError, fetch, report_error
from scalebend.edges.settings_file import read_configuration
from scalebend.exceptions import DocumentError
from scalebend.models.configuration import AcceptedConfiguration, Configuration


def run(*, file: Path, url: str, key: str, as_json: bool) -> int:
    """Print a unified diff; return 1 if there are differences."""
    try:
        wanted = read_configuration(file)
    except DocumentError as error:
        print_faults(file, error)
        return 2
    path = f"{url}/admin/configuration"
    try:
        current = asyncio.run(fetch("GET", path, key, AcceptedConfiguration))
    except CallError as error:
        return report_error(error)
    lines = list(
        difflib.unified_diff(
            _list_lines(current.configuration),
            _list_lines(wanted),
            f"version {current.version}",
            str(file),
            lineterm="",
        )
    )
    if as_json:
        print(json.dumps({"version": current.version, "diff": lines}))
    else:
        print("\n".join(lines) or f"no difference from version {current.version}")
    return 1 if lines else 0


def _list_lines(configuration: Configuration) -> list[str]:
    document = msgspec.to_builtins(configuration)
    return json.dumps(document, indent=2, ensure_ascii=False).splitlines()
