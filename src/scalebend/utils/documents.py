"""Decode JSON documents into data classes, reporting all errors by JSON path."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from scalebend.exceptions import DocumentError, ErrorKind, Fault

T = TypeVar("T")


def decode_document(data: bytes, type_: type[T], kind: ErrorKind) -> T:
    """Decode ``data`` as ``type_``; raise :class:`DocumentError` if it is invalid."""
    try:
        return msgspec.json.decode(data, type=type_)
    except msgspec.ValidationError:
        raise DocumentError(_list_faults(data, type_), kind=kind) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DocumentError(
            [Fault("$", f"expected JSON: {error}")], kind=kind
        ) from None


def build_schema(type_: type[Any]) -> dict[str, Any]:
    """Return the JSON Schema of ``type_``."""
    schema = msgspec.json.schema(type_)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    return schema


def _list_faults(data: bytes, type_: type[Any]) -> list[Fault]:
    # Imported on first use, to save memory: only invalid documents need it.
    from jsonschema import Draft202012Validator

    document = msgspec.json.decode(data)
    validator = Draft202012Validator(build_schema(type_))
    faults = [
        Fault(error.json_path, error.message)
        for error in sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    ]
    if faults:
        return faults
    try:
        msgspec.convert(document, type_)
    except msgspec.ValidationError as error:
        return [Fault("$", str(error))]
    return [Fault("$", f"expected a valid {type_.__name__}")]
