"""``scalebend check``: validates a settings or configuration file."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import msgspec

from scalebend.edges.settings_file import read_configuration, read_settings
from scalebend.exceptions import DocumentError
from scalebend.models.configuration import Configuration
from scalebend.models.settings import Settings
from scalebend.utils.documents import build_schema

SCHEMAS = {"settings": Settings, "configuration": Configuration}


def run(*, file: Path | None, schema: str, as_json: bool) -> int:
    """Validate a file, or print a JSON Schema."""
    if schema:
        return _print_schema(schema)
    if file is None:
        print("expected a file or --schema", file=sys.stderr)
        return 2
    kind = _guess_kind(file)
    try:
        if kind == "settings":
            read_settings(file)
        else:
            read_configuration(file)
    except DocumentError as error:
        _print_faults(file, kind, error, as_json=as_json)
        return 2
    if as_json:
        print(json.dumps({"file": str(file), "kind": kind, "faults": []}))
    else:
        print(f"{file}: valid {kind}")
    return 0


def _print_schema(schema: str) -> int:
    type_ = SCHEMAS.get(schema)
    if type_ is None:
        print(f"--schema: expected one of {', '.join(SCHEMAS)}", file=sys.stderr)
        return 2
    print(json.dumps(build_schema(type_), indent=2))
    return 0


def _guess_kind(file: Path) -> str:
    """Return the kind of a document; only settings have an instance and addresses."""
    try:
        fields = msgspec.json.decode(file.read_bytes(), type=dict[str, msgspec.Raw])
    except (OSError, msgspec.MsgspecError):
        return "settings"
    return "settings" if {"instance", "listen"} & fields.keys() else "configuration"


def _print_faults(
    file: Path, kind: str, error: DocumentError, *, as_json: bool
) -> None:
    if as_json:
        faults = msgspec.to_builtins(error.faults)
        print(json.dumps({"file": str(file), "kind": kind, "faults": faults}))
        return
    print_faults(file, error)


def print_faults(file: Path, error: DocumentError) -> None:
    """Print each fault with its JSON path to standard error."""
    for fault in error.faults:
        print(f"{file}: {fault.path}: {fault.expected}", file=sys.stderr)
